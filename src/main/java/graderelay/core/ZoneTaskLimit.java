package graderelay.core;

import java.util.HashMap;
import java.util.Map;

/**
 * Number of tasks that each zone may still take; limited only for jobs that have to be spread over
 * zones, and for jobs whose tasks have to be in one zone once some of them are.
 */
final class ZoneTaskLimit {
  private final Map<String, Integer> tasksByZone = new HashMap<>();
  private final int maxPerZone;

  /** The only zone that may take tasks, or null if any may. */
  private final String boundZone;

  private ZoneTaskLimit(int maxPerZone, Map<String, Integer> tasksByZone, String boundZone) {
    this.maxPerZone = maxPerZone;
    this.tasksByZone.putAll(tasksByZone);
    this.boundZone = boundZone;
  }

  /** Number of tasks that the zone may still take. */
  int remaining(String zone) {
    if (boundZone != null && !boundZone.equals(zone)) {
      return 0;
    }
    return Math.max(0, maxPerZone - tasksByZone.getOrDefault(zone, 0));
  }

  /** True if every zone may take any number of tasks. */
  boolean isUnlimited() {
    return boundZone == null && maxPerZone == Integer.MAX_VALUE;
  }

  /** Counts tasks that are assigned to the zone. */
  void add(String zone, int tasks) {
    tasksByZone.merge(zone, tasks, Integer::sum);
  }

  /** The limit for the open tasks of a job, beside its claims. */
  static ZoneTaskLimit of(Job job) {
    if (job.spec.spread()) {
      return new ZoneTaskLimit(job.spec.maxTasksPerZone(), job.zoneClaims, null);
    }
    return new ZoneTaskLimit(Integer.MAX_VALUE, Map.of(), boundZone(job));
  }

  /** The zone that the job's claims bind it to, or null if there is none. */
  private static String boundZone(Job job) {
    if (!job.spec.oneZone()) {
      return null;
    }
    for (var zoneCount : job.zoneClaims.entrySet()) {
      if (zoneCount.getValue() > 0) {
        return zoneCount.getKey();
      }
    }
    return null;
  }

  /**
   * The limit for spare room for future tasks of this spec: a job to be spread will need half of it
   * in each of two zones.
   */
  static ZoneTaskLimit ofSpareRoom(JobSpec spec, int tasks) {
    return spec.spread()
        ? new ZoneTaskLimit((tasks + 1) / 2, Map.of(), null)
        : new ZoneTaskLimit(Integer.MAX_VALUE, Map.of(), null);
  }
}
