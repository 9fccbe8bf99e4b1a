/**
 * Client side of the messages between controllers: sends typed requests to peers, and forwards or
 * hedges users' requests that this controller can't handle quickly. Everything here runs on the
 * event loop.
 */
package graderelay.peer;
