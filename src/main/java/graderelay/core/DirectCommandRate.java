package graderelay.core;

/**
 * A token bucket for commands that are sent straight to a worker. Each costs a connection and its
 * answer; beyond the rate the commands go with the responses to heartbeats, which come in any case.
 */
final class DirectCommandRate {
  /** Share of the bucket kept from launches of arrays, whose next heartbeats fetch them as well. */
  static final double RESERVE_FOR_SERVICES = 0.25;

  /** Share of the bucket kept from probes of machines without services. */
  static final double RESERVE_FOR_COMMANDS = 0.5;

  /** Nothing is kept back: the most urgent commands. */
  static final double NO_RESERVE = 0;

  private final ClusterState cluster;
  private double tokens;
  private double filledAt;

  DirectCommandRate(ClusterState cluster) {
    this.cluster = cluster;
    this.filledAt = cluster.leaderSince;
    this.tokens = cluster.policy.directCommandsPerS();
  }

  /**
   * Takes a token if one is left beside the reserve.
   *
   * @param reserve share of a second's tokens that is kept for more urgent commands
   */
  boolean tryAcquire(double now, double reserve) {
    double rate = cluster.policy.directCommandsPerS();
    tokens = Math.min(rate, tokens + (now - filledAt) * rate);
    filledAt = now;
    if (tokens < 1 + reserve * rate) {
      return false;
    }
    tokens--;
    return true;
  }
}
