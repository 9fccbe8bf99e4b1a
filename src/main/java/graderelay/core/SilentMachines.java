package graderelay.core;

import java.util.HashMap;
import java.util.Map;

/** How many on-demand machines are silent, in all and by zone, counted once a plan. */
final class SilentMachines {
  final double countedAt;
  int up;
  int silent;
  private final Map<String, Integer> upIn = new HashMap<>();
  private final Map<String, Integer> silentIn = new HashMap<>();

  SilentMachines(double now) {
    countedAt = now;
  }

  void count(String zone, boolean quiet) {
    int one = quiet ? 1 : 0;
    up++;
    silent += one;
    if (zone != null) {
      upIn.merge(zone, 1, Integer::sum);
      silentIn.merge(zone, one, Integer::sum);
    }
  }

  /** True if more than half of a zone's machines are silent. */
  boolean mostOf(String zone) {
    return zone != null && silentIn.getOrDefault(zone, 0) * 2 > upIn.getOrDefault(zone, 0);
  }
}
