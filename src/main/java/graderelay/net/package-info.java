/**
 * The event loop and HTTP: a server and a client based on Netty, and token buckets that limit the
 * rate of calls to other services. All code of this package runs on a single event loop, so it
 * needs no locks. Tests implement {@link graderelay.net.Loop} and {@link graderelay.net.Transport}
 * with a simulated clock and network.
 */
package graderelay.net;
