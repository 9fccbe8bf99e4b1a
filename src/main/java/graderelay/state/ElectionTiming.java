package graderelay.state;

/** Timing of elections that several classes and the lease delegates reckon with. */
public final class ElectionTiming {
  /**
   * Seconds for which a leader counts on a silent peer's suspension after it last read the records,
   * and for which that peer waits on its way out of it. Longer than outages of the key-value store
   * that were met, and no longer than users can wait should all others be gone.
   */
  public static final double SUSPENSION_S = 30;

  /**
   * Seconds of silence after which a peer is suspended: a few status requests, and less than a
   * restart.
   */
  public static final double SUSPEND_AFTER_S = 3.2;

  /** Seconds of failing calls after which a controller takes the key-value store for away. */
  public static final double STORE_AWAY_AFTER_S = 0.5;

  /**
   * Seconds for which a peer pledges not to stand for election, while the leader can't renew its
   * session lease. A restarted controller waits as long, since it may have forgotten a pledge.
   */
  static final double PLEDGE_S = 0.6;

  /**
   * Seconds for which a peer pledges not to stand for election while worker leases are renewed
   * without a leader. A restarted controller waits as long before it stands, so it is short.
   */
  static final double LEADERLESS_PLEDGE_S = 0.6;

  /** Seconds before the end of a pledge or suspension at which it counts as over. */
  static final double PLEDGE_MARGIN_S = 0.05;

  private ElectionTiming() {}
}
