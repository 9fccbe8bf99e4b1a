package graderelay.core;

import java.util.HashMap;
import java.util.Map;

/**
 * Number of tasks that each zone may still take; limited only for jobs that have to be spread over
 * zones.
 */
final class ZoneTaskLimit {
  private final Map<String, Integer> tasksByZone = new HashMap<>();
  private final int maxPerZone;

  private ZoneTaskLimit(int maxPerZone, Map<String, Integer> tasksByZone) {
    this.maxPerZone = maxPerZone;
    this.tasksByZone.putAll(tasksByZone);
  }

  /** Number of tasks that the zone may still take. */
  int remaining(String zone) {
    return Math.max(0, maxPerZone - tasksByZone.getOrDefault(zone, 0));
  }

  /** Counts tasks that are assigned to the zone. */
  void add(String zone, int tasks) {
    tasksByZone.merge(zone, tasks, Integer::sum);
  }

  /** The limit for the open tasks of a job, beside its claims. */
  static ZoneTaskLimit of(Job job) {
    return job.spec.spread()
        ? new ZoneTaskLimit(job.spec.maxTasksPerZone(), job.zoneClaims)
        : unlimited();
  }

  /**
   * The limit for spare room for future tasks of this spec: a job to be spread will need half of it
   * in each of two zones.
   */
  static ZoneTaskLimit ofSpareRoom(JobSpec spec, int tasks) {
    return spec.spread() ? new ZoneTaskLimit((tasks + 1) / 2, Map.of()) : unlimited();
  }

  private static ZoneTaskLimit unlimited() {
    return new ZoneTaskLimit(Integer.MAX_VALUE, Map.of());
  }
}
