package graderelay.core;

/** Limits and periods of the scheduling core that other packages and the tests refer to. */
public final class SchedulerLimits {
  /** Seconds between rounds at least, so that a burst of events is placed together. */
  public static final double ROUND_EVERY_S = 0.01;

  /**
   * Seconds after its submission from which a job that has never begun goes before all others of
   * its priority. Users want the largest to begin within four minutes; this leaves time to make
   * room and to scale out.
   */
  public static final double WAITING_WINS_S = 75;

  /**
   * Tasks on one machine: its heartbeat names all of them, with as many more that have exited, at
   * some 75 bytes each, and a heartbeat of more than 64 KiB can't be taken from it any more.
   */
  public static final int MOST_ON_MACHINE = 400;

  /**
   * Records that share the images of each thousand machines: some 30 bytes a machine, so that they
   * fit values of 2 KiB.
   */
  public static final int IMAGE_PARTS_PER_THOUSAND = 24;

  /** Conditions that a transaction may have for each of its changes; a limit of the protocol. */
  public static final int CONDITIONS_PER_OP = 4;

  /** Commands in one message to a worker, a batch, so that its line stays well below 64 KiB. */
  public static final int MOST_ORDERS = 400;

  private SchedulerLimits() {}
}
