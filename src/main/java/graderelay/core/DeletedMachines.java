package graderelay.core;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Names of recently deleted machines. Delayed machine lists and heartbeats can name them for
 * minutes after the deletion and must not add them again.
 */
final class DeletedMachines {
  /**
   * Upper bound on the names kept. A fleet of 4,000 machines can be replaced several times within
   * the minutes of such delays. Each name takes about 100 bytes.
   */
  private static final int MAX_NAMES = 20_000;

  private final Set<String> names = new LinkedHashSet<>();

  /** Adds a deleted machine and evicts the oldest name if the limit is exceeded. */
  void add(String machine) {
    names.add(machine);
    if (names.size() > MAX_NAMES) {
      names.remove(names.iterator().next());
    }
  }

  /** True if the machine is one of the recently deleted ones. */
  boolean contains(String machine) {
    return names.contains(machine);
  }
}
