package graderelay.core;

import java.util.HashMap;
import java.util.Map;

/** Counts of all and of silent on-demand machines, in total and by zone, as of one fleet plan. */
final class SilentMachineCounts {
  /** When the machines were counted, in seconds on the leader's clock. */
  final double countedAt;

  /** Number of machines counted, including silent ones. */
  int total;

  /** Number of silent machines among them. */
  int silent;

  private final Map<String, Integer> totalByZone = new HashMap<>();
  private final Map<String, Integer> silentByZone = new HashMap<>();

  SilentMachineCounts(double now) {
    countedAt = now;
  }

  /** Counts one machine; {@code zone} is null if unknown. */
  void add(String zone, boolean isSilent) {
    int increment = isSilent ? 1 : 0;
    total++;
    silent += increment;
    if (zone != null) {
      totalByZone.merge(zone, 1, Integer::sum);
      silentByZone.merge(zone, increment, Integer::sum);
    }
  }

  /** True if more than half of the machines in the zone are silent. */
  boolean isMajoritySilent(String zone) {
    return zone != null
        && silentByZone.getOrDefault(zone, 0) * 2 > totalByZone.getOrDefault(zone, 0);
  }
}
