package graderelay.state;

/** Timing of elections that several classes and the lease delegates depend on. */
public final class ElectionTiming {
  /**
   * Seconds for which a leader relies on the suspension of an unresponsive peer after it last read
   * the records, and for which that peer waits before it leaves the suspension by itself. Longer
   * than the observed outages of the key-value store, and short enough for users to wait if all
   * other controllers are down.
   */
  public static final double SUSPENSION_S = 30;

  /**
   * Seconds without an answer after which a peer is suspended: a few status requests, and less than
   * a restart takes.
   */
  public static final double SUSPEND_AFTER_SILENCE_S = 3.2;

  /** Seconds of failing calls after which the key-value store is considered unavailable. */
  public static final double STORE_UNAVAILABLE_AFTER_S = 0.5;

  /**
   * Seconds for which a peer pledges not to stand for election while the leader can't renew its
   * session lease. A restarted controller waits this long too, since pledges are not persisted.
   */
  static final double LEADER_PLEDGE_S = 0.6;

  /**
   * Seconds for which a peer pledges not to stand for election while worker leases are renewed
   * without a leader. Short, since a restarted controller waits this long before it stands.
   */
  static final double LEADERLESS_PLEDGE_S = 0.6;

  /** Seconds before its end at which a pledge or suspension is considered expired. */
  static final double EXPIRY_MARGIN_S = 0.05;

  private ElectionTiming() {}
}
