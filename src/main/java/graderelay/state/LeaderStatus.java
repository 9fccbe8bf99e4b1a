package graderelay.state;

/**
 * Whether this controller leads, and as what: its term, its leader record's revision and the
 * session lease that the record is attached to. These three keep their last values after the
 * leadership is lost.
 */
final class LeaderStatus {
  private boolean leader;
  private boolean closed;
  private long term;
  private long recordRevision;
  private long sessionLease;

  /** True while this controller is the leader, also if its process is being closed. */
  boolean isLeader() {
    return leader;
  }

  /** True once this controller's process is being closed. */
  boolean isClosed() {
    return closed;
  }

  /** True if this controller leads and is not being closed. */
  boolean isActiveLeader() {
    return leader && !closed;
  }

  /** True if this controller does not lead and is not being closed. */
  boolean isActiveFollower() {
    return !leader && !closed;
  }

  /** The fencing token of the present leadership, or of the last one. */
  long term() {
    return term;
  }

  /** The revision of the leader record as this controller wrote it last. */
  long recordRevision() {
    return recordRevision;
  }

  long sessionLease() {
    return sessionLease;
  }

  /** This controller leads from now on. */
  void begin(WonElection won) {
    leader = true;
    term = won.term();
    recordRevision = won.recordRevision();
    sessionLease = won.sessionLease();
  }

  /** The leader record now stands under a higher term. */
  void raiseTerm(long newTerm, long newRecordRevision) {
    term = newTerm;
    recordRevision = newRecordRevision;
  }

  /** This controller leads no more. */
  void end() {
    leader = false;
  }

  /** The process ends; that takes no leadership away by itself. */
  void close() {
    closed = true;
  }
}
