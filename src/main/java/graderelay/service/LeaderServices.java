package graderelay.service;

import graderelay.cloud.CloudClient;
import graderelay.net.Loop;
import graderelay.state.Cache;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.worker.WorkerClient;

/**
 * The controller's services that every leader term uses. They exist for the lifetime of the
 * process, whereas a {@link LeaderTerm} ends when leadership is lost.
 *
 * @param loop the event loop of this process and its clocks
 * @param state the client of the key-value store
 * @param cache this controller's cache of the stored records
 * @param leadership this controller's state in the leader election
 * @param cloudClient the client of the cloud's machine API
 * @param workerClient the client that sends commands directly to workers
 * @param metrics the metrics of this process
 */
record LeaderServices(
    Loop loop,
    StateClient state,
    Cache cache,
    Leadership leadership,
    CloudClient cloudClient,
    WorkerClient workerClient,
    Metrics metrics) {}
