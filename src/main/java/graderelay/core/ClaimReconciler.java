package graderelay.core;

import java.util.ArrayList;
import java.util.Map;

/**
 * Reconciles the claims on a machine with the task statuses in its heartbeats. A claim counts as
 * running until its attempt is proven to have ended; a heartbeat that does not list the attempt is
 * such a proof only if no launch command can still start it.
 */
final class ClaimReconciler {
  private final ClusterState cluster;
  private final StoredRecords records;
  private final FleetPlanner planner;
  private final FailureAttribution failureAttribution;

  ClaimReconciler(ClusterState cluster, StoredRecords records, FleetPlanner planner) {
    this.cluster = cluster;
    this.records = records;
    this.planner = planner;
    this.failureAttribution = new FailureAttribution(cluster, planner);
  }

  /**
   * Updates each claim on the machine from the heartbeat.
   *
   * @param workerInitiated true if the worker sent the heartbeat on its own initiative, false if it
   *     is the response to direct commands
   */
  void reconcile(Machine machine, Heartbeat heartbeat, boolean workerInitiated, double now) {
    if (machine.claims.isEmpty()) {
      return;
    }
    Map<AttemptKey, Heartbeat.TaskStatus> statusByAttempt = heartbeat.statusByAttempt();
    for (Claim claim : new ArrayList<>(machine.claims.values())) {
      if (claim.phase != Claim.Phase.COMMITTED || claim.session > heartbeat.session()) {
        continue;
      }
      Heartbeat.TaskStatus status = statusByAttempt.get(AttemptKey.of(claim));
      if (claim.session < heartbeat.session()) {
        cluster.log(describeAttempt(claim) + " ended: new worker session on " + machine.name);
        records.endClaim(claim, false, now);
      } else if (status != null) {
        onListed(machine, claim, status, now);
      } else {
        onNotListed(machine, claim, heartbeat, workerInitiated, now);
      }
    }
  }

  /** Handles an attempt that the heartbeat lists. */
  private void onListed(Machine machine, Claim claim, Heartbeat.TaskStatus status, double now) {
    claim.launchState = Claim.LaunchState.CONFIRMED;
    if (claim.stage != status.stage()) {
      claim.stage = status.stage();
      claim.stageSince = now;
      if (status.stage() == Heartbeat.Stage.RUNNING && claim.runningSince == 0) {
        claim.runningSince = now;
      }
    }
    if (status.stage() == Heartbeat.Stage.EXITED) {
      onExited(machine, claim, status, now);
    } else if (claim.runningSince > 0
        && !claim.ranLongEnough
        && now - claim.runningSince > FailureAttribution.MIN_SUCCESSFUL_RUN_S) {
      claim.ranLongEnough = true;
      failureAttribution.onSuccess(machine, claim, now);
    }
  }

  /** Handles an attempt that the heartbeat does not list; this may prove that it has ended. */
  private void onNotListed(
      Machine machine, Claim claim, Heartbeat heartbeat, boolean workerInitiated, double now) {
    switch (claim.launchState) {
      case NONE -> {
        // An earlier leader may have launched it, but the worker now refuses its commands.
        if (claim.fromEarlierLeader && heartbeat.term() >= cluster.electedTerm) {
          records.endClaim(claim, false, now);
        }
      }
      case IN_RESPONSE -> {
        // A worker sends one heartbeat at a time, so it sent this one after it had received the
        // response or given up on it.
        if (workerInitiated && heartbeat.seq() > claim.launchHeartbeatSeq) {
          claim.launchState = Claim.LaunchState.NONE;
        }
      }
      case UNACKNOWLEDGED -> {
        if (heartbeat.term() > claim.launchTerm) {
          // Fenced: the worker refuses a delayed command.
          claim.launchState = Claim.LaunchState.NONE;
        }
      }
      case CONFIRMED -> {
        cluster.log(describeAttempt(claim) + " is no longer listed by " + machine.name);
        records.endClaim(claim, false, now);
      }
      default -> {
        // Sent directly: undecided until the outcome of the command's delivery is known.
      }
    }
    if (claim.launchState == Claim.LaunchState.NONE
        && !claim.fromEarlierLeader
        && (claim.job.cancelRequested || claim.stopRequested)) {
      records.endClaim(claim, false, now);
    }
  }

  /** Ends the claim of an exited attempt and attributes a failure to its job or its machine. */
  private void onExited(Machine machine, Claim claim, Heartbeat.TaskStatus status, double now) {
    String savedSuffix = status.saved() ? ", saved" : "";
    cluster.log(
        describeAttempt(claim)
            + " on "
            + machine.name
            + " exited: "
            + status.exitReason()
            + savedSuffix);
    cluster.actions.add(new Action.MetricEvent(status.exitReason(), -1));
    switch (status.exitReason()) {
      case "done" -> {
        failureAttribution.onSuccess(machine, claim, now);
        if (claim.runningSince > 0) {
          planner.onTaskCompleted(claim.job.spec, now - claim.runningSince);
        }
      }
      case "error" -> failureAttribution.onFailure(machine, claim, now);
      case "no_room" -> {
        // The machine runs tasks that it has not reported to this leader yet; the next heartbeats
        // will list them.
        double pauseUntil = now + cluster.policy.heartbeatIntervalS();
        machine.quarantineUntil = Math.max(machine.quarantineUntil, pauseUntil);
      }
      case "unknown" -> claim.job.notBefore = now + FailureAttribution.INITIAL_JOB_BACKOFF_S;
      default -> {
        // Killed or preempted: neither the job nor the machine failed.
      }
    }
    records.endClaim(claim, status.exitReason().equals("done"), now);
  }

  private static String describeAttempt(Claim claim) {
    return claim.taskId() + " attempt " + claim.attempt;
  }
}
