/**
 * Client of the cloud's API: machine types, the list of machines, scale-out and scale-in, all
 * within the cloud's rate limit. All code in this package runs on the event loop.
 */
package graderelay.cloud;
