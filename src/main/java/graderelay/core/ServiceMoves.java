package graderelay.core;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Moves services off closing machines, a few at a time, to where there is room and their image: a
 * replica is asked to stop, and placement starts it again elsewhere.
 */
final class ServiceMoves {
  /** Share of a machine up to which services are moved off it. */
  private static final double MOST_SERVICE_SHARE = 0.5;

  /** Seconds between moves of replicas, each of which is away for a moment. */
  private static final double MOVE_EVERY_S = 2;

  private final ClusterState cluster;
  private double lastMove = Double.NEGATIVE_INFINITY;

  ServiceMoves(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** True if the machine's services fit on the other on-demand machines that stay. */
  boolean canMoveServicesOff(Machine machine, List<Machine> onDemand, double now) {
    if (machine.serviceResources.cpus() > MOST_SERVICE_SHARE * machine.capacity.cpus()) {
      return false;
    }
    Map<Machine, Resources> free = new LinkedHashMap<>();
    for (Machine other : onDemand) {
      if (other != machine
          && !other.consolidating
          && MachineAvailability.isAvailable(cluster, other, now)) {
        free.put(other, other.capacity.minus(other.serviceResources));
      }
    }
    for (Claim claim : machine.claims.values()) {
      if (!claim.job.spec.isService()) {
        continue;
      }
      Machine target = firstWithRoom(claim, free);
      if (target == null) {
        return false;
      }
      free.merge(target, claim.resources(), Resources::minus);
    }
    return true;
  }

  private static Machine firstWithRoom(Claim claim, Map<Machine, Resources> free) {
    for (var entry : free.entrySet()) {
      if (entry.getValue().holds(claim.resources()) && suits(claim, entry.getKey())) {
        return entry.getKey();
      }
    }
    return null;
  }

  /**
   * True if the service may be moved to the target. Services with rules on zones stay where they
   * are, since moves of some of them are delicate.
   */
  private static boolean suits(Claim claim, Machine target) {
    JobSpec spec = claim.job.spec;
    return target.hasImage(spec.image())
        && (spec.types() == null || spec.types().contains(target.type))
        && (spec.zone() == null || spec.zone().equals(target.zone))
        && !spec.oneZone()
        && (!spec.spread() || spec.tasks() == 1);
  }

  /** Asks at most so many settled services on closing machines to stop, where room waits. */
  void moveOffClosing(List<Machine> onDemand, int most, double now) {
    if (now - lastMove < MOVE_EVERY_S) {
      return;
    }
    int left = most;
    Map<Machine, Resources> planned = new HashMap<>();
    for (Machine machine : onDemand) {
      if (!machine.consolidating) {
        continue;
      }
      for (Claim claim : machine.claims.values()) {
        Machine target =
            settled(claim, now) ? target(claim, machine, onDemand, planned, now) : null;
        if (target == null) {
          continue;
        }
        cluster.requestStop(claim, now);
        lastMove = now;
        planned.merge(target, claim.resources(), Resources::plus);
        cluster.log("move " + claim.taskId() + " off " + machine.name);
        if (--left <= 0) {
          return;
        }
      }
    }
  }

  /** True for a service that has run for a while and was not asked to stop. */
  private static boolean settled(Claim claim, double now) {
    return claim.phase == Claim.Phase.COMMITTED
        && !claim.stopRequested
        && claim.job.spec.isService()
        && claim.runningSince > 0
        && now - claim.runningSince > FleetConsolidation.MIN_BILLING_PERIOD_S;
  }

  /**
   * The first machine that takes the service, or null.
   *
   * @param planned what the moves of this plan so far will take on each machine
   */
  private Machine target(
      Claim claim,
      Machine from,
      List<Machine> onDemand,
      Map<Machine, Resources> planned,
      double now) {
    for (Machine target : onDemand) {
      if (target != from
          && !target.consolidating
          && target.hasRoomFor(claim.resources())
          && suits(claim, target)
          && MachineAvailability.isAvailable(cluster, target, now)
          && freeBeside(planned, target).holds(claim.resources())) {
        return target;
      }
    }
    return null;
  }

  private static Resources freeBeside(Map<Machine, Resources> planned, Machine machine) {
    return machine.free().minus(planned.getOrDefault(machine, Resources.NONE));
  }
}
