package graderelay.core;

import java.util.List;

/**
 * Runs the periodic work of {@link Scheduler} (lease expiry, probes, fleet plans, account checks)
 * and the scheduling rounds, each of which places claims and then writes them by compare-and-swap.
 */
final class SchedulingRounds {
  /** Maximum time between scheduling rounds, since some conditions change with time alone. */
  private static final double MAX_ROUND_INTERVAL_S = 0.5;

  /** Time between fleet plans; a machine takes many times this to boot. */
  private static final double PLAN_INTERVAL_S = 1.0;

  /** Time between comparisons of the teams' accounts with the committed claims. */
  private static final double ACCOUNT_CHECK_INTERVAL_S = 1;

  private final ClusterState cluster;
  private final PlacementRound placement;
  private final FleetPlanner planner;
  private final CompareAndSwapWriter writer;
  private final JobEndWriter jobEndWriter;
  private final WorkerControl workerControl;
  private final LostMachineHandler lostMachineHandler;
  private final MachineEvents machineEvents;
  private final QuotaUpdates quotaUpdates;

  private double lastAccountCheckAt = Double.NEGATIVE_INFINITY;
  private double lastRoundAt = Double.NEGATIVE_INFINITY;
  private double lastPlanAt = Double.NEGATIVE_INFINITY;

  SchedulingRounds(
      ClusterState cluster,
      PlacementRound placement,
      FleetPlanner planner,
      CompareAndSwapWriter writer,
      JobEndWriter jobEndWriter,
      WorkerControl workerControl,
      LostMachineHandler lostMachineHandler,
      MachineEvents machineEvents,
      QuotaUpdates quotaUpdates) {
    this.cluster = cluster;
    this.placement = placement;
    this.planner = planner;
    this.writer = writer;
    this.jobEndWriter = jobEndWriter;
    this.workerControl = workerControl;
    this.lostMachineHandler = lostMachineHandler;
    this.machineEvents = machineEvents;
    this.quotaUpdates = quotaUpdates;
  }

  /** Runs everything that depends on time, then a scheduling round if one is due. */
  void tick(double now) {
    lostMachineHandler.expireLeases(now);
    workerControl.prober().probeDueMachines(now);
    workerControl.fencing().raiseTermIfNeeded(now);
    workerControl.stopper().repeatCancellationKills(now);
    requestFinalRecords(now);
    planIfDue(now);
    if (now - lastAccountCheckAt >= ACCOUNT_CHECK_INTERVAL_S) {
      lastAccountCheckAt = now;
      cluster.admission.checkAccounts();
    }
    if (now - lastRoundAt >= MAX_ROUND_INTERVAL_S) {
      cluster.roundNeeded = true;
    }
    step(now);
    quotaUpdates.addDiscrepancies();
  }

  /** Requests the final records of dependencies that are not known to have ended. */
  private void requestFinalRecords(double now) {
    List<String> jobIds = cluster.dependencies.finalRecordsToFetch(now);
    if (!jobIds.isEmpty()) {
      cluster.actions.add(new Action.FetchFinalRecords(jobIds));
    }
  }

  /**
   * Plans scale-out and scale-in once the plan interval has passed, and passes the results that
   * placement uses to it.
   */
  private void planIfDue(double now) {
    if (now - lastPlanAt >= PLAN_INTERVAL_S && !cluster.loading) {
      lastPlanAt = now;
      cluster.dependencies.updateUrgency(now);
      planner.plan(now);
      placement.onFleetPlan(planner.jobsYieldingToTeammates(), planner.deferrableJobs());
    }
  }

  /**
   * Runs a scheduling round if anything changed. Returns the seconds after which it should be
   * called again.
   */
  double step(double now) {
    workerControl.launcher().launchCommitted(now);
    if (!cluster.roundNeeded || cluster.loading) {
      return MAX_ROUND_INTERVAL_S;
    }
    double waitS = lastRoundAt + SchedulerLimits.MIN_ROUND_INTERVAL_S - now;
    if (waitS > 0) {
      return waitS;
    }
    cluster.roundNeeded = false;
    lastRoundAt = now;
    machineEvents.removeDeletedMachines();
    boolean claimsPaused =
        cluster.policy.tuning().claimsPaused() || workerControl.fencing().isRaiseInFlight();
    List<Claim> claims =
        claimsPaused ? List.of() : placement.placeTasks(writer.remainingChanges(), now);
    workerControl.stopper().stopRequestedClaims(now);
    writer.write(claims, now);
    jobEndWriter.endJobs();
    workerControl.launcher().launchCommitted(now);
    return MAX_ROUND_INTERVAL_S;
  }
}
