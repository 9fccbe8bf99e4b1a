package graderelay.core;

/**
 * The release of a lease delegate's grants, which it sends when it reaches the key-value store but
 * not the leader.
 *
 * @param member name of the controller
 * @param process distinguishes the delegate's process from earlier ones of the same member
 * @param lastRequestNumber number of the last request whose grant is released
 * @param grantTerm term in which the leader that issued its current grant was elected
 * @param autonomousAgeS seconds since it last renewed leases autonomously, or since its process
 *     started
 */
public record DelegationRelease(
    String member, String process, long lastRequestNumber, long grantTerm, double autonomousAgeS) {}
