package graderelay.core;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Moves services off machines that are being consolidated, a few at a time, to machines with room
 * and their image: a replica is requested to stop, and placement starts it again elsewhere.
 */
final class ServiceMoves {
  /** Services are moved off a machine only if they use at most this share of its CPUs. */
  private static final double MAX_SERVICE_CPU_SHARE = 0.5;

  /** Minimum time between moves, each of which makes a replica unavailable for a moment. */
  private static final double MOVE_INTERVAL_S = 2;

  private final ClusterState cluster;
  private final PlacementRules placementRules;
  private double lastMoveAt = Double.NEGATIVE_INFINITY;

  ServiceMoves(ClusterState cluster) {
    this.cluster = cluster;
    this.placementRules = new PlacementRules(cluster);
  }

  /**
   * True if the machine's services fit on the other on-demand machines that are not being
   * consolidated.
   */
  boolean canMoveServicesOff(Machine machine, List<Machine> onDemand, double now) {
    if (machine.serviceResources.cpus() > MAX_SERVICE_CPU_SHARE * machine.capacity.cpus()) {
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
      Machine target = firstWithRoom(claim, free, now);
      if (target == null) {
        return false;
      }
      free.merge(target, claim.resources(), Resources::minus);
    }
    return true;
  }

  private Machine firstWithRoom(Claim claim, Map<Machine, Resources> free, double now) {
    for (var entry : free.entrySet()) {
      if (entry.getValue().hasRoomFor(claim.resources()) && canRunOn(claim, entry.getKey(), now)) {
        return entry.getKey();
      }
    }
    return null;
  }

  /**
   * True if the service may be moved to the target. Services with zone constraints are not moved,
   * since moving single replicas could violate the constraint.
   */
  private boolean canRunOn(Claim claim, Machine target, double now) {
    JobSpec spec = claim.job.spec;
    return target.hasImage(spec.image())
        && placementRules.isAllowed(claim.job, target, now)
        && !spec.oneZone()
        && (!spec.spread() || spec.tasks() == 1);
  }

  /**
   * Requests the stop of up to this many services on machines that are being consolidated, each
   * only if another machine has room for it.
   */
  void moveOffConsolidatingMachines(List<Machine> onDemand, int maxMoves, double now) {
    if (now - lastMoveAt < MOVE_INTERVAL_S) {
      return;
    }
    int movesLeft = maxMoves;
    Map<Machine, Resources> planned = new HashMap<>();
    for (Machine machine : onDemand) {
      if (!machine.consolidating) {
        continue;
      }
      for (Claim claim : machine.claims.values()) {
        Machine target =
            hasSettled(claim, now) ? moveTarget(claim, machine, onDemand, planned, now) : null;
        if (target == null) {
          continue;
        }
        cluster.requestStop(claim, now);
        lastMoveAt = now;
        planned.merge(target, claim.resources(), Resources::plus);
        cluster.log("moving " + claim.taskId() + " off machine " + machine.name);
        if (--movesLeft <= 0) {
          return;
        }
      }
    }
  }

  /** True for a service that has run for a while and was not requested to stop. */
  private static boolean hasSettled(Claim claim, double now) {
    return claim.phase == Claim.Phase.COMMITTED
        && !claim.stopRequested
        && claim.job.spec.isService()
        && claim.runningSince > 0
        && now - claim.runningSince > FleetConsolidation.MIN_BILLING_PERIOD_S;
  }

  /**
   * The first machine that has room for the service, or null.
   *
   * @param planned resources that the moves of this plan so far will take on each machine
   */
  private Machine moveTarget(
      Claim claim,
      Machine from,
      List<Machine> onDemand,
      Map<Machine, Resources> planned,
      double now) {
    for (Machine target : onDemand) {
      if (target != from
          && !target.consolidating
          && target.hasRoomFor(claim.resources())
          && canRunOn(claim, target, now)
          && MachineAvailability.isAvailable(cluster, target, now)
          && freeAfterMoves(planned, target).hasRoomFor(claim.resources())) {
        return target;
      }
    }
    return null;
  }

  private static Resources freeAfterMoves(Map<Machine, Resources> planned, Machine machine) {
    return machine.free().minus(planned.getOrDefault(machine, Resources.NONE));
  }
}
