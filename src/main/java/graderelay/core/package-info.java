/**
 * The scheduling core: jobs, tasks, claims and machines, and every decision of the leader about
 * them. {@link graderelay.core.Scheduler} takes events with their time and hands out {@link
 * graderelay.core.Action}s; nothing in the package waits, reads a clock, starts a thread or touches
 * a socket, so that a simulation runs the same code as a deployment. The control half takes in
 * stored records, heartbeats and answers, and proves what is gone; the planning half places tasks,
 * preempts, and scales the fleet out and in. All parts share one {@link
 * graderelay.core.ClusterState}.
 */
package graderelay.core;
