package graderelay.core;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Sizes the fleet, once a plan: what to scale out for the work that waits and the spare room that
 * arrivals call for, which on-demand machines to consolidate, and what to scale in. It also keeps
 * the demand and image records that a leader after a failover starts from.
 */
final class FleetPlanner {
  private final ClusterState cluster;
  private final BootTimes boots;
  private final Deadlines deadlines;
  private final DemandHistory demand;
  private final ScaleOutPlanner scaleOut;
  private final FleetConsolidation consolidation;
  private final ScaleInPlanner scaleIn;
  private final ImageRecords images;
  private Set<Job> stepBack = Set.of();
  private Set<Job> atLeisure = Set.of();

  FleetPlanner(ClusterState cluster, double now) {
    this.cluster = cluster;
    this.boots = new BootTimes(cluster, now);
    this.deadlines = new Deadlines(cluster);
    this.demand = new DemandHistory(cluster, now);
    this.scaleOut = new ScaleOutPlanner(cluster, boots, deadlines);
    this.consolidation = new FleetConsolidation(cluster, deadlines, demand, now);
    this.scaleIn = new ScaleInPlanner(cluster, boots, now);
    this.images = new ImageRecords(cluster, now);
  }

  /** Thousands of machines, the last of which need not be full; at least one. */
  static int thousandsOfMachines(ClusterState cluster) {
    return 1 + Math.max(0, cluster.machines.size() - 1) / 1000;
  }

  void onArrival(JobSpec spec, double at) {
    demand.onArrival(spec, at);
  }

  /** What an earlier leader remembered; jobs that are still live were counted already. */
  void onDemand(Action.Demand d, double now) {
    demand.onDemand(d, now);
  }

  /** A machine has sent its first heartbeat. */
  void onUp(Machine m, double now) {
    if (m.booting) {
      boots.up(m, now);
    }
  }

  /** A job fails on every machine: it is no sign of what is to come, nor does it scale out. */
  void onBroken(JobSpec spec) {
    demand.onBroken(spec);
  }

  /** Expected run time of a task, in seconds. */
  double estimate(JobSpec s) {
    return deadlines.estimate(s);
  }

  /** A task of the spec has run to its end in so many seconds. */
  void onRan(JobSpec spec, double seconds) {
    deadlines.onRan(spec, seconds);
  }

  /**
   * The cloud's answer to scale-out request {@code id}: the machines it created (null if none), and
   * whether the pool said it had no capacity.
   */
  void onScaleOutAnswered(long id, List<String> names, boolean noCapacity, double now) {
    scaleOut.onAnswer(id, names, noCapacity, now);
  }

  /** Jobs that step back for others of their team, as of the last plan. */
  Set<Job> steppingBack() {
    return stepBack;
  }

  /** Jobs that wait without harm as yet, as of the last plan. */
  Set<Job> atLeisure() {
    return atLeisure;
  }

  /** Plans the fleet and adds the scale-out, scale-in and record actions to the world's out. */
  void plan(double now) {
    if (cluster.types.isEmpty()) {
      return;
    }
    demand.forgetOld(now);
    boots.plan(now);
    List<PackingBin> bins = scaleOut.bins(now);
    double there = scaleOut.cpusForArrays(bins);
    stepBack = deadlines.steppingBack(there, now);
    atLeisure = deadlines.atLeisure(now);
    // Only what teams' limits make hopeless is left out: a fleet too small for the rest is to grow.
    Set<Job> hopeless = deadlines.steppingBack(Double.MAX_VALUE, now);
    double needed = deadlines.neededCpus(hopeless, now);
    Set<Machine> keep = new HashSet<>();
    Map<JobSpec, Integer> spare = demand.spareRoom(now);
    Map<InstancePool, Integer> wanted =
        scaleOut.pack(bins, spare, Math.max(0, needed - there), keep, now);
    consolidation.close(there - needed, keep, now);
    scaleOut.request(wanted, now);
    scaleIn.scaleIn(keep, now);
    demand.keepDemand(now);
    images.keepImages(now);
  }
}
