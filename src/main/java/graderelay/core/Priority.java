package graderelay.core;

/** How urgent a job is; the declared order is the order of preference. */
public enum Priority {
  PROD,
  URGENT,
  NORMAL,
  LOW;

  /** True if work of this priority may preempt work of the other one. */
  public boolean beats(Priority other) {
    return compareTo(other) < 0;
  }
}
