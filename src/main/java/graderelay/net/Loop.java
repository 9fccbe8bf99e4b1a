package graderelay.net;

/**
 * The event loop of a controller, with its clocks and timers. All code of a controller runs on it.
 */
public interface Loop {
  /** Returns the time of the monotonic clock in seconds; it is not comparable between processes. */
  double now();

  /**
   * Returns the wall clock time in milliseconds since the epoch, which may be off by the
   * deployment's clock error.
   */
  long wallClockMs();

  /** Runs a task on the loop after the current one. The only method that other threads may call. */
  void execute(Runnable task);

  /** Runs a task on the loop after a delay, unless the timer is cancelled. */
  Timer schedule(double delayS, Runnable task);

  /** A scheduled task that can be cancelled. */
  @FunctionalInterface
  interface Timer {
    /** Cancels the task; no effect if it has already run. */
    void cancel();
  }
}
