package graderelay.state;

import graderelay.core.LeaseTiming;
import graderelay.net.Loop;

/**
 * Pledges not to stand for election that this controller gave its peers, and how long they, and its
 * own backoff after a handover, keep it from standing.
 */
final class GivenPledges {
  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final LeaderStatus status;

  /** This controller has pledged a leader, or may have, not to stand before this time. */
  private double leaderPledgeUntil;

  /** The same of pledges to peers that renew worker leases without a leader. */
  private double leaderlessPledgeUntil;

  private double standBackUntil = Double.NEGATIVE_INFINITY;

  /** The highest term of a leader that has a pledge of this process. */
  private long pledgedTerm;

  /** Begins as if a pledge of either kind had just been given. */
  GivenPledges(Loop loop, StateClient state, Cache cache, LeaderStatus status) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.status = status;
    // An earlier process of this member may have made a pledge just before it ended.
    this.leaderlessPledgeUntil =
        loop.now() + ElectionTiming.LEADERLESS_PLEDGE_S * (1 + LeaseTiming.MAX_CLOCK_DRIFT_RATIO);
    this.leaderPledgeUntil =
        loop.now() + ElectionTiming.PLEDGE_S * (1 + LeaseTiming.MAX_CLOCK_DRIFT_RATIO);
  }

  /**
   * The leader of a term can't renew its session lease and asks us not to stand.
   *
   * @return false if the pledge is refused: we lead, or know of a later term
   */
  boolean pledgeToLeader(long term, double seconds) {
    if (!status.isActiveFollower() || cache.term() > term) {
      return false;
    }
    leaderPledgeUntil =
        Math.max(leaderPledgeUntil, loop.now() + seconds * (1 + LeaseTiming.MAX_CLOCK_DRIFT_RATIO));
    pledgedTerm = Math.max(pledgedTerm, term);
    return true;
  }

  /**
   * A peer wants to renew worker leases without a leader and asks us not to stand.
   *
   * @return false if the pledge is refused: we lead, or could win an election ourselves
   */
  boolean pledgeLeaderless(double seconds) {
    if (!status.isActiveFollower() || state.health().isReachable()) {
      return false;
    }
    leaderlessPledgeUntil =
        Math.max(
            leaderlessPledgeUntil, loop.now() + seconds * (1 + LeaseTiming.MAX_CLOCK_DRIFT_RATIO));
    return true;
  }

  /** Keeps this controller from standing for some seconds, after it gave the leadership up. */
  void standBack(double seconds) {
    standBackUntil = loop.now() + seconds;
    leaderPledgeUntil = Math.max(leaderPledgeUntil, standBackUntil);
  }

  /** True if no leader of a later term than this has a pledge of ours or was recorded. */
  boolean isNewestTerm(long term) {
    return term >= Math.max(pledgedTerm, cache.term());
  }

  /** The leader itself has stopped, so that our pledges to it are void. */
  void releaseFromLeader() {
    leaderPledgeUntil = Double.NEGATIVE_INFINITY;
  }

  /**
   * The time before which this controller may not stand for election.
   *
   * @param succeedsItself the last leader was an earlier process of this controller, so that no
   *     leader relies on a pledge of ours
   */
  double standsNotBefore(boolean succeedsItself) {
    return Math.max(leaderlessPledgeUntil, succeedsItself ? standBackUntil : leaderPledgeUntil);
  }
}
