package graderelay.core;

import java.util.HashMap;
import java.util.Map;

/** How many more tasks each zone may take, for work that has to be spread over zones. */
final class ZoneRoom {
  private final Map<String, Integer> taken = new HashMap<>();
  private final int most;

  private ZoneRoom(int most, Map<String, Integer> claims) {
    this.most = most;
    taken.putAll(claims);
  }

  int left(String zone) {
    return Math.max(0, most - taken.getOrDefault(zone, 0));
  }

  void take(String zone, int n) {
    taken.merge(zone, n, Integer::sum);
  }

  /** For a job, or null if any zone may take all of it. */
  static ZoneRoom of(Job j) {
    return j.spec.spread() ? new ZoneRoom(j.spec.zoneLimit(), j.zoneClaims) : null;
  }

  /** For spare room that such work will want half of in each of two zones, or null. */
  static ZoneRoom of(JobSpec s, int n) {
    return s.spread() ? new ZoneRoom((n + 1) / 2, Map.of()) : null;
  }
}
