/**
 * A simulated deployment in memory and in virtual time: controllers run their real code, while
 * store, cloud, network, workers and users are written from the published protocol. Faults are
 * injected on purpose or drawn at random, and the protocol's invariants are checked as it runs.
 */
package graderelay.sim;
