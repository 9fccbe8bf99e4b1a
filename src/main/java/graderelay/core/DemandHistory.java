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
  private static final double KEEP_DEMAND_EVERY_S = 10;

  /**
   * Arrivals of one class kept in that record for each thousand machines, at some 20 bytes each.
   * The oldest are left out where they don't fit a value.
   */
  private static final int KEPT_ARRIVALS_PER_THOUSAND = 24;

  /** Classes kept in that record. */
  private static final int KEPT_CLASSES = 12;

  /** Seconds over which arrivals are averaged at the least: a few say little of the next ones. */
  private static final double LEAST_SPAN_S = 60;

  /** Seconds for which arrivals are remembered to size the spare room. */
  private static final double ARRIVAL_MEMORY_S = 300;

  /** So many tasks of a job of this spec arrived at this time (seconds). */
  record Arrival(double at, JobSpec spec, int tasks) {}

  private final ClusterState cluster;
  private final double startedAt;
  private final List<Arrival> arrivals = new ArrayList<>();
  private boolean newArrivals;
  private double lastKept = Double.NEGATIVE_INFINITY;

  DemandHistory(ClusterState cluster, double startedAt) {
    this.cluster = cluster;
    this.startedAt = startedAt;
  }

  /** The arrivals remembered, oldest first; not to be changed by the caller. */
  List<Arrival> arrivals() {
    return arrivals;
  }

  void onArrival(JobSpec spec, double at) {
    arrivals.add(new Arrival(at, spec, spec.tasks()));
    newArrivals = true;
  }

  /** What an earlier leader remembered; jobs that are still live were counted already. */
  void onDemand(Action.Demand d, double now) {
    List<Arrival> live = new ArrayList<>();
    for (Arrival a : arrivals) {
      if (a.spec().jobClass().equals(d.latest().jobClass())) {
        live.add(a);
      }
    }
    for (double[] a : d.arrivals()) {
      double at = now - a[0];
      boolean known =
          live.stream().anyMatch(x -> Math.abs(x.at() - at) < 0.5 && x.tasks() == (int) a[1]);
      if (!known) {
        arrivals.add(new Arrival(at, d.latest(), (int) a[1]));
      }
    }
  }

  /** A job fails on every machine: it is no sign of what is to come, nor does it scale out. */
  void onBroken(JobSpec spec) {
    arrivals.removeIf(a -> a.spec().id().equals(spec.id()));
    newArrivals = true;
  }

  /** Forgets what arrived longer ago than the memory of arrivals. */
  void forgetOld(double now) {
    arrivals.removeIf(a -> a.at() < now - ARRIVAL_MEMORY_S);
  }

  /** Stores the latest arrivals of each class for the next leader, now and then. */
  void keepDemand(double now) {
    if (!newArrivals || now - lastKept < KEEP_DEMAND_EVERY_S) {
      return;
    }
    lastKept = now;
    newArrivals = false;
    Map<String, Action.Demand> classes = new HashMap<>();
    int kept = KEPT_ARRIVALS_PER_THOUSAND * FleetPlanner.thousandsOfMachines(cluster);
    for (int i = arrivals.size() - 1; i >= 0; i--) {
      Arrival a = arrivals.get(i);
      Action.Demand d =
          classes.computeIfAbsent(
              a.spec().jobClass(), c -> new Action.Demand(a.spec(), new ArrayList<>()));
      if (d.arrivals().size() < kept) {
        d.arrivals().add(new double[] {now - a.at(), a.tasks()});
      }
      if (classes.size() > KEPT_CLASSES) {
        break;
      }
    }
    cluster.out.add(new Action.KeepDemand(List.copyOf(classes.values())));
  }

  /**
   * Room to keep free, in tasks by a typical spec: for each class that should start sooner than a
   * machine boots, what arrived within a boot time on average, and at least one job of the largest
   * usual size.
   */
  Map<JobSpec, Integer> spareRoom(double now) {
    Map<String, List<Arrival>> byClass = new HashMap<>();
    for (Arrival a : arrivals) {
      byClass.computeIfAbsent(a.spec().jobClass(), c -> new ArrayList<>()).add(a);
    }
    double boot = BootTimes.slowestNominal(cluster);
    Map<JobSpec, Integer> spare = new HashMap<>();
    for (var e : byClass.entrySet()) {
      Double wait = cluster.policy.startObjectivesS().get(e.getKey());
      if (wait == null || wait > boot) {
        continue;
      }
      List<Arrival> ofClass = e.getValue();
      JobSpec typical = ofClass.get(ofClass.size() - 1).spec();
      spare.put(typical, (int) Math.ceil(spareTasks(ofClass, typical, boot, now)));
    }
    return spare;
  }

  private double spareTasks(List<Arrival> ofClass, JobSpec typical, double boot, double now) {
    int sum = 0;
    int largest = 0;
    for (Arrival a : ofClass) {
      sum += a.tasks();
      largest = Math.max(largest, a.tasks());
    }
    double span = Math.max(LEAST_SPAN_S, Math.min(ARRIVAL_MEMORY_S, now - startedAt));
    double mean = sum / span * boot * 1.5;
    // Arrays come in lumps, and several at once on a bad day.
    double lump = typical.isService() ? Math.max(mean, largest) : mean + 2 * largest;
    return lump * cluster.policy.tuning().spareFactor();
  }
}
