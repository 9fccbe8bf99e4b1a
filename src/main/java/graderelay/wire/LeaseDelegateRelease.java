package graderelay.wire;

/**
 * The record of a lease delegate that has released grants.
 *
 * @param incarnation the process of the delegate
 * @param releasedUpTo the number of its last question whose grant is released, and all before it
 * @param of the number of the last question that it had asked
 * @param aloneS seconds for which it has acted alone
 */
public record LeaseDelegateRelease(String incarnation, long releasedUpTo, long of, double aloneS) {}
