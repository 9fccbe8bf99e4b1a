package graderelay.core;

/** Limits and intervals of the scheduling core that other packages and tests refer to. */
public final class SchedulerLimits {
  /** Minimum time between scheduling rounds, so that the events of a burst are handled together. */
  public static final double MIN_ROUND_INTERVAL_S = 0.01;

  /**
   * Time after which a job that has never started is placed before all others of its priority. The
   * objective is that even the largest jobs start within four minutes; this leaves time to preempt
   * and to scale out.
   */
  public static final double STARVATION_THRESHOLD_S = 75;

  /**
   * Maximum number of tasks on one machine. Its heartbeat lists all of them, and as many that have
   * exited, at about 75 bytes each, and a heartbeat of more than 64 KiB is rejected.
   */
  public static final int MAX_TASKS_PER_MACHINE = 400;

  /**
   * Number of records over which the image lists of each thousand machines are distributed: at
   * about 30 bytes a machine, each record then fits a value of 2 KiB.
   */
  public static final int IMAGE_RECORDS_PER_THOUSAND_MACHINES = 24;

  /**
   * Maximum number of conditions in a transaction for each of its changes; a limit of the store's
   * protocol.
   */
  public static final int MAX_CONDITIONS_PER_CHANGE = 4;

  /**
   * Maximum number of commands in one message to a worker, so that the message stays well below 64
   * KiB.
   */
  public static final int MAX_COMMANDS_PER_MESSAGE = 400;

  private SchedulerLimits() {}
}
