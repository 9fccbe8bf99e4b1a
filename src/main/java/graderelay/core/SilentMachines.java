package graderelay.core;

import java.util.HashMap;
import java.util.Map;

/** How many on-demand machines are silent, in all and by zone, counted once a plan. */
final class SilentMachines {
  /** When the machines were counted, in seconds on the leader's clock. */
  final double countedAt;

  /** Machines counted so far, silent ones included. */
  int up;

  /** Those of them that are silent. */
  int silent;

  private final Map<String, Integer> upIn = new HashMap<>();
  private final Map<String, Integer> silentIn = new HashMap<>();

  SilentMachines(double now) {
    countedAt = now;
  }

  /** Counts one machine; {@code zone} is null while its zone is not known. */
  void count(String zone, boolean isSilent) {
    int silentOne = isSilent ? 1 : 0;
    up++;
    silent += silentOne;
    if (zone != null) {
      upIn.merge(zone, 1, Integer::sum);
      silentIn.merge(zone, silentOne, Integer::sum);
    }
  }

  /** True if more than half of a zone's machines are silent. */
  boolean mostOf(String zone) {
    return zone != null && silentIn.getOrDefault(zone, 0) * 2 > upIn.getOrDefault(zone, 0);
  }
}
