package graderelay.core;

import java.util.HashMap;
import java.util.Map;

/** How many more tasks each zone may take; a limit only for work to be spread over zones. */
final class ZoneRoom {
  private final Map<String, Integer> taken = new HashMap<>();
  private final int mostPerZone;

  private ZoneRoom(int mostPerZone, Map<String, Integer> taken) {
    this.mostPerZone = mostPerZone;
    this.taken.putAll(taken);
  }

  /** Tasks that the zone may still take. */
  int left(String zone) {
    return Math.max(0, mostPerZone - taken.getOrDefault(zone, 0));
  }

  /** The zone takes so many more tasks. */
  void take(String zone, int tasks) {
    taken.merge(zone, tasks, Integer::sum);
  }

  /** For the open tasks of a job, beside its claims. */
  static ZoneRoom of(Job job) {
    return job.spec.spread() ? new ZoneRoom(job.spec.zoneLimit(), job.zoneClaims) : unlimited();
  }

  /** For spare room for so many tasks: work to be spread will want half in each of two zones. */
  static ZoneRoom ofSpareRoom(JobSpec spec, int tasks) {
    return spec.spread() ? new ZoneRoom((tasks + 1) / 2, Map.of()) : unlimited();
  }

  private static ZoneRoom unlimited() {
    return new ZoneRoom(Integer.MAX_VALUE, Map.of());
  }
}
