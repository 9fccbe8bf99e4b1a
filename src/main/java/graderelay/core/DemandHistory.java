package graderelay.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The arrivals of work of the last minutes, by job class: what the fleet keeps spare room for, and
 * what is stored for the leader after a failover.
 */
final class DemandHistory {
  /** Seconds between records of the recent demand, for the next leader. */
  private static final double STORE_EVERY_S = 10;

  /**
   * Arrivals of one class stored in that record for each thousand machines, at some 20 bytes each.
   * The oldest are left out where they don't fit a value.
   */
  private static final int STORED_ARRIVALS_PER_THOUSAND = 24;

  /** Classes stored in that record. */
  private static final int STORED_CLASSES = 12;

  /** Seconds over which arrivals are averaged at the least: a few say little of the next ones. */
  private static final double LEAST_AVERAGING_S = 60;

  /** Times the mean of arrivals in a boot time that spare room is kept for. */
  private static final double MEAN_FACTOR = 1.5;

  /** Jobs of the largest size that spare room for arrays is kept for, beside the mean. */
  private static final int BURST_JOBS = 2;

  /** Seconds by which the times of one arrival may differ between two leaders' records. */
  private static final double SAME_ARRIVAL_S = 0.5;

  /** Seconds for which arrivals are remembered to size the spare room. */
  private static final double ARRIVAL_MEMORY_S = 300;

  /**
   * The submission of a job.
   *
   * @param at when, in seconds on the leader's clock
   */
  record Arrival(double at, JobSpec spec, int tasks) {}

  private final ClusterState cluster;
  private final double startedAt;
  private final List<Arrival> arrivals = new ArrayList<>();
  private boolean changedSinceStored;
  private double lastStored = Double.NEGATIVE_INFINITY;

  DemandHistory(ClusterState cluster, double startedAt) {
    this.cluster = cluster;
    this.startedAt = startedAt;
  }

  /** The arrivals remembered, oldest first; not to be changed by the caller. */
  List<Arrival> arrivals() {
    return arrivals;
  }

  /** A job of this spec was submitted at that time (seconds on the leader's clock). */
  void onArrival(JobSpec spec, double at) {
    arrivals.add(new Arrival(at, spec, spec.tasks()));
    changedSinceStored = true;
  }

  /**
   * Takes over what an earlier leader remembered of a class; jobs that are still live were counted
   * already.
   */
  void onDemand(Action.Demand remembered, double now) {
    List<Arrival> live = new ArrayList<>();
    for (Arrival arrival : arrivals) {
      if (arrival.spec().jobClass().equals(remembered.latest().jobClass())) {
        live.add(arrival);
      }
    }
    for (double[] arrival : remembered.arrivals()) {
      double at = now - arrival[0];
      int tasks = (int) arrival[1];
      boolean known =
          live.stream()
              .anyMatch(
                  other -> Math.abs(other.at() - at) < SAME_ARRIVAL_S && other.tasks() == tasks);
      if (!known) {
        arrivals.add(new Arrival(at, remembered.latest(), tasks));
      }
    }
  }

  /** A job fails on every machine: it is no sign of what is to come, nor does it scale out. */
  void onBroken(JobSpec spec) {
    arrivals.removeIf(arrival -> arrival.spec().id().equals(spec.id()));
    changedSinceStored = true;
  }

  /** Forgets what arrived longer ago than the memory of arrivals. */
  void forgetOld(double now) {
    arrivals.removeIf(arrival -> arrival.at() < now - ARRIVAL_MEMORY_S);
  }

  /**
   * Stores the latest arrivals of each class for the next leader, if they changed; at intervals.
   */
  void store(double now) {
    if (!changedSinceStored || now - lastStored < STORE_EVERY_S) {
      return;
    }
    lastStored = now;
    changedSinceStored = false;
    cluster.actions.add(new Action.KeepDemand(latestByClass(now)));
  }

  /** The latest arrivals of each class, as far as they fit the record. */
  private List<Action.Demand> latestByClass(double now) {
    Map<String, Action.Demand> classes = new HashMap<>();
    int mostStored = STORED_ARRIVALS_PER_THOUSAND * FleetPlanner.thousandsOfMachines(cluster);
    for (int index = arrivals.size() - 1; index >= 0; index--) {
      Arrival arrival = arrivals.get(index);
      Action.Demand classDemand =
          classes.computeIfAbsent(
              arrival.spec().jobClass(), c -> new Action.Demand(arrival.spec(), new ArrayList<>()));
      if (classDemand.arrivals().size() < mostStored) {
        classDemand.arrivals().add(new double[] {now - arrival.at(), arrival.tasks()});
      }
      if (classes.size() > STORED_CLASSES) {
        break;
      }
    }
    return List.copyOf(classes.values());
  }

  /**
   * Room to keep free, in tasks by a typical spec: for each class that should start sooner than a
   * machine boots, what arrived within a boot time on average, and at least one job of the largest
   * usual size.
   */
  Map<JobSpec, Integer> spareRoom(double now) {
    Map<String, List<Arrival>> byClass = new HashMap<>();
    for (Arrival arrival : arrivals) {
      byClass.computeIfAbsent(arrival.spec().jobClass(), c -> new ArrayList<>()).add(arrival);
    }
    double bootS = BootTimes.slowestNominal(cluster);
    Map<JobSpec, Integer> spare = new HashMap<>();
    for (var classArrivals : byClass.entrySet()) {
      Double startObjectiveS = cluster.policy.startObjectivesS().get(classArrivals.getKey());
      if (startObjectiveS == null || startObjectiveS > bootS) {
        continue;
      }
      List<Arrival> ofClass = classArrivals.getValue();
      JobSpec typical = ofClass.get(ofClass.size() - 1).spec();
      spare.put(typical, (int) Math.ceil(spareTasks(ofClass, typical, bootS, now)));
    }
    return spare;
  }

  /** Tasks of one class to keep room for, given its arrivals and a boot time in seconds. */
  private double spareTasks(List<Arrival> ofClass, JobSpec typical, double bootS, double now) {
    int tasks = 0;
    int largest = 0;
    for (Arrival arrival : ofClass) {
      tasks += arrival.tasks();
      largest = Math.max(largest, arrival.tasks());
    }
    double spanS = Math.max(LEAST_AVERAGING_S, Math.min(ARRIVAL_MEMORY_S, now - startedAt));
    double mean = tasks / spanS * bootS * MEAN_FACTOR;
    // Arrays arrive in bursts, at times several at once.
    double wanted = typical.isService() ? Math.max(mean, largest) : mean + BURST_JOBS * largest;
    return wanted * cluster.policy.tuning().spareFactor();
  }
}
