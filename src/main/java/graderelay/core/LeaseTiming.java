package graderelay.core;

/** Constants for computing with the leases of workers and of the leader, in all packages. */
public final class LeaseTiming {
  /** Added to a worker's lease, since timers fire late in a process that is starved of CPU. */
  public static final double LEASE_MARGIN_S = 0.5;

  /** Relative drift allowed between two monotonic clocks: 0.05% on either side. */
  public static final double MAX_CLOCK_DRIFT_RATIO = 0.001;

  /**
   * Seconds since the leader's last response during which a lease delegate never renews leases
   * autonomously. This covers several of its requests, and is less than a worker needs to switch
   * over to it.
   */
  public static final double DELEGATE_AUTONOMY_DELAY_S = 4;

  private LeaseTiming() {}
}
