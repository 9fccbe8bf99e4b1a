package graderelay.state;

import graderelay.wire.StateCodec.TermRecord;

/**
 * Whether this controller leads, with its term, the terms that it has reserved, the revision of its
 * leader record and the session lease that the record is attached to. These keep their last values
 * after the leadership has ended.
 */
final class LeaderStatus {
  private boolean leader;
  private boolean closed;
  private long term;
  private long lastReservedTerm;
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

  /**
   * The last term that is reserved for the current leadership, or was for the last one. The term
   * record in the key-value store shows it, so controllers compare leaderships by it.
   */
  long lastReservedTerm() {
    return lastReservedTerm;
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
    lastReservedTerm = won.terms().lastTerm();
    leaderRevision = won.leaderRevision();
    sessionLease = won.sessionLease();
  }

  /** Sets newly reserved terms and the revision with which the leader record was rewritten. */
  void raiseTerm(TermRecord newTerms, long newLeaderRevision) {
    term = newTerms.firstTerm();
    lastReservedTerm = newTerms.lastTerm();
    leaderRevision = newLeaderRevision;
  }

  /**
   * Raises the term to the next reserved one. The last one is not used by a leader, see {@link
   * TermReservation}.
   *
   * @return false if there is none left
   */
  boolean raiseTermWithinReservation() {
    if (term + 1 >= lastReservedTerm) {
      return false;
    }
    term++;
    return true;
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
