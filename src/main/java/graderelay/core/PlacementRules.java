package graderelay.core;

import java.util.List;

/**
 * Rules on where tasks of a job may run: the job's own constraints (machine types, zone, spot), the
 * machines on which it failed, its zone placement, and how many tasks of a suspect job are tried at
 * once.
 */
final class PlacementRules {
  private final ClusterState cluster;

  PlacementRules(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * True if the machine meets the rules that do not depend on where the job's other tasks are. Both
   * placement and the fleet plan ask this, so that the plan counts no room that placement leaves.
   */
  boolean isAllowed(Job job, Machine machine, double now) {
    return obstacle(job, machine, now) == null;
  }

  /**
   * The first rule of {@link #isAllowed} that the machine breaks, or null. A machine that is only
   * being consolidated meets all other rules.
   */
  PlacementObstacle obstacle(Job job, Machine machine, double now) {
    PlacementObstacle poolObstacle =
        poolObstacle(job.spec, machine.type, machine.zone, machine.spot);
    if (poolObstacle != null) {
      return poolObstacle;
    }
    if (isAvoided(job, machine, now)) {
      return PlacementObstacle.AVOIDED;
    }
    return machine.consolidating ? PlacementObstacle.CONSOLIDATING : null;
  }

  /** The constraint of the spec that machines of a pool don't meet, or null. */
  static PlacementObstacle poolObstacle(JobSpec spec, String type, String zone, boolean spot) {
    if (spec.types() != null && !spec.types().contains(type)) {
      return PlacementObstacle.OTHER_TYPE;
    }
    if (spec.zone() != null && !spec.zone().equals(zone)) {
      return PlacementObstacle.OTHER_ZONE;
    }
    return spot && !spec.spot() ? PlacementObstacle.SPOT : null;
  }

  /**
   * True for a machine on which a task of the job failed recently, unless the job failed on half of
   * the machines or more: it has to be retried, and on a small fleet no other machine may be left.
   */
  private boolean isAvoided(Job job, Machine machine, double now) {
    return job.failedMachines.isAvoided(machine.name, now)
        && job.failedMachines.size() * 2 < cluster.machines.size();
  }

  /**
   * Maximum number of claims that the job may have at once; small for a job that may itself cause
   * its failures, so that trying it costs little.
   */
  int maxConcurrentClaims(Job job) {
    if (job.suspect) {
      return 1;
    }
    return job.unproven ? cluster.policy.tuning().attemptCap() : Integer.MAX_VALUE;
  }

  /** True if the job's tasks must all be in one zone or must be spread over zones. */
  static boolean isZoneConstrained(Job job) {
    return job.spec.oneZone() || job.spec.spread();
  }

  /**
   * True if the zone may take one more task, given the zones of the job's other claims. Claims
   * decide and not heartbeats, since a claimed task may not be in any heartbeat yet.
   */
  static boolean isZoneAllowed(Job job, String zone) {
    if (!isZoneConstrained(job)) {
      return true;
    }
    int locatedClaims = 0;
    int claimsInZone = 0;
    for (var zoneCount : job.zoneClaims.entrySet()) {
      locatedClaims += zoneCount.getValue();
      claimsInZone += zoneCount.getKey().equals(zone) ? zoneCount.getValue() : 0;
    }
    if (locatedClaims != job.claims.size()) {
      return false; // A claimed machine's zone is not known yet.
    }
    if (job.spec.oneZone() && claimsInZone != locatedClaims) {
      return false;
    }
    return !job.spec.spread() || claimsInZone < job.spec.maxTasksPerZone();
  }

  /**
   * True if the job's start objective is shorter than the fetch of its image, and there is room, or
   * room can be made by preemption, on a machine that has the image.
   */
  boolean canMakeRoomOnMachineWithImage(Job job, List<Machine> usable, double now) {
    Double startObjectiveS = cluster.policy.startObjectivesS().get(job.spec.jobClass());
    if (startObjectiveS == null || now - job.waitingSince > startObjectiveS) {
      return false;
    }
    cluster.examinedCount += usable.size();
    for (Machine machine : usable) {
      MachineType type = cluster.machineTypes.get(machine.type);
      if (machine.hasImage(job.spec.image())
          && type != null
          && type.fetchGbPerS() > 0
          && job.spec.imageGb() / type.fetchGbPerS() > startObjectiveS
          && isAllowed(job, machine, now)
          && isZoneAllowed(job, machine.zone)
          && canMakeRoom(job, machine)) {
        return true;
      }
    }
    return false;
  }

  /**
   * True if the machine has room for a task once its ending claims have ended and claims of lower
   * priority are preempted.
   */
  private static boolean canMakeRoom(Job job, Machine machine) {
    Resources free = machine.free();
    for (Claim claim : machine.claims.values()) {
      boolean ending = claim.stopRequested || claim.phase == Claim.Phase.ENDING;
      boolean lowerPriority =
          claim.phase == Claim.Phase.COMMITTED && job.priority().isHigherThan(claim.priority);
      if (ending || lowerPriority) {
        free = free.plus(claim.resources());
      }
    }
    return free.hasRoomFor(job.taskResources);
  }
}
