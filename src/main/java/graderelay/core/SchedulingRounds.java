package graderelay.core;

import java.util.List;

/**
 * What only the passing of time sets off for {@link Scheduler} (lease expiry, probes, fleet plans,
 * account checks), and the scheduling round: place claims, then write them by compare-and-swap.
 */
final class SchedulingRounds {
  /** Seconds between rounds at most, for what only time changes. */
  private static final double ROUND_AT_LEAST_EVERY_S = 0.5;

  /** Seconds between plans of the fleet; a machine takes many times this to boot. */
  private static final double PLAN_EVERY_S = 1.0;

  /** Seconds between comparisons of the accounts with the committed claims. */
  private static final double ACCOUNT_CHECK_EVERY_S = 1;

  private final ClusterState cluster;
  private final PlacementRound placement;
  private final FleetPlanner planner;
  private final CompareAndSwapWriter writer;
  private final JobEndWriter jobEnds;
  private final WorkerControl workers;
  private final LostMachineHandler proofs;
  private final MachineEvents machineEvents;
  private final QuotaUpdates quota;

  private double lastAccountCheck = Double.NEGATIVE_INFINITY;
  private double lastRound = Double.NEGATIVE_INFINITY;
  private double lastPlan = Double.NEGATIVE_INFINITY;

  SchedulingRounds(
      ClusterState cluster,
      PlacementRound placement,
      FleetPlanner planner,
      CompareAndSwapWriter writer,
      JobEndWriter jobEnds,
      WorkerControl workers,
      LostMachineHandler proofs,
      MachineEvents machineEvents,
      QuotaUpdates quota) {
    this.cluster = cluster;
    this.placement = placement;
    this.planner = planner;
    this.writer = writer;
    this.jobEnds = jobEnds;
    this.workers = workers;
    this.proofs = proofs;
    this.machineEvents = machineEvents;
    this.quota = quota;
  }

  /** Looks at everything that only the passing of time changes. */
  void tick(double now) {
    proofs.expireLeases(now);
    workers.prober().probeDueMachines(now);
    workers.fencing().raiseTermIfBlocked(now);
    workers.stopper().repeatCancellationKills(now);
    askForEnds(now);
    planIfDue(now);
    if (now - lastAccountCheck >= ACCOUNT_CHECK_EVERY_S) {
      lastAccountCheck = now;
      cluster.admission.check();
    }
    if (now - lastRound >= ROUND_AT_LEAST_EVERY_S) {
      cluster.roundNeeded = true;
    }
    step(now);
    quota.addDiscrepancies();
  }

  /** Asks the store for the final records of DAG dependencies whose end is not known yet. */
  private void askForEnds(double now) {
    List<String> find = cluster.dependencies.finalRecordsToFetch(now);
    if (!find.isEmpty()) {
      cluster.actions.add(new Action.FindEnds(find));
    }
  }

  /** Plans the fleet (scale out and in) once a plan period has passed, and tells the placement. */
  private void planIfDue(double now) {
    if (now - lastPlan >= PLAN_EVERY_S && !cluster.loading) {
      lastPlan = now;
      cluster.dependencies.updateUrgency(now);
      planner.plan(now);
      placement.planned(planner.yieldingToTeammates(), planner.deferrable());
    }
  }

  /** Runs a round if anything changed. Returns the seconds until it wants to be called again. */
  double step(double now) {
    workers.launcher().launchCommitted(now);
    if (!cluster.roundNeeded || cluster.loading) {
      return ROUND_AT_LEAST_EVERY_S;
    }
    double wait = lastRound + SchedulerLimits.ROUND_EVERY_S - now;
    if (wait > 0) {
      return wait;
    }
    cluster.roundNeeded = false;
    lastRound = now;
    machineEvents.forgetMachines();
    boolean pause = cluster.policy.tuning().claimsPaused() || workers.fencing().isRaiseInFlight();
    List<Claim> claims = pause ? List.of() : placement.round(writer.remainingChanges(), now);
    workers.stopper().stopRequestedClaims(now);
    writer.write(claims, now);
    jobEnds.endJobs();
    workers.launcher().launchCommitted(now);
    return ROUND_AT_LEAST_EVERY_S;
  }
}
