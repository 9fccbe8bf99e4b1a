package graderelay.core;

/**
 * A token bucket for messages that are sent directly to a worker. Each message costs a connection
 * and a response. Commands beyond the rate wait for the responses to the regular heartbeats.
 */
final class DirectCommandRateLimiter {
  /**
   * Share of the bucket that launches of arrays and probes of machines with services leave unused.
   * Launches that are not sent directly go with the response to the machine's next heartbeat.
   */
  static final double SERVICE_RESERVE_SHARE = 0.25;

  /** Share of the bucket that probes of machines without services leave unused. */
  static final double COMMAND_RESERVE_SHARE = 0.5;

  /** Reserve share for the most urgent commands, which may use the whole bucket. */
  static final double NO_RESERVE_SHARE = 0;

  private final ClusterState cluster;
  private double tokens;
  private double refilledAt;

  DirectCommandRateLimiter(ClusterState cluster) {
    this.cluster = cluster;
    this.refilledAt = cluster.leaderSince;
    this.tokens = cluster.policy.directCommandsPerS();
  }

  /**
   * Takes a token if the bucket holds one in addition to the reserve.
   *
   * @param reserveShare share of a second's tokens that stays reserved for more urgent commands
   */
  boolean tryAcquire(double now, double reserveShare) {
    double tokensPerS = cluster.policy.directCommandsPerS();
    tokens = Math.min(tokensPerS, tokens + (now - refilledAt) * tokensPerS);
    refilledAt = now;
    if (tokens < 1 + reserveShare * tokensPerS) {
      return false;
    }
    tokens--;
    return true;
  }
}
