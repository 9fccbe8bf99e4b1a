package graderelay.state;

import graderelay.wire.StateCodec.TermRecord;

/**
 * An election that this controller has won.
 *
 * @param terms the terms that the new leader has reserved
 * @param leaderRevision the revision of its leader record
 * @param sessionLease the session lease that the record is attached to
 * @param leaseRequestedAt when the request for that lease was sent, on the loop's clock
 */
record WonElection(
    TermRecord terms, long leaderRevision, long sessionLease, double leaseRequestedAt) {
  /** The term in which the new leader starts. */
  long term() {
    return terms.firstTerm();
  }
}
