package graderelay.core;

/** Timing of worker and leader leases shared by every package that computes with leases. */
public final class LeaseTiming {
  /** Seconds beyond a worker's lease: timers fire late on a starved process. */
  public static final double LEASE_MARGIN_S = 0.5;

  /** Share by which two steady clocks may differ: 0.05% on either side. */
  public static final double DRIFT = 0.001;

  /**
   * Seconds since the leader's last answer before which a lease delegate never answers by itself:
   * several of its requests, and less than a worker needs to find it.
   */
  public static final double DELEGATE_ALONE_S = 4;

  private LeaseTiming() {}
}
