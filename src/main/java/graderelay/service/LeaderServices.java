package graderelay.service;

import graderelay.cloud.CloudClient;
import graderelay.net.Loop;
import graderelay.state.Cache;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.worker.WorkerClient;

/**
 * The controller's services that every leader term uses. They live as long as the process, whereas
 * a {@link LeaderTerm} ends with its leadership.
 *
 * @param loop the one event loop and its clocks
 * @param state the client of the key-value store
 * @param cache this controller's copy of the stored records
 * @param leadership this controller's part in the leader election
 * @param cloudClient the client of the cloud's machine API
 * @param workerClient the client that sends commands straight to workers
 * @param metrics counters for operators
 */
record LeaderServices(
    Loop loop,
    StateClient state,
    Cache cache,
    Leadership leadership,
    CloudClient cloudClient,
    WorkerClient workerClient,
    Metrics metrics) {}
