package graderelay.core;

import java.util.List;

/**
 * Where a task of a job may go: the job's own constraints (types, zone, spot), the machines it
 * failed on, zone placement against its other claims, and how many tasks of a suspect job are tried
 * at once.
 */
final class PlacementRules {
  private final ClusterState cluster;

  PlacementRules(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** The part that does not depend on where the job's other tasks are. */
  boolean allowed(Job job, Machine machine) {
    JobSpec spec = job.spec;
    return (spec.types() == null || spec.types().contains(machine.type))
        && (spec.zone() == null || spec.zone().equals(machine.zone))
        && (spec.spot() || !machine.spot)
        && !machine.consolidating
        && !avoided(job, machine);
  }

  /**
   * Where a task of the job failed, unless that is most of the machines: a job must be tried on,
   * and on a small fleet no other may be left.
   */
  private boolean avoided(Job job, Machine machine) {
    return job.failedMachines.contains(machine.name)
        && job.failedMachines.size() * 2 < cluster.machines.size();
  }

  /**
   * Tasks that may be claimed at once: few of a job that may be at fault, as trying costs little.
   */
  int mostTried(Job job) {
    if (job.suspect) {
      return 1;
    }
    return job.unproven ? cluster.policy.tuning().attemptCap() : Integer.MAX_VALUE;
  }

  /** True if the job's tasks must stay in one zone or be spread over zones. */
  static boolean zoned(Job job) {
    return job.spec.oneZone() || job.spec.spread();
  }

  /**
   * True if the zone may take one more task, given where the job's other tasks are. Judged on
   * claims, not heartbeats.
   */
  static boolean zoneAllowed(Job job, String zone) {
    if (!zoned(job)) {
      return true;
    }
    int located = 0;
    int inZone = 0;
    for (var zoneCount : job.zoneClaims.entrySet()) {
      located += zoneCount.getValue();
      inZone += zoneCount.getKey().equals(zone) ? zoneCount.getValue() : 0;
    }
    if (located != job.claims.size()) {
      return false; // A claim stands on a machine whose zone is not known yet.
    }
    if (job.spec.oneZone() && inZone != located) {
      return false;
    }
    return !job.spec.spread() || inZone < job.spec.zoneLimit();
  }

  /**
   * True if the job should start sooner than its image can be fetched, and work that it may preempt
   * runs on a machine that has the image.
   */
  boolean warmRoomCanBeMade(Job job, List<Machine> usable, double now) {
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
          && allowed(job, machine)
          && zoneAllowed(job, machine.zone)
          && canMakeRoom(job, machine)) {
        return true;
      }
    }
    return false;
  }

  /** True if room is on its way on the machine, or can be made at little loss. */
  private static boolean canMakeRoom(Job job, Machine machine) {
    Resources room = machine.free();
    for (Claim claim : machine.claims.values()) {
      boolean ending = claim.stopRequested || claim.phase == Claim.Phase.ENDING;
      boolean outranked =
          claim.phase == Claim.Phase.COMMITTED && job.priority().beats(claim.priority);
      if (ending || outranked) {
        room = room.plus(claim.resources());
      }
    }
    return room.holds(job.taskResources);
  }
}
