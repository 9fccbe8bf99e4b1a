package graderelay.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The bin packing of one fleet plan. It packs waiting tasks and spare capacity into running,
 * booting and requested machines, and adds machines to request for the rest.
 */
final class ScaleOutPacking {
  /** Packing passes by pool: spot machines first, for tasks that may use them. */
  private static final boolean[] SPOT_FIRST = {true, false};

  /** Packing passes by job kind: services first. */
  private static final boolean[] SERVICES_FIRST = {true, false};

  /**
   * Seconds for which an array waits beside room on a machine that is being consolidated before the
   * machine is kept for it; well below the 90 s within which it has to be placed.
   */
  private static final double MAX_WAIT_BESIDE_CONSOLIDATION_S = 60;

  private final ClusterState cluster;
  private final Deadlines deadlines;
  private final PoolChooser poolChooser;
  private final PlacementRules placementRules;

  /** All machines that can take tasks, and the machines to request. */
  private final List<PackingBin> bins;

  /** Those of them on which the smallest task of the plan may fit. */
  private final List<PackingBin> openBins = new ArrayList<>();

  /**
   * Shapes of tasks that no open bin takes any more. On a busy fleet most waiting jobs share a few
   * shapes, and each job would otherwise examine all bins.
   */
  private final Set<TaskGroup.Shape> fullShapes = new HashSet<>();

  private final UnmetDemand unmetDemand;
  private final double now;

  /** On-demand CPUs that may still be requested for work that can wait for spot machines. */
  private double onDemandCpusLeft;

  /** CPUs left within each team's limit after its claims and the tasks packed so far. */
  private final Map<String, Double> cpusLeftByTeam = new HashMap<>();

  private final Map<InstancePool, Integer> machinesToRequest = new HashMap<>();

  /**
   * Creates the packing of one plan.
   *
   * @param bins machines that can take tasks; machines to request are added to it
   * @param unmetDemand receives the waiting tasks for which no machine is requested
   * @param onDemandCpus on-demand CPUs needed to meet deadlines, beyond the existing fleet
   */
  ScaleOutPacking(
      ClusterState cluster,
      Deadlines deadlines,
      PoolChooser poolChooser,
      List<PackingBin> bins,
      UnmetDemand unmetDemand,
      double onDemandCpus,
      double now) {
    this.cluster = cluster;
    this.deadlines = deadlines;
    this.poolChooser = poolChooser;
    this.placementRules = new PlacementRules(cluster);
    this.bins = bins;
    this.unmetDemand = unmetDemand;
    this.onDemandCpusLeft = onDemandCpus;
    this.now = now;
  }

  /**
   * Packs all groups and returns the number of machines to request from each pool.
   *
   * @param spareCapacity number of tasks to keep spare capacity for, by spec
   * @param machinesToKeep receives the machines that hold spare capacity, or room that the plan has
   *     promised to waiting tasks
   */
  Map<InstancePool, Integer> pack(
      Map<JobSpec, Integer> spareCapacity, Set<Machine> machinesToKeep) {
    List<Job> waiting = waitingJobs();
    selectOpenBins(waiting, spareCapacity.keySet());
    // Services first: they can't use spot machines, and arrays can be preempted for them.
    for (boolean services : SERVICES_FIRST) {
      for (Job job : waiting) {
        if (job.spec.isService() == services) {
          packWaitingTasks(job, machinesToKeep);
        }
      }
      for (var spare : spareCapacity.entrySet()) {
        JobSpec spec = spare.getKey();
        int tasks = spare.getValue();
        if (spec.isService() == services) {
          ZoneTaskLimit zones = ZoneTaskLimit.ofSpareRoom(spec, tasks);
          packGroup(new TaskGroup(spec, tasks, zones, null), machinesToKeep);
        }
      }
    }
    requestMachinesForSuspectJobs();
    return machinesToRequest;
  }

  /**
   * Requests a machine for each suspect job that no machine can ever take. Where one can, the job
   * is tried there, one task at a time, and adds no demand.
   */
  private void requestMachinesForSuspectJobs() {
    for (Job job : cluster.jobs.values()) {
      if (job.isWaiting() && job.suspect && job.notBefore <= now) {
        int tasks = Math.min(1, tasksWithinLimit(job));
        TaskGroup group = new TaskGroup(job.spec, tasks, ZoneTaskLimit.of(job), job);
        if (!canRunOnFleet(group)) {
          addMachines(group, tasks);
        }
      }
    }
  }

  /** Packs a job's open tasks; those that get no machine leave the team's limit to other jobs. */
  private void packWaitingTasks(Job job, Set<Machine> machinesToKeep) {
    int tasks = tasksWithinLimit(job);
    TaskGroup group = new TaskGroup(job.spec, tasks, ZoneTaskLimit.of(job), job);
    int unpackedTasks = packGroup(group, machinesToKeep);
    double packedCpus = (tasks - unpackedTasks) * job.spec.cpus();
    cpusLeftByTeam.computeIfPresent(job.spec.team(), (team, cpusLeft) -> cpusLeft - packedCpus);
  }

  private List<Job> waitingJobs() {
    List<Job> waiting = new ArrayList<>();
    for (Job job : cluster.jobs.values()) {
      if (job.isWaiting() && !job.suspect) {
        waiting.add(job);
      }
    }
    waiting.sort(Comparator.comparing(job -> !job.spec.isService()));
    return waiting;
  }

  /**
   * Leaves out the machines on which not even the smallest task of the plan fits. On a busy fleet
   * these are the majority, and each waiting job would otherwise examine all of them.
   */
  private void selectOpenBins(List<Job> waiting, Set<JobSpec> spareSpecs) {
    double smallestTaskCpus = Double.MAX_VALUE;
    for (Job job : waiting) {
      smallestTaskCpus = Math.min(smallestTaskCpus, job.spec.cpus());
    }
    for (JobSpec spec : spareSpecs) {
      smallestTaskCpus = Math.min(smallestTaskCpus, spec.cpus());
    }
    double minFreeCpus = smallestTaskCpus - Resources.ROUNDING_TOLERANCE;
    for (PackingBin bin : bins) {
      if (!bin.isTooFullFor(minFreeCpus)) {
        openBins.add(bin);
      }
    }
  }

  /**
   * Number of the job's open tasks that fit in its team's limit after the jobs packed before it.
   * Machines for more tasks could not be used.
   */
  private int tasksWithinLimit(Job job) {
    JobSpec spec = job.spec;
    Team team = cluster.policy.team(spec.team());
    int openTaskCount = job.openTasks.cardinality();
    if (team == null || team.cpuLimit() <= 0 || spec.cpus() <= 0) {
      return openTaskCount;
    }
    double cpusLeft = cpusLeftByTeam.computeIfAbsent(spec.team(), cluster.quotas::cpusLeft);
    double tasksLeft = (cpusLeft + Resources.ROUNDING_TOLERANCE) / spec.cpus();
    return (int) Math.max(0, Math.min(openTaskCount, tasksLeft));
  }

  /**
   * Packs the group into existing bins and adds machines to request for the rest. Returns the
   * number of tasks left without a machine.
   */
  private int packGroup(TaskGroup group, Set<Machine> machinesToKeep) {
    int tasksLeft = fillBins(group, machinesToKeep);
    if (tasksLeft > 0 && mayEndConsolidations(group)) {
      tasksLeft = endConsolidationsFor(group, tasksLeft, machinesToKeep);
    }
    return tasksLeft > 0 ? addMachines(group, tasksLeft) : 0;
  }

  /**
   * True if the group's tasks are a reason to end a consolidation. Arrays that may use spot
   * machines or wait for room elsewhere are one only after a while: they are what the machine is
   * emptied of.
   */
  private boolean mayEndConsolidations(TaskGroup group) {
    return !group.isSpareCapacity()
        && (group.spec().isService()
            || now - group.job().waitingSince > MAX_WAIT_BESIDE_CONSOLIDATION_S);
  }

  /**
   * Ends the consolidation of machines with room for tasks that fit nowhere else, since placement
   * leaves the room on the others. Returns the number of tasks left over.
   */
  private int endConsolidationsFor(TaskGroup group, int tasks, Set<Machine> machinesToKeep) {
    int tasksLeft = tasks;
    for (PackingBin bin : openBins) {
      if (tasksLeft <= 0) {
        break;
      }
      if (!poolChooser.isEligible(group.spec(), bin.pool)
          || obstacle(group, bin) != PlacementObstacle.CONSOLIDATING) {
        continue;
      }
      int packed = packInto(bin, group, tasksLeft);
      if (packed > 0) {
        bin.machine.consolidating = false;
        machinesToKeep.add(bin.machine);
        cluster.roundNeeded = true;
        cluster.log(
            "consolidating machine "
                + bin.machine.name
                + " ends: "
                + group.spec().id()
                + " needs it");
      }
      tasksLeft -= packed;
    }
    return tasksLeft;
  }

  /** The rule that keeps placement from putting the group's tasks into the bin, or null. */
  private PlacementObstacle obstacle(TaskGroup group, PackingBin bin) {
    return bin.machine == null || group.isSpareCapacity()
        ? null
        : placementRules.obstacle(group.job(), bin.machine, now);
  }

  /** Packs tasks into existing bins and returns the number of tasks left over. */
  private int fillBins(TaskGroup group, Set<Machine> machinesToKeep) {
    int tasksLeft = group.tasks();
    if (fullShapes.contains(group.shape())) {
      return tasksLeft;
    }
    boolean avoidsBins = false;
    for (boolean spot : SPOT_FIRST) {
      for (PackingBin bin : openBins) {
        if (tasksLeft <= 0) {
          return tasksLeft;
        }
        if (!isPackedInPass(group.spec(), bin.pool, spot)) {
          continue;
        }
        PlacementObstacle obstacle = obstacle(group, bin);
        if (obstacle != null) {
          avoidsBins |= obstacle == PlacementObstacle.AVOIDED;
          continue;
        }
        int packed = packInto(bin, group, tasksLeft);
        if (packed > 0 && group.isSpareCapacity() && bin.machine != null) {
          machinesToKeep.add(bin.machine);
        }
        tasksLeft -= packed;
      }
    }
    if (tasksLeft > 0 && group.zones().isUnlimited() && !avoidsBins) {
      fullShapes.add(group.shape());
    }
    return tasksLeft;
  }

  /**
   * True if tasks of the spec are packed into bins of the pool in this pass. Tasks that may run on
   * spot machines use those in the first pass and on-demand machines in the second, which leaves
   * on-demand machines to other tasks. Tasks that need on-demand machines are packed in the first
   * pass.
   */
  private boolean isPackedInPass(JobSpec spec, InstancePool pool, boolean spotPass) {
    return poolChooser.isEligible(spec, pool) && (spec.spot() ? pool.spot() == spotPass : spotPass);
  }

  /** Packs at most {@code maxTasks} tasks into the bin and returns the number packed. */
  private static int packInto(PackingBin bin, TaskGroup group, int maxTasks) {
    int tasks = Math.min(maxTasks, bin.capacityFor(group.spec(), group.priority()));
    if (tasks > 0) {
      tasks = Math.min(tasks, group.zones().remaining(bin.pool.zone()));
      group.zones().add(bin.pool.zone(), tasks);
    }
    bin.pack(group.spec(), tasks);
    return tasks;
  }

  /**
   * Adds machines to request for the tasks, as long as there is an eligible pool. A job that no
   * machine can ever take gets its first one whatever deadlines need: the CPUs that the fleet has
   * beyond that are of no use to it, and spot machines may never be available. Returns the number
   * of tasks left without a machine.
   */
  private int addMachines(TaskGroup group, int tasks) {
    JobSpec spec = group.spec();
    boolean mayWaitForSpot = deadlines.mayWaitForSpot(spec);
    int tasksLeft = tasks;
    while (tasksLeft > 0) {
      boolean spotOnly = mayWaitForSpot && onDemandCpusLeft <= 0 && canRunOnFleet(group);
      InstancePool pool = poolChooser.cheapestPool(spec, tasksLeft, group.zones(), spotOnly, now);
      if (pool == null) {
        addUnmetDemand(group, tasksLeft, spotOnly);
        return tasksLeft;
      }
      MachineType type = cluster.machineTypes.get(pool.type());
      if (mayWaitForSpot) {
        onDemandCpusLeft -= type.cpus();
      }
      PackingBin bin = PackingBin.ofRequestedMachine(pool, type);
      tasksLeft -= packInto(bin, group, tasksLeft);
      bins.add(bin);
      openBins.add(bin);
      fullShapes.clear();
      if (machinesToRequest.merge(pool, 1, Integer::sum)
          >= ScaleOutPlanner.MAX_MACHINES_PER_REQUEST) {
        return tasksLeft;
      }
    }
    return tasksLeft;
  }

  /**
   * True if tasks of the job run, or if a machine can take one now or once the arrays there have
   * ended. Always true for spare capacity.
   */
  private boolean canRunOnFleet(TaskGroup group) {
    if (group.isSpareCapacity() || !group.job().claims.isEmpty()) {
      return true;
    }
    for (PackingBin bin : bins) {
      if (poolChooser.isEligible(group.spec(), bin.pool)
          && bin.hasRoomBesideServices(group.spec())
          && (bin.machine == null || placementRules.isAllowed(group.job(), bin.machine, now))) {
        return true;
      }
    }
    return false;
  }

  /** Records that no machine is requested for waiting tasks. */
  private void addUnmetDemand(TaskGroup group, int tasks, boolean spotOnly) {
    if (group.isSpareCapacity()) {
      return;
    }
    boolean onDemandWithheld =
        spotOnly
            && poolChooser.cheapestPool(group.spec(), tasks, group.zones(), false, now) != null;
    UnmetDemand.Cause cause =
        onDemandWithheld ? UnmetDemand.Cause.ON_DEMAND_WITHHELD : UnmetDemand.Cause.NO_CAPACITY;
    unmetDemand.add(group.job(), tasks, cause, now);
  }
}
