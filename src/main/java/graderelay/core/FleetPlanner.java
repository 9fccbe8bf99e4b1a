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
  private final RunTimeEstimates estimates = new RunTimeEstimates();
  private final Deadlines deadlines;
  private final TeammateYielding teammateYielding;
  private final DemandHistory demand;
  private final ScaleOutPlanner scaleOut;
  private final FleetConsolidation consolidation;
  private final ScaleInPlanner scaleIn;
  private final ImageRecords images;
  private Set<Job> yieldingToTeammates = Set.of();
  private Set<Job> deferrable = Set.of();

  FleetPlanner(ClusterState cluster, double now) {
    this.cluster = cluster;
    this.boots = new BootTimes(cluster, now);
    this.deadlines = new Deadlines(cluster, estimates);
    this.teammateYielding = new TeammateYielding(cluster, deadlines, estimates);
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

  /** A job of this spec was submitted at that time (seconds on the leader's clock). */
  void onArrival(JobSpec spec, double at) {
    demand.onArrival(spec, at);
  }

  /** What an earlier leader remembered; jobs that are still live were counted already. */
  void onDemand(Action.Demand remembered, double now) {
    demand.onDemand(remembered, now);
  }

  /** A machine has sent its first heartbeat. */
  void onUp(Machine machine, double now) {
    if (machine.booting) {
      boots.up(machine, now);
    }
  }

  /** A job fails on every machine: it is no sign of what is to come, nor does it scale out. */
  void onBroken(JobSpec spec) {
    demand.onBroken(spec);
  }

  /** Expected run time of a task, in seconds. */
  double estimate(JobSpec spec) {
    return estimates.estimate(spec);
  }

  /** A task of the spec has run to its end in so many seconds. */
  void onRan(JobSpec spec, double seconds) {
    estimates.onRan(spec, seconds);
  }

  /**
   * The cloud's answer to scale-out request {@code id}: the machines it created (null if none), and
   * whether the pool said it had no capacity.
   */
  void onScaleOutAnswered(long id, List<String> names, boolean noCapacity, double now) {
    scaleOut.onAnswer(id, names, noCapacity, now);
  }

  /** Jobs that yield to others of their team, as of the last plan. */
  Set<Job> yieldingToTeammates() {
    return yieldingToTeammates;
  }

  /** Jobs that may wait without harm as yet, as of the last plan. */
  Set<Job> deferrable() {
    return deferrable;
  }

  /**
   * Plans the fleet and adds the scale-out, scale-in and record actions to the cluster's actions.
   */
  void plan(double now) {
    if (cluster.types.isEmpty()) {
      return;
    }
    demand.forgetOld(now);
    boots.plan(now);
    List<PackingBin> bins = scaleOut.bins(now);
    double availableCpus = scaleOut.cpusForArrays(bins);
    yieldingToTeammates = teammateYielding.yieldingJobs(availableCpus, now);
    deferrable = deadlines.deferrableJobs(now);
    // Only what teams' limits make hopeless is left out: a fleet too small for the rest is to grow.
    Set<Job> hopeless = teammateYielding.yieldingJobs(Double.MAX_VALUE, now);
    double neededCpus = deadlines.neededCpus(hopeless, now);
    Set<Machine> spareRoomMachines = new HashSet<>();
    Map<JobSpec, Integer> spareRoom = demand.spareRoom(now);
    double missingCpus = Math.max(0, neededCpus - availableCpus);
    Map<InstancePool, Integer> toRequest =
        scaleOut.pack(bins, spareRoom, missingCpus, spareRoomMachines, now);
    consolidation.close(availableCpus - neededCpus, spareRoomMachines, now);
    scaleOut.request(toRequest, now);
    scaleIn.scaleIn(spareRoomMachines, now);
    demand.store(now);
    images.store(now);
  }
}
