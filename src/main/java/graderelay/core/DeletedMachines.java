package graderelay.core;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Names of the machines that the cloud deleted most recently. Late lists and heartbeats still name
 * them for minutes, and must not bring them back.
 */
final class DeletedMachines {
  /**
   * Names remembered at most: within the minutes of such delays a fleet of four thousand may have
   * been replaced several times. Some 100 bytes each.
   */
  private static final int MOST_REMEMBERED = 20_000;

  private final Set<String> names = new LinkedHashSet<>();

  /** Remembers a deleted machine, and forgets the oldest beyond the bound. */
  void add(String machine) {
    names.add(machine);
    if (names.size() > MOST_REMEMBERED) {
      names.remove(names.iterator().next());
    }
  }

  /** True if the machine is among the deleted ones that are still remembered. */
  boolean contains(String machine) {
    return names.contains(machine);
  }
}
