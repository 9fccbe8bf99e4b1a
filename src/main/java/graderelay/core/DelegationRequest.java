package graderelay.core;

/**
 * A lease delegate's request for a grant.
 *
 * @param member name of the controller
 * @param process distinguishes the delegate's process from earlier ones of the same member
 * @param requestNumber number of the request within the process
 * @param grantTerm term in which the leader that issued its current grant was elected, 0 without a
 *     grant
 * @param lastReceivedGrantAt time on the leader's clock at which the last grant that it received
 *     was sent
 * @param autonomousAgeS seconds since it last renewed leases autonomously, or since its process
 *     started
 */
public record DelegationRequest(
    String member,
    String process,
    long requestNumber,
    long grantTerm,
    double lastReceivedGrantAt,
    double autonomousAgeS) {}
