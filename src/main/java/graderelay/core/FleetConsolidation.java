package graderelay.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Consolidation before scale in: closes the on-demand machines that deadlines don't need, the most
 * expensive first. Arrays on them run to their end; {@link ServiceMoves} moves their services off.
 * A closing machine is scaled in once it is empty.
 */
final class FleetConsolidation {
  /** Seconds that a machine is charged at least; before that there is nothing to save. */
  static final double CHARGED_AT_LEAST_S = 60;

  /**
   * Share of the on-demand machines that may be closed in one plan, beside one: of hundreds, one a
   * second would stand idle for minutes after a peak.
   */
  private static final double CLOSE_SHARE = 0.02;

  /** Machines looked at in one plan as candidates for closing, for each thousand machines. */
  private static final int CANDIDATES_PER_THOUSAND = 8;

  /**
   * Share of a machine's own size that must be left over when it is closed, against oscillation.
   */
  private static final double LEFT_OVER_SHARE = 0.5;

  /** Jobs of the largest size seen that warm machines must have room for when one is closed. */
  private static final int WARM_JOBS = 2;

  /** CPUs that a service is taken to need at least when moved ones are counted. */
  private static final double LEAST_SERVICE_CPUS = 1e-3;

  private final ClusterState cluster;
  private final Deadlines deadlines;
  private final DemandHistory demand;
  private final ServiceMoves moves;
  private final double startedAt;

  FleetConsolidation(
      ClusterState cluster, Deadlines deadlines, DemandHistory demand, double startedAt) {
    this.cluster = cluster;
    this.deadlines = deadlines;
    this.demand = demand;
    this.moves = new ServiceMoves(cluster);
    this.startedAt = startedAt;
  }

  /**
   * Closes machines while the CPUs that arrays can have stay above what deadlines need.
   *
   * @param surplusCpus CPUs beyond what deadlines need; negative reopens closing machines
   * @param spareRoomMachines machines that hold the spare room of the plan, which stay open
   */
  void close(double surplusCpus, Set<Machine> spareRoomMachines, double now) {
    if (someWorkCannotWaitForSpot() || now - startedAt < ScaleInPlanner.FAILOVER_SETTLE_S) {
      cluster.machines.values().forEach(machine -> machine.consolidating = false);
      return;
    }
    List<Machine> onDemand = onDemandMachines();
    double surplusLeft = reopen(onDemand, surplusCpus);
    onDemand.sort(Comparator.comparingDouble(machine -> -wastedPrice(machine)));
    closeSome(onDemand, surplusLeft, spareRoomMachines, now);
    moves.moveOffConsolidatingMachines(onDemand, fewAtOnce(onDemand), now);
  }

  /** True if arrays are waiting, or have come of late, that need on-demand machines at once. */
  private boolean someWorkCannotWaitForSpot() {
    return cluster.jobs.values().stream().anyMatch(this::cannotWaitForSpot)
        || demand.arrivals().stream().anyMatch(arrival -> cannotWaitForSpot(arrival.spec()));
  }

  private boolean cannotWaitForSpot(Job job) {
    return !job.spec.isService() && !job.awaitsDependencies() && !deadlines.mayWaitForSpot(job);
  }

  private boolean cannotWaitForSpot(JobSpec spec) {
    return !spec.isService() && !deadlines.mayWaitForSpot(spec);
  }

  /** On-demand machines of a known type that send heartbeats and are not on their way out. */
  private List<Machine> onDemandMachines() {
    List<Machine> onDemand = new ArrayList<>();
    for (Machine machine : cluster.machines.values()) {
      if (machine.heartbeatReceived
          && !machine.spot
          && !machine.leaseExpired
          && !machine.scalingIn
          && cluster.types.containsKey(machine.type)) {
        onDemand.add(machine);
      }
    }
    return onDemand;
  }

  /** Reopens closing machines while the surplus is negative; returns the surplus after that. */
  private static double reopen(List<Machine> onDemand, double surplusCpus) {
    double surplusLeft = surplusCpus;
    for (Machine machine : onDemand) {
      if (machine.consolidating && surplusLeft < 0) {
        machine.consolidating = false;
        surplusLeft += machine.capacity.cpus();
      }
    }
    return surplusLeft;
  }

  /** Closes the first machines that can be spared, of those given the most expensive first. */
  private void closeSome(
      List<Machine> dearestFirst, double surplusCpus, Set<Machine> spareRoomMachines, double now) {
    double surplusLeft = surplusCpus;
    int closingsLeft = fewAtOnce(dearestFirst);
    int candidatesLeft = CANDIDATES_PER_THOUSAND * FleetPlanner.thousandsOfMachines(cluster);
    for (Machine machine : dearestFirst) {
      if (machine.consolidating
          || spareRoomMachines.contains(machine)
          || now - machine.requestedAt < CHARGED_AT_LEAST_S) {
        continue;
      }
      double arrayCpus = machine.capacity.cpus() - machine.serviceResources.cpus();
      if (surplusLeft - arrayCpus <= LEFT_OVER_SHARE * arrayCpus) {
        continue; // Arrays need it.
      }
      if (candidatesLeft-- <= 0) {
        return; // The next plan looks again; each look compares with the whole fleet.
      }
      if (moves.canMoveServicesOff(machine, dearestFirst, now)
          && warmEnoughWithout(machine, dearestFirst)) {
        machine.consolidating = true;
        surplusLeft -= arrayCpus;
        cluster.log("closing " + machine.name + ": its work fits on cheaper machines");
        if (--closingsLeft <= 0) {
          return; // A few at a time, so that the next plan sees what came of it.
        }
      }
    }
  }

  /** Machines to close, or replicas to move, in one step: a small fleet one, a large its share. */
  private static int fewAtOnce(List<Machine> onDemand) {
    return 1 + (int) (onDemand.size() * CLOSE_SHARE);
  }

  /** Money an hour that the machine costs beyond what its services would cost elsewhere. */
  private double wastedPrice(Machine machine) {
    MachineType type = cluster.types.get(machine.type);
    return type.price() * (1 - machine.serviceResources.cpus() / type.cpus());
  }

  /**
   * True if for every image of work that should start sooner than it can be fetched, the machines
   * that stay and have the image could hold what may come. Arrays there can be preempted for it.
   */
  private boolean warmEnoughWithout(Machine machine, List<Machine> onDemand) {
    Map<String, Integer> largestJob = new HashMap<>();
    Map<String, JobSpec> typicalSpec = new HashMap<>();
    for (DemandHistory.Arrival arrival : demand.arrivals()) {
      JobSpec spec = arrival.spec();
      if (spec.isService()
          && cluster.policy.startObjectivesS().containsKey(spec.jobClass())
          && machine.hasImage(spec.image())) {
        largestJob.merge(spec.image(), spec.tasks(), Math::max);
        typicalSpec.put(spec.image(), spec);
      }
    }
    for (var entry : typicalSpec.entrySet()) {
      JobSpec spec = entry.getValue();
      // What is moved off this machine takes room there as well.
      int moved =
          (int)
              Math.ceil(
                  machine.serviceResources.cpus() / Math.max(spec.cpus(), LEAST_SERVICE_CPUS));
      int wanted = WARM_JOBS * largestJob.get(entry.getKey()) + moved;
      if (warmSlots(spec, machine, onDemand) < wanted) {
        return false;
      }
    }
    return true;
  }

  /** Tasks of the spec that machines with its image, other than this one, hold beside services. */
  private static int warmSlots(JobSpec spec, Machine except, List<Machine> onDemand) {
    int slots = 0;
    for (Machine machine : onDemand) {
      if (machine != except && !machine.consolidating && machine.hasImage(spec.image())) {
        Resources room = machine.capacity.minus(machine.serviceResources);
        slots += room.countFitting(Resources.of(spec));
      }
    }
    return slots;
  }
}
