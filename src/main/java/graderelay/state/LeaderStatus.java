package graderelay.state;

/**
 * Whether this controller leads, with its term, the revision of its leader record and the session
 * lease that the record is attached to. These three keep their last values after the leadership has
 * ended.
 */
final class LeaderStatus {
  private boolean leader;
  private boolean closed;
  private long term;
  private long leaderRevision;
  private long sessionLease;

  /** True while this controller is the leader, even if its process is being closed. */
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

  /** The fencing token of the current leadership, or of the last one. */
  long term() {
    return term;
  }

  /** The revision of the leader record that this controller last wrote. */
  long leaderRevision() {
    return leaderRevision;
  }

  long sessionLease() {
    return sessionLease;
  }

  /** Marks this controller as the leader. */
  void startLeading(WonElection won) {
    leader = true;
    term = won.term();
    leaderRevision = won.leaderRevision();
    sessionLease = won.sessionLease();
  }

  /** Sets the higher term and the revision with which the leader record was rewritten. */
  void raiseTerm(long newTerm, long newLeaderRevision) {
    term = newTerm;
    leaderRevision = newLeaderRevision;
  }

  /** Marks this controller as a follower. */
  void stopLeading() {
    leader = false;
  }

  /** Marks the process as being closed; that alone does not end a leadership. */
  void close() {
    closed = true;
  }
}
