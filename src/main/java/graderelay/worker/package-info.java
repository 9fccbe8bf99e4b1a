/**
 * The controller's side of the worker protocol: takes workers' heartbeats and answers them, relays
 * or redirects them when another controller leads, renews worker leases as a lease delegate while
 * the zone is cut off, and sends worker commands. Everything here runs on the event loop.
 */
package graderelay.worker;
