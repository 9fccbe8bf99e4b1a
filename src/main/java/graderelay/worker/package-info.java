/**
 * The controller's side of the worker protocol: answers worker heartbeats, relays or redirects them
 * if another controller is the leader, renews worker leases as a lease delegate while the zone is
 * partitioned, and sends worker commands. All code in this package runs on the event loop.
 */
package graderelay.worker;
