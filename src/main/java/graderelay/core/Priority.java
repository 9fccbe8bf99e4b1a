package graderelay.core;

/** The priority of a job; declared from highest to lowest. */
public enum Priority {
  PROD,
  URGENT,
  NORMAL,
  LOW;

  /** True if this priority is higher, so that work of it may preempt work of the other priority. */
  public boolean isHigherThan(Priority other) {
    return compareTo(other) < 0;
  }
}
