package graderelay.core;

/**
 * Number of claims by priority. Lets the search for claims to preempt return at once when there are
 * none of lower priority.
 */
final class PriorityCounts {
  private final int[] counts = new int[Priority.values().length];

  void add(Priority priority) {
    counts[priority.ordinal()]++;
  }

  void remove(Priority priority) {
    counts[priority.ordinal()]--;
  }

  /** True if there are claims of a lower priority than this one. */
  boolean hasLowerThan(Priority priority) {
    for (int i = priority.ordinal() + 1; i < counts.length; i++) {
      if (counts[i] > 0) {
        return true;
      }
    }
    return false;
  }
}
