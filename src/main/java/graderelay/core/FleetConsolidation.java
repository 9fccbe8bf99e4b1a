package graderelay.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Marks on-demand machines for consolidation that are not needed to meet deadlines, the most
 * expensive first. Arrays on a marked machine run to completion, {@link ServiceMoves} moves its
 * services to other machines, and it is scaled in once it is empty.
 */
final class FleetConsolidation {
  /** Minimum billing period of a machine in seconds; removing it earlier saves no money. */
  static final double MIN_BILLING_PERIOD_S = 60;

  /**
   * Share of the on-demand machines that may be marked in one plan, in addition to one machine.
   * With a limit of one per plan, a fleet of hundreds would stay partly idle for minutes after a
   * peak.
   */
  private static final double MAX_MARKED_SHARE_PER_PLAN = 0.02;

  /** Limit on the candidates examined in one plan, per 1,000 machines. */
  private static final int MAX_CANDIDATES_PER_THOUSAND_MACHINES = 8;

  /**
   * Surplus that must remain after a machine is marked, as a share of that machine's own CPUs for
   * arrays. The margin prevents oscillation between scale-in and scale-out.
   */
  private static final double MIN_REMAINING_SURPLUS_SHARE = 0.5;

  /**
   * Number of jobs of the largest recent size that the remaining machines with the image must have
   * room for.
   */
  private static final int MIN_WARM_JOBS = 2;

  /** Lower bound on the CPUs of a service task when the tasks to move are estimated. */
  private static final double MIN_SERVICE_CPUS = 1e-3;

  private final ClusterState cluster;
  private final Deadlines deadlines;
  private final DemandHistory demandHistory;
  private final ServiceMoves serviceMoves;
  private final double startedAt;

  FleetConsolidation(
      ClusterState cluster, Deadlines deadlines, DemandHistory demandHistory, double startedAt) {
    this.cluster = cluster;
    this.deadlines = deadlines;
    this.demandHistory = demandHistory;
    this.serviceMoves = new ServiceMoves(cluster);
    this.startedAt = startedAt;
  }

  /**
   * Marks machines for consolidation as long as the remaining CPUs for arrays exceed what deadlines
   * need.
   *
   * @param surplusCpus CPUs beyond what deadlines need; if negative, machines are unmarked
   * @param machinesToKeep machines that the plan needs, which are not marked
   */
  void consolidate(double surplusCpus, Set<Machine> machinesToKeep, double now) {
    if (hasWorkThatCannotWaitForSpot() || now - startedAt < ScaleInPlanner.FAILOVER_SETTLE_S) {
      cluster.machines.values().forEach(machine -> machine.consolidating = false);
      return;
    }
    List<Machine> onDemand = onDemandMachines();
    double surplusLeft = unmark(onDemand, surplusCpus);
    onDemand.sort(Comparator.comparingDouble(machine -> -hourlyPriceBesideServices(machine)));
    markSome(onDemand, surplusLeft, machinesToKeep, now);
    serviceMoves.moveOffConsolidatingMachines(onDemand, maxPerPlan(onDemand), now);
  }

  /** True if arrays that need on-demand machines at once are waiting or arrived recently. */
  private boolean hasWorkThatCannotWaitForSpot() {
    return cluster.jobs.values().stream().anyMatch(this::cannotWaitForSpot)
        || demandHistory.arrivals().stream().anyMatch(arrival -> cannotWaitForSpot(arrival.spec()));
  }

  private boolean cannotWaitForSpot(Job job) {
    return !job.spec.isService() && !job.awaitsDependencies() && !deadlines.mayWaitForSpot(job);
  }

  private boolean cannotWaitForSpot(JobSpec spec) {
    return !spec.isService() && !deadlines.mayWaitForSpot(spec);
  }

  /** On-demand machines of a known type with a valid lease that are not being scaled in. */
  private List<Machine> onDemandMachines() {
    List<Machine> onDemand = new ArrayList<>();
    for (Machine machine : cluster.machines.values()) {
      if (machine.heartbeatReceived
          && !machine.spot
          && !machine.leaseExpired
          && !machine.scalingIn
          && cluster.machineTypes.containsKey(machine.type)) {
        onDemand.add(machine);
      }
    }
    return onDemand;
  }

  /** Unmarks machines while the surplus is negative; returns the resulting surplus. */
  private static double unmark(List<Machine> onDemand, double surplusCpus) {
    double surplusLeft = surplusCpus;
    for (Machine machine : onDemand) {
      if (machine.consolidating && surplusLeft < 0) {
        machine.consolidating = false;
        surplusLeft += machine.capacity.cpus();
      }
    }
    return surplusLeft;
  }

  /** Marks the first few machines of the list that are not needed. */
  private void markSome(
      List<Machine> mostExpensiveFirst,
      double surplusCpus,
      Set<Machine> machinesToKeep,
      double now) {
    double surplusLeft = surplusCpus;
    int markingsLeft = maxPerPlan(mostExpensiveFirst);
    int candidatesLeft =
        MAX_CANDIDATES_PER_THOUSAND_MACHINES * FleetPlanner.thousandsOfMachines(cluster);
    for (Machine machine : mostExpensiveFirst) {
      if (machine.consolidating
          || machinesToKeep.contains(machine)
          || now - machine.requestedAt < MIN_BILLING_PERIOD_S) {
        continue;
      }
      double arrayCpus = machine.capacity.cpus() - machine.serviceResources.cpus();
      if (surplusLeft - arrayCpus <= MIN_REMAINING_SURPLUS_SHARE * arrayCpus) {
        continue; // Its CPUs are needed for arrays.
      }
      if (candidatesLeft-- <= 0) {
        // Each check scans the whole fleet, so the remaining candidates wait for a later plan.
        return;
      }
      if (serviceMoves.canMoveServicesOff(machine, mostExpensiveFirst, now)
          && hasEnoughWarmRoomWithout(machine, mostExpensiveFirst)) {
        machine.consolidating = true;
        surplusLeft -= arrayCpus;
        cluster.log(
            "consolidating machine " + machine.name + ": its work fits on cheaper machines");
        if (--markingsLeft <= 0) {
          return; // Only a few per plan, so that the next plan sees their effect.
        }
      }
    }
  }

  /** Machines to mark, or replicas to move, in one plan. */
  private static int maxPerPlan(List<Machine> onDemand) {
    return 1 + (int) (onDemand.size() * MAX_MARKED_SHARE_PER_PLAN);
  }

  /** Hourly price of the share of the machine that services do not use; consolidation saves it. */
  private double hourlyPriceBesideServices(Machine machine) {
    MachineType type = cluster.machineTypes.get(machine.type);
    return type.price() * (1 - machine.serviceResources.cpus() / type.cpus());
  }

  /**
   * True if the remaining machines have enough room for services with a start objective, which must
   * not wait for an image fetch. For every image of such a service on this machine, the other
   * machines that have the image must hold the expected arrivals. Arrays there count as room, since
   * they can be preempted.
   */
  private boolean hasEnoughWarmRoomWithout(Machine machine, List<Machine> onDemand) {
    Map<String, Integer> largestJobTasks = new HashMap<>();
    Map<String, JobSpec> typicalSpec = new HashMap<>();
    for (DemandHistory.Arrival arrival : demandHistory.arrivals()) {
      JobSpec spec = arrival.spec();
      if (spec.isService()
          && cluster.policy.startObjectivesS().containsKey(spec.jobClass())
          && machine.hasImage(spec.image())) {
        largestJobTasks.merge(spec.image(), spec.tasks(), Math::max);
        typicalSpec.put(spec.image(), spec);
      }
    }
    for (var entry : typicalSpec.entrySet()) {
      JobSpec spec = entry.getValue();
      // Services moved off this machine need room there too.
      int movedTasks =
          (int)
              Math.ceil(machine.serviceResources.cpus() / Math.max(spec.cpus(), MIN_SERVICE_CPUS));
      int neededTasks = MIN_WARM_JOBS * largestJobTasks.get(entry.getKey()) + movedTasks;
      if (warmSlots(spec, machine, onDemand) < neededTasks) {
        return false;
      }
    }
    return true;
  }

  /** Number of tasks of the spec that fit beside services on the other machines with its image. */
  private static int warmSlots(JobSpec spec, Machine excluded, List<Machine> onDemand) {
    int slots = 0;
    for (Machine machine : onDemand) {
      if (machine != excluded && !machine.consolidating && machine.hasImage(spec.image())) {
        Resources free = machine.capacity.minus(machine.serviceResources);
        slots += free.countFitting(Resources.of(spec));
      }
    }
    return slots;
  }
}
