/**
 * The client side of controllers' messages to each other: sends typed requests to peers, and
 * forwards or hedges users' requests that this controller can't decide quickly. Everything here
 * runs on the event loop.
 */
package graderelay.peer;
