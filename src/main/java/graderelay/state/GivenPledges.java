package graderelay.state;

import graderelay.core.LeaseTiming;
import graderelay.net.Loop;

/**
 * Pledges not to stand for election that this controller has given to peers. They determine, with
 * its own backoff after a handover, when it may stand again.
 */
final class GivenPledges {
  private final Loop loop;
  private final StateClient stateClient;
  private final Cache cache;
  private final LeaderStatus status;

  /** End of the last pledge that this controller has, or may have, given to a leader. */
  private double leaderPledgeEndsAt;

  /** End of the last pledge to a peer that renews worker leases without a leader. */
  private double leaderlessPledgeEndsAt;

  private double backoffEndsAt = Double.NEGATIVE_INFINITY;

  /** The highest term of a leader that this process has given a pledge. */
  private long highestPledgedTerm;

  /** Starts as if a pledge of either kind had just been given. */
  GivenPledges(Loop loop, StateClient stateClient, Cache cache, LeaderStatus status) {
    this.loop = loop;
    this.stateClient = stateClient;
    this.cache = cache;
    this.status = status;
    // An earlier process of this controller may have given a pledge just before it ended.
    this.leaderlessPledgeEndsAt =
        loop.now() + ElectionTiming.LEADERLESS_PLEDGE_S * (1 + LeaseTiming.MAX_CLOCK_DRIFT_RATIO);
    this.leaderPledgeEndsAt =
        loop.now() + ElectionTiming.LEADER_PLEDGE_S * (1 + LeaseTiming.MAX_CLOCK_DRIFT_RATIO);
  }

  /**
   * Pledges not to stand for election to the leader of a term, which can't renew its session lease.
   *
   * @return false if the pledge is refused because this controller leads or has seen a later term
   */
  boolean pledgeToLeader(long term, double durationS) {
    if (!status.isActiveFollower() || cache.term() > term) {
      return false;
    }
    leaderPledgeEndsAt =
        Math.max(
            leaderPledgeEndsAt, loop.now() + durationS * (1 + LeaseTiming.MAX_CLOCK_DRIFT_RATIO));
    highestPledgedTerm = Math.max(highestPledgedTerm, term);
    return true;
  }

  /**
   * Pledges not to stand for election to a peer that renews worker leases without a leader.
   *
   * @return false if the pledge is refused because this controller leads or could win an election
   */
  boolean pledgeLeaderless(double durationS) {
    if (!status.isActiveFollower() || stateClient.health().isReachable()) {
      return false;
    }
    leaderlessPledgeEndsAt =
        Math.max(
            leaderlessPledgeEndsAt,
            loop.now() + durationS * (1 + LeaseTiming.MAX_CLOCK_DRIFT_RATIO));
    return true;
  }

  /** Keeps this controller from standing for some seconds after it handed the leadership over. */
  void backOff(double durationS) {
    backoffEndsAt = loop.now() + durationS;
    leaderPledgeEndsAt = Math.max(leaderPledgeEndsAt, backoffEndsAt);
  }

  /** True unless a later term is recorded or its leader has a pledge of this controller. */
  boolean isLatestTerm(long term) {
    return term >= Math.max(highestPledgedTerm, cache.term());
  }

  /** Cancels the pledge to the leader, which has stopped leading. */
  void cancelLeaderPledge() {
    leaderPledgeEndsAt = Double.NEGATIVE_INFINITY;
  }

  /**
   * The earliest time at which this controller may stand for election.
   *
   * @param wasLastLeader the last leader was an earlier process of this controller, so that no
   *     leader relies on a pledge of this controller
   */
  double earliestStandTime(boolean wasLastLeader) {
    return Math.max(leaderlessPledgeEndsAt, wasLastLeader ? backoffEndsAt : leaderPledgeEndsAt);
  }
}
