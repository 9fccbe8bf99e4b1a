package graderelay.net;

/** The one event loop that everything runs on, and its clocks. */
public interface Loop {
  /** Seconds on the steady clock, which has no meaning outside this process. */
  double now();

  /** Milliseconds of the time of day, which may be off by the deployment's clock error. */
  long wallMs();

  /** Runs a task on the loop, after what it does now. The only method for other threads. */
  void execute(Runnable task);

  /** Runs a task on the loop after so many seconds, unless the timer is cancelled. */
  Timer after(double seconds, Runnable task);

  /** Something that will happen unless it is cancelled. */
  @FunctionalInterface
  interface Timer {
    /** Keeps it from happening; without effect if it has happened. */
    void cancel();
  }
}
