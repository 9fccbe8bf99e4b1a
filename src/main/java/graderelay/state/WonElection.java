package graderelay.state;

/**
 * An election that this controller has won.
 *
 * @param term the new leader's term
 * @param recordRevision the revision of its leader record
 * @param sessionLease the session lease that the record is attached to
 * @param leaseSentAt when the request for that lease was sent, in the loop's seconds
 */
record WonElection(long term, long recordRevision, long sessionLease, double leaseSentAt) {}
