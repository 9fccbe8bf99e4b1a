package graderelay.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The bin packing of one fleet plan: puts the work that waits, and the spare room wanted, into the
 * machines that are there or coming, and adds machines to request for what is left over.
 */
final class ScaleOutPacking {
  /** Whether spot machines are filled; work that may use them takes those first. */
  private static final boolean[] SPOT_FIRST = {true, false};

  /** Whether services are packed; they go first. */
  private static final boolean[] SERVICES_FIRST = {true, false};

  /**
   * Tasks of one spec that are packed together.
   *
   * @param spare whether they stand for spare room, not for work that waits
   */
  private record TaskGroup(JobSpec spec, int tasks, ZoneTaskLimit zones, boolean spare) {}

  private final ClusterState cluster;
  private final Deadlines deadlines;
  private final PoolChooser pools;
  private final List<PackingBin> bins;
  private final double now;

  /** On-demand CPUs that may still be requested for work that could wait for spot machines. */
  private double onDemandCpusLeft;

  /** CPUs that each team's limit leaves beside its claims and what is packed already. */
  private final Map<String, Double> limitLeft = new HashMap<>();

  private final Map<InstancePool, Integer> toRequest = new HashMap<>();

  /**
   * Makes the packing of a plan.
   *
   * @param bins machines that may take work; the packing adds those to request
   * @param onDemandCpus on-demand CPUs that deadlines need beyond the fleet
   */
  ScaleOutPacking(
      ClusterState cluster,
      Deadlines deadlines,
      PoolChooser pools,
      List<PackingBin> bins,
      double onDemandCpus,
      double now) {
    this.cluster = cluster;
    this.deadlines = deadlines;
    this.pools = pools;
    this.bins = bins;
    this.onDemandCpusLeft = onDemandCpus;
    this.now = now;
  }

  /**
   * Packs everything and returns how many machines of each pool to request.
   *
   * @param spareRoom tasks to keep room for, by spec
   * @param spareRoomMachines receives the machines that hold spare room
   */
  Map<InstancePool, Integer> pack(Map<JobSpec, Integer> spareRoom, Set<Machine> spareRoomMachines) {
    List<Job> waiting = waitingJobs();
    dropFullBins(waiting, spareRoom.keySet());
    // Services first: they can't use spot machines, and arrays make room for them.
    for (boolean services : SERVICES_FIRST) {
      for (Job job : waiting) {
        if (job.spec.isService() == services) {
          ZoneTaskLimit zones = ZoneTaskLimit.of(job);
          packGroup(
              new TaskGroup(job.spec, tasksWithinLimit(job), zones, false), spareRoomMachines);
        }
      }
      for (var spare : spareRoom.entrySet()) {
        JobSpec spec = spare.getKey();
        int tasks = spare.getValue();
        if (spec.isService() == services) {
          ZoneTaskLimit zones = ZoneTaskLimit.ofSpareRoom(spec, tasks);
          packGroup(new TaskGroup(spec, tasks, zones, true), spareRoomMachines);
        }
      }
    }
    return toRequest;
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
   * Takes out the machines on which not even the smallest task of the plan fits. On a busy fleet
   * these are most, and each waiting job would examine all of them.
   */
  private void dropFullBins(List<Job> waiting, Set<JobSpec> spare) {
    double leastCpus = Double.MAX_VALUE;
    for (Job job : waiting) {
      leastCpus = Math.min(leastCpus, job.spec.cpus());
    }
    for (JobSpec spec : spare) {
      leastCpus = Math.min(leastCpus, spec.cpus());
    }
    double smallest = leastCpus - Resources.ROUNDING_TOLERANCE;
    bins.removeIf(bin -> bin.tooFullFor(smallest));
  }

  /**
   * How many open tasks the team's quota has room for. What earlier jobs of this plan were given
   * counts, since machines for more could not be used.
   */
  private int tasksWithinLimit(Job job) {
    JobSpec spec = job.spec;
    Team team = cluster.policy.team(spec.team());
    int open = job.openTasks.cardinality();
    if (team == null || team.cpuLimit() <= 0 || spec.cpus() <= 0) {
      return open;
    }
    double left = limitLeft.computeIfAbsent(spec.team(), cluster.quotas::cpusLeft);
    int tasks =
        (int) Math.max(0, Math.min(open, (left + Resources.ROUNDING_TOLERANCE) / spec.cpus()));
    limitLeft.put(spec.team(), left - tasks * spec.cpus());
    return tasks;
  }

  /** Puts the group into the bins there are, and adds machines to request for the rest. */
  private void packGroup(TaskGroup group, Set<Machine> spareRoomMachines) {
    int left = fillBins(group, spareRoomMachines);
    if (left > 0) {
      addMachines(group, left);
    }
  }

  /** Puts what fits into the bins there are and returns how many tasks are left. */
  private int fillBins(TaskGroup group, Set<Machine> spareRoomMachines) {
    int left = group.tasks();
    for (boolean spot : SPOT_FIRST) {
      for (PackingBin bin : bins) {
        if (left <= 0) {
          return left;
        }
        if (!takenInPass(group.spec(), bin.pool, spot)) {
          continue;
        }
        int packed = packInto(bin, group, left);
        if (packed > 0 && group.spare() && bin.machine != null) {
          spareRoomMachines.add(bin.machine);
        }
        left -= packed;
      }
    }
    return left;
  }

  /**
   * True if the bins of the pool are filled in the pass of spot machines, or in that of the others.
   * What may use spot machines takes those first, and leaves the others to what may not; what may
   * not is all packed in the first pass.
   */
  private boolean takenInPass(JobSpec spec, InstancePool pool, boolean spotPass) {
    return pools.suits(spec, pool) && (spec.spot() ? pool.spot() == spotPass : spotPass);
  }

  /** Puts at most so many tasks into the bin; returns how many. */
  private static int packInto(PackingBin bin, TaskGroup group, int most) {
    int tasks = Math.min(most, bin.room(group.spec()));
    if (tasks > 0) {
      tasks = Math.min(tasks, group.zones().remaining(bin.pool.zone()));
      group.zones().add(bin.pool.zone(), tasks);
    }
    bin.take(group.spec(), tasks);
    return tasks;
  }

  /** Adds machines to request for so many tasks, as far as pools have any. */
  private void addMachines(TaskGroup group, int tasks) {
    JobSpec spec = group.spec();
    boolean mayWaitForSpot = deadlines.mayWaitForSpot(spec);
    int left = tasks;
    while (left > 0) {
      boolean spotOnly = mayWaitForSpot && onDemandCpusLeft <= 0;
      InstancePool pool = pools.cheapest(spec, left, group.zones(), spotOnly, now);
      if (pool == null) {
        return;
      }
      MachineType type = cluster.types.get(pool.type());
      if (mayWaitForSpot) {
        onDemandCpusLeft -= type.cpus();
      }
      PackingBin bin = PackingBin.requested(pool, type);
      left -= packInto(bin, group, left);
      bins.add(bin);
      if (toRequest.merge(pool, 1, Integer::sum) >= ScaleOutPlanner.MOST_SCALED_OUT) {
        return;
      }
    }
  }
}
