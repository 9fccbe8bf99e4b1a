package graderelay.state;

/**
 * An election that this controller has won.
 *
 * @param term the term of the new leader
 * @param leaderRevision the revision of its leader record
 * @param sessionLease the session lease that the record is attached to
 * @param leaseRequestedAt when the request for that lease was sent, on the loop's clock
 */
record WonElection(long term, long leaderRevision, long sessionLease, double leaseRequestedAt) {}
