/**
 * The scheduling core: the leader's state and decisions about jobs, tasks, claims and machines.
 * {@link graderelay.core.Scheduler} receives events with their time and returns {@link
 * graderelay.core.Action}s. The package does not block, read a clock, start threads or use sockets,
 * so a simulation runs the same code as a deployment. One group of classes processes stored
 * records, heartbeats and responses and determines which task attempts have certainly ended; the
 * other places and preempts tasks and scales the fleet out and in. All of them share one {@link
 * graderelay.core.ClusterState}.
 */
package graderelay.core;
