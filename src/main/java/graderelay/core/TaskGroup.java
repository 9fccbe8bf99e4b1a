package graderelay.core;

import java.util.List;

/**
 * Tasks of one spec that a fleet plan packs together.
 *
 * @param tasks their number
 * @param zones number of them that each zone may take
 * @param job the job whose waiting tasks they are; null if they represent spare capacity
 */
record TaskGroup(JobSpec spec, int tasks, ZoneTaskLimit zones, Job job) {
  /**
   * What decides which bins take tasks of a group, beside limits by zone and what its job avoids.
   *
   * @param resources what one task needs
   * @param priority the priority of a service, for which arrays are preempted; null for an array
   * @param spareCapacity whether they are no job's, so that consolidations don't matter
   */
  record Shape(
      Resources resources,
      List<String> types,
      String zone,
      boolean spot,
      boolean service,
      Priority priority,
      boolean spareCapacity) {}

  /** True if the tasks are no job's yet. */
  boolean isSpareCapacity() {
    return job == null;
  }

  /** The priority with which the tasks are queued. */
  Priority priority() {
    return isSpareCapacity() ? spec.priority() : job.priority();
  }

  /** The shape of the tasks. */
  Shape shape() {
    return new Shape(
        Resources.of(spec),
        spec.types(),
        spec.zone(),
        spec.spot(),
        spec.isService(),
        spec.isService() ? priority() : null,
        isSpareCapacity());
  }
}
