package graderelay.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Job arrivals of the last minutes by job class. They determine how much spare capacity the fleet
 * keeps, and are stored so that a new leader has them after a failover.
 */
final class DemandHistory {
  /** Minimum seconds between two writes of the demand record. */
  private static final double STORE_INTERVAL_S = 10;

  /**
   * Upper bound on the arrivals of one class in the demand record, per 1,000 machines. Each takes
   * about 20 bytes; the oldest are omitted if the record would exceed the size of a value.
   */
  private static final int MAX_STORED_ARRIVALS_PER_THOUSAND_MACHINES = 24;

  /** Limit on the job classes in the demand record. */
  private static final int MAX_STORED_CLASSES = 12;

  /**
   * Minimum averaging window in seconds; a shorter one holds too few arrivals to predict demand.
   */
  private static final double MIN_AVERAGING_WINDOW_S = 60;

  /** Factor on the mean arrivals within one boot time for which spare capacity is kept. */
  private static final double MEAN_FACTOR = 1.5;

  /**
   * Number of arrays of the largest recent size for which spare capacity is kept, in addition to
   * the mean.
   */
  private static final int BURST_JOBS = 2;

  /** Largest difference in seconds between two leaders' times of the same arrival. */
  private static final double SAME_ARRIVAL_TOLERANCE_S = 0.5;

  /** Seconds for which arrivals are kept. */
  private static final double ARRIVAL_RETENTION_S = 300;

  /**
   * The submission of a job.
   *
   * @param submittedAt submission time, in seconds on the leader's clock
   */
  record Arrival(double submittedAt, JobSpec spec, int tasks) {}

  private final ClusterState cluster;
  private final double startedAt;
  private final List<Arrival> arrivals = new ArrayList<>();
  private boolean changedSinceStored;
  private double lastStoredAt = Double.NEGATIVE_INFINITY;

  DemandHistory(ClusterState cluster, double startedAt) {
    this.cluster = cluster;
    this.startedAt = startedAt;
  }

  /** The recent arrivals, oldest first; the caller must not modify the list. */
  List<Arrival> arrivals() {
    return arrivals;
  }

  /** Records that a job was submitted at time {@code at}, in seconds on the leader's clock. */
  void onArrival(JobSpec spec, double at) {
    arrivals.add(new Arrival(at, spec, spec.tasks()));
    changedSinceStored = true;
  }

  /**
   * Merges the arrivals of one class that an earlier leader stored. Arrivals of live jobs are
   * already recorded and are skipped.
   */
  void mergeStoredDemand(Action.Demand storedDemand, double now) {
    List<Arrival> recorded = new ArrayList<>();
    for (Arrival arrival : arrivals) {
      if (arrival.spec().jobClass().equals(storedDemand.latest().jobClass())) {
        recorded.add(arrival);
      }
    }
    for (double[] arrival : storedDemand.arrivals()) {
      double at = now - arrival[0];
      int tasks = (int) arrival[1];
      boolean alreadyRecorded =
          recorded.stream()
              .anyMatch(
                  other ->
                      Math.abs(other.submittedAt() - at) < SAME_ARRIVAL_TOLERANCE_S
                          && other.tasks() == tasks);
      if (!alreadyRecorded) {
        arrivals.add(new Arrival(at, storedDemand.latest(), tasks));
      }
    }
  }

  /**
   * Removes the arrival of a job that fails on every machine, so that it adds no spare capacity.
   */
  void onFailingJob(JobSpec spec) {
    arrivals.removeIf(arrival -> arrival.spec().id().equals(spec.id()));
    changedSinceStored = true;
  }

  /** Removes arrivals older than {@link #ARRIVAL_RETENTION_S}. */
  void removeExpired(double now) {
    arrivals.removeIf(arrival -> arrival.submittedAt() < now - ARRIVAL_RETENTION_S);
  }

  /**
   * Stores the latest arrivals of each class if they changed, at most once per {@link
   * #STORE_INTERVAL_S}.
   */
  void store(double now) {
    if (!changedSinceStored || now - lastStoredAt < STORE_INTERVAL_S) {
      return;
    }
    lastStoredAt = now;
    changedSinceStored = false;
    cluster.actions.add(new Action.StoreDemand(latestByClass(now)));
  }

  /** The latest arrivals of each class, within the limits of the record. */
  private List<Action.Demand> latestByClass(double now) {
    Map<String, Action.Demand> demandByClass = new HashMap<>();
    int maxArrivals =
        MAX_STORED_ARRIVALS_PER_THOUSAND_MACHINES * FleetPlanner.thousandsOfMachines(cluster);
    for (int index = arrivals.size() - 1; index >= 0; index--) {
      Arrival arrival = arrivals.get(index);
      Action.Demand classDemand =
          demandByClass.computeIfAbsent(
              arrival.spec().jobClass(),
              jobClass -> new Action.Demand(arrival.spec(), new ArrayList<>()));
      if (classDemand.arrivals().size() < maxArrivals) {
        classDemand.arrivals().add(new double[] {now - arrival.submittedAt(), arrival.tasks()});
      }
      if (demandByClass.size() > MAX_STORED_CLASSES) {
        break;
      }
    }
    return List.copyOf(demandByClass.values());
  }

  /**
   * Spare capacity to keep, as a number of tasks by typical job spec. Only classes whose start
   * objective is shorter than a machine's boot time need any: the mean arrivals within a boot time,
   * and at least one job of the largest recent size.
   */
  Map<JobSpec, Integer> spareCapacity(double now) {
    Map<String, List<Arrival>> arrivalsByClass = new HashMap<>();
    for (Arrival arrival : arrivals) {
      arrivalsByClass
          .computeIfAbsent(arrival.spec().jobClass(), jobClass -> new ArrayList<>())
          .add(arrival);
    }
    double bootS = BootTimes.slowestNominalBootS(cluster);
    Map<JobSpec, Integer> spareTasksBySpec = new HashMap<>();
    for (var entry : arrivalsByClass.entrySet()) {
      Double startObjectiveS = cluster.policy.startObjectivesS().get(entry.getKey());
      if (startObjectiveS == null || startObjectiveS > bootS) {
        continue;
      }
      List<Arrival> classArrivals = entry.getValue();
      JobSpec typicalSpec = classArrivals.get(classArrivals.size() - 1).spec();
      spareTasksBySpec.put(
          typicalSpec, (int) Math.ceil(spareTasks(classArrivals, typicalSpec, bootS, now)));
    }
    return spareTasksBySpec;
  }

  /** Number of tasks of one class to keep spare capacity for, given its recent arrivals. */
  private double spareTasks(
      List<Arrival> classArrivals, JobSpec typicalSpec, double bootS, double now) {
    int totalTasks = 0;
    int largestJobTasks = 0;
    for (Arrival arrival : classArrivals) {
      totalTasks += arrival.tasks();
      largestJobTasks = Math.max(largestJobTasks, arrival.tasks());
    }
    double windowS =
        Math.max(MIN_AVERAGING_WINDOW_S, Math.min(ARRIVAL_RETENTION_S, now - startedAt));
    double meanTasks = totalTasks / windowS * bootS * MEAN_FACTOR;
    // Arrays arrive in bursts, sometimes several at once.
    double tasksToReserve =
        typicalSpec.isService()
            ? Math.max(meanTasks, largestJobTasks)
            : meanTasks + BURST_JOBS * largestJobTasks;
    return tasksToReserve * cluster.policy.tuning().spareFactor();
  }
}
