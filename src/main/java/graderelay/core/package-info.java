/**
 * The scheduling core of a leader: a pure, single-threaded state machine. It takes in job records,
 * heartbeats, answers and the time, decides placement, preemption, scale out and scale in, and
 * hands out actions (store transactions, worker commands, scaling requests) for its caller to carry
 * out. Nothing here reads a clock, waits or touches a socket. {@link graderelay.core.Scheduler} is
 * the entry point; all parts share one cluster state.
 */
package graderelay.core;
