package graderelay.core;

import java.util.EnumMap;
import java.util.Map;
import java.util.StringJoiner;

/**
 * What keeps a job's tasks from the machines, as numbers of machines by obstacle. Examines every
 * machine, so it is made only when somebody asks, and once for a job that waits long.
 */
final class PlacementDiagnosis {
  private final Map<PlacementObstacle, Integer> machinesByObstacle =
      new EnumMap<>(PlacementObstacle.class);

  /** Exclusions of machines that have room for a task of the job. */
  private boolean isKeptFromRoom;

  /** Diagnoses a job; {@code now} is in seconds on the leader's clock. */
  static PlacementDiagnosis of(ClusterState cluster, PlacementRules rules, Job job, double now) {
    PlacementDiagnosis diagnosis = new PlacementDiagnosis();
    for (Machine machine : cluster.machines.values()) {
      diagnosis.add(cluster, rules, job, machine, now);
    }
    cluster.examinedCount += cluster.machines.size();
    return diagnosis;
  }

  private void add(
      ClusterState cluster, PlacementRules rules, Job job, Machine machine, double now) {
    PlacementObstacle obstacle = obstacle(cluster, rules, job, machine, now);
    if (obstacle != null) {
      machinesByObstacle.merge(obstacle, 1, Integer::sum);
      isKeptFromRoom |= obstacle.isExclusion() && machine.hasRoomFor(job.taskResources);
    }
  }

  private static PlacementObstacle obstacle(
      ClusterState cluster, PlacementRules rules, Job job, Machine machine, double now) {
    if (!MachineAvailability.isAvailable(cluster, machine, now)) {
      return PlacementObstacle.UNAVAILABLE;
    }
    PlacementObstacle obstacle = rules.obstacle(job, machine, now);
    if (obstacle != null) {
      return obstacle;
    }
    if (!PlacementRules.isZoneAllowed(job, machine.zone)) {
      return PlacementObstacle.ZONE_TAKEN;
    }
    return machine.hasRoomFor(job.taskResources) ? null : PlacementObstacle.FULL;
  }

  /** True if a machine has room for a task of the job, which may not use it for a while. */
  boolean isKeptFromRoom() {
    return isKeptFromRoom;
  }

  /** The numbers of machines, for operators. */
  @Override
  public String toString() {
    StringJoiner text = new StringJoiner(", ");
    machinesByObstacle.forEach((obstacle, count) -> text.add(count + " " + obstacle.text));
    return text.toString();
  }
}
