package graderelay.service;

/**
 * What a controller does as far as leadership is concerned. A won election leads from {@link
 * Follower} to {@link Starting}, and the start of the scheduler to {@link Scheduling}; the loss of
 * leadership leads back from either. A raise of the term changes no phase.
 */
sealed interface LeaderPhase {
  /** This controller does not lead. */
  record Follower() implements LeaderPhase {}

  /**
   * This controller has been elected and does not schedule yet: it waits for its cache to contain
   * all records committed before the election. Compared by identity, since each won election has a
   * start of its own, whatever its term becomes meanwhile.
   */
  final class Starting implements LeaderPhase {
    private final double electedAt;

    /**
     * Creates the start of a leader.
     *
     * @param electedAt when the election was won, in seconds of the event loop's clock
     */
    Starting(double electedAt) {
      this.electedAt = electedAt;
    }

    /** When the election was won, in seconds of the event loop's clock. */
    double electedAt() {
      return electedAt;
    }
  }

  /**
   * This controller leads, and its scheduler runs.
   *
   * @param term the leader term that runs the scheduler
   */
  record Scheduling(LeaderTerm term) implements LeaderPhase {}

  /** The process is stopping. */
  record Closed() implements LeaderPhase {}
}
