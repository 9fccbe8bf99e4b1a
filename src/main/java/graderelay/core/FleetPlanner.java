package graderelay.core;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Plans the size of the fleet: which machines to request for waiting work and spare capacity, which
 * on-demand machines to consolidate, and which machines to scale in. It also stores the demand and
 * image records that a new leader reads after a failover.
 */
final class FleetPlanner {
  private final ClusterState cluster;
  private final BootTimes bootTimes;
  private final RunTimeEstimates estimates = new RunTimeEstimates();
  private final Deadlines deadlines;
  private final TeammateYielding teammateYielding;
  private final DemandHistory demandHistory;
  private final ScaleOutPlanner scaleOutPlanner;
  private final UnmetDemand unmetDemand;
  private final FleetConsolidation consolidation;
  private final ScaleInPlanner scaleInPlanner;
  private final ImageRecords imageRecords;
  private Set<Job> jobsYieldingToTeammates = Set.of();
  private Set<Job> deferrableJobs = Set.of();

  FleetPlanner(ClusterState cluster, double now) {
    this.cluster = cluster;
    this.bootTimes = new BootTimes(cluster, now);
    this.deadlines = new Deadlines(cluster, estimates);
    this.teammateYielding = new TeammateYielding(cluster, deadlines, estimates);
    this.demandHistory = new DemandHistory(cluster, now);
    this.unmetDemand = new UnmetDemand(cluster);
    this.scaleOutPlanner = new ScaleOutPlanner(cluster, bootTimes, deadlines);
    this.consolidation = new FleetConsolidation(cluster, deadlines, demandHistory, now);
    this.scaleInPlanner = new ScaleInPlanner(cluster, bootTimes, now);
    this.imageRecords = new ImageRecords(cluster, now);
  }

  /** Number of machines in thousands, rounded up; at least one. */
  static int thousandsOfMachines(ClusterState cluster) {
    return 1 + Math.max(0, cluster.machines.size() - 1) / 1000;
  }

  /** Records that a job was submitted at time {@code at}, in seconds on the leader's clock. */
  void onArrival(JobSpec spec, double at) {
    demandHistory.onArrival(spec, at);
  }

  /**
   * Merges the arrivals of one class that an earlier leader stored; live jobs are already recorded.
   */
  void mergeStoredDemand(Action.Demand storedDemand, double now) {
    demandHistory.mergeStoredDemand(storedDemand, now);
  }

  /** Handles the first heartbeat of a machine. */
  void onFirstHeartbeat(Machine machine, double now) {
    if (machine.booting) {
      bootTimes.recordBoot(machine, now);
    }
  }

  /** Excludes a job that fails on every machine from the demand for spare capacity. */
  void onFailingJob(JobSpec spec) {
    demandHistory.onFailingJob(spec);
  }

  /** Expected run time of a task, in seconds. */
  double estimateRunTimeS(JobSpec spec) {
    return estimates.estimateRunTimeS(spec);
  }

  /** Records the run time of a completed task. */
  void onTaskCompleted(JobSpec spec, double runTimeS) {
    estimates.onTaskCompleted(spec, runTimeS);
  }

  /**
   * Handles the cloud's response to scale-out request {@code id}.
   *
   * @param machineNames machines created, or null if there are none
   * @param noCapacity whether the cloud reported that the pool has no capacity
   */
  void onScaleOutResponse(long id, List<String> machineNames, boolean noCapacity, double now) {
    scaleOutPlanner.onScaleOutResponse(id, machineNames, noCapacity, now);
  }

  /** Waiting tasks for which the last plan requested no machine, by each cause. */
  Map<UnmetDemand.Cause, Integer> unmetTasksByCause() {
    return unmetDemand.tasksByCause();
  }

  /** Jobs that yield to other jobs of their team, as of the last plan. */
  Set<Job> jobsYieldingToTeammates() {
    return jobsYieldingToTeammates;
  }

  /** Jobs that can wait without missing their deadline, as of the last plan. */
  Set<Job> deferrableJobs() {
    return deferrableJobs;
  }

  /**
   * Plans the fleet and adds the scale-out, scale-in and record actions to the cluster's actions.
   */
  void plan(double now) {
    if (cluster.machineTypes.isEmpty()) {
      return;
    }
    demandHistory.removeExpired(now);
    bootTimes.updateStalledTypes(now);
    List<PackingBin> bins = scaleOutPlanner.bins(now);
    double availableCpus = scaleOutPlanner.cpusAvailableToArrays(bins);
    jobsYieldingToTeammates = teammateYielding.yieldingJobs(availableCpus, now);
    deferrableJobs = deadlines.deferrableJobs(now);
    // Excludes only jobs that would be late because of their team's limit, however large the fleet.
    // The fleet must grow for all others.
    Set<Job> lateUnderTeamLimits = teammateYielding.yieldingJobs(Double.MAX_VALUE, now);
    double neededCpus = deadlines.neededCpus(lateUnderTeamLimits, now);
    Set<Machine> machinesToKeep = new HashSet<>();
    Map<JobSpec, Integer> spareCapacity = demandHistory.spareCapacity(now);
    double heldCpus = Math.min(availableCpus, deadlines.cpusHeldByOtherArrays(now));
    double missingCpus = Math.max(0, neededCpus - (availableCpus - heldCpus));
    Map<InstancePool, Integer> machinesToRequest =
        scaleOutPlanner.pack(bins, spareCapacity, missingCpus, machinesToKeep, unmetDemand, now);
    unmetDemand.endPlan(neededCpus, availableCpus - heldCpus, now);
    consolidation.consolidate(availableCpus - neededCpus, machinesToKeep, now);
    scaleOutPlanner.sendRequests(machinesToRequest, now);
    scaleInPlanner.scaleIn(machinesToKeep, now);
    demandHistory.store(now);
    imageRecords.store(now);
  }
}
