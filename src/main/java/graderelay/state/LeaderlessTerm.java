package graderelay.state;

import java.util.OptionalLong;

/**
 * Chooses the term under which a worker's lease is renewed while there is no leader. A launch that
 * the last leader has sent may still be on its way, and nobody knows of it any more. If its job was
 * cancelled, it must not be executed however late it arrives, so the renewal has to carry a term
 * that is higher than that of the launch.
 */
final class LeaderlessTerm {
  private final Cache cache;
  private final Cancellations cancellations;

  LeaderlessTerm(Cache cache, Cancellations cancellations) {
    this.cache = cache;
    this.cancellations = cancellations;
  }

  /**
   * Returns the term for the response to a worker, or empty if its lease must not be renewed.
   *
   * @param reportedTerm the highest term that the worker has seen. A leader launches tasks only on
   *     workers that have reported a term of its own, so the reserved term of the last known leader
   *     is a fence if it is not lower.
   */
  OptionalLong forWorker(long reportedTerm) {
    OptionalLong reserved = cache.election().leaderlessTerm();
    if (reserved.isPresent() && reportedTerm <= reserved.getAsLong()) {
      return reserved;
    }
    boolean mayRenewUnfenced = cancellations.isInStartupRenewal() || !cancellations.hasUnfinished();
    return mayRenewUnfenced ? OptionalLong.of(reportedTerm) : OptionalLong.empty();
  }
}
