/**
 * The event loop and HTTP: a server and a client on Netty, and the token buckets that keep calls to
 * rate-limited services within their rates. Everything here runs on the one event loop, so nothing
 * is locked. {@link graderelay.net.Loop} and {@link graderelay.net.Transport} are what tests put a
 * simulated clock and network behind.
 */
package graderelay.net;
