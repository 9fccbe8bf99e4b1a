package graderelay.core;

/** Counts of claims by priority, so that a search for work to preempt costs nothing without any. */
final class PriorityCounts {
  private final int[] counts = new int[Priority.values().length];

  /** Counts a claim of this priority. */
  void add(Priority priority) {
    counts[priority.ordinal()]++;
  }

  /** Takes a claim of this priority out of the counts. */
  void remove(Priority priority) {
    counts[priority.ordinal()]--;
  }

  /** True if claims that work of this priority may preempt are among them. */
  boolean hasBelow(Priority priority) {
    for (int i = priority.ordinal() + 1; i < counts.length; i++) {
      if (counts[i] > 0) {
        return true;
      }
    }
    return false;
  }
}
