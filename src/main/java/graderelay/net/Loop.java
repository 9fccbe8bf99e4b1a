package graderelay.net;

/** The one event loop that everything runs on, and its clocks. */
public interface Loop {
  /** Seconds on the steady clock. */
  double now();

  /** Milliseconds of the time of day, which may be off by the deployment's clock error. */
  long wallMs();

  void execute(Runnable r);

  Timer after(double seconds, Runnable r);

  /** Something that will happen unless it is cancelled. */
  interface Timer {
    void cancel();
  }
}
