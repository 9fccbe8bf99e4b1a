package graderelay.core;

import java.util.ArrayList;
import java.util.Map;

/**
 * Reconciles the claims on a machine with the status in its heartbeats: what a heartbeat shows of
 * an attempt, and what its absence proves. A claim counts as running until it is proven gone.
 */
final class ClaimReconciliation {
  private final ClusterState cluster;
  private final StoredRecords records;
  private final FleetPlanner planner;
  private final FailureAttribution failureAttribution;

  ClaimReconciliation(ClusterState cluster, StoredRecords records, FleetPlanner planner) {
    this.cluster = cluster;
    this.records = records;
    this.planner = planner;
    this.failureAttribution = new FailureAttribution(cluster, planner);
  }

  /**
   * Judges each claim on the machine by what its heartbeat shows of it, or doesn't.
   *
   * @param checkIn true if the worker sent the heartbeat by itself, false if it answers commands
   */
  void reconcile(Machine machine, Heartbeat heartbeat, boolean checkIn, double now) {
    if (machine.claims.isEmpty()) {
      return;
    }
    Map<AttemptKey, Heartbeat.Entry> shown = heartbeat.entriesByAttempt();
    for (Claim claim : new ArrayList<>(machine.claims.values())) {
      if (claim.phase != Claim.Phase.COMMITTED || claim.session > heartbeat.session()) {
        continue;
      }
      Heartbeat.Entry entry = shown.get(AttemptKey.of(claim));
      if (claim.session < heartbeat.session()) {
        cluster.log(attempt(claim) + " is gone: new session of " + machine.name);
        records.end(claim, false, now);
      } else if (entry != null) {
        onShown(machine, claim, heartbeat, entry, now);
      } else {
        onAbsent(machine, claim, heartbeat, checkIn, now);
      }
    }
  }

  /** The heartbeat shows the attempt. */
  private void onShown(
      Machine machine, Claim claim, Heartbeat heartbeat, Heartbeat.Entry entry, double now) {
    if (launchMayArriveAgain(claim, heartbeat)) {
      machine.unreapableAttempts.add(AttemptKey.of(claim));
    }
    claim.launch = Claim.Launch.CONFIRMED;
    if (claim.stage != entry.stage()) {
      claim.stage = entry.stage();
      claim.stageSince = now;
      if (entry.stage() == Heartbeat.Stage.RUNNING && claim.runningSince == 0) {
        claim.runningSince = now;
      }
    }
    if (entry.stage() == Heartbeat.Stage.EXITED) {
      onExited(machine, claim, entry, now);
    } else if (claim.runningSince > 0
        && !claim.ranLongEnough
        && now - claim.runningSince > FailureAttribution.GOOD_RUN_S) {
      claim.ranLongEnough = true;
      failureAttribution.onSuccess(machine, claim, now);
    }
  }

  /**
   * True if the launch command may come once more, late; only an attempt that the worker still
   * knows makes it harmless.
   */
  private static boolean launchMayArriveAgain(Claim claim, Heartbeat heartbeat) {
    boolean sentDirectly =
        claim.launch == Claim.Launch.DIRECT
            || claim.launch == Claim.Launch.UNACKNOWLEDGED
            || claim.fromEarlierLeader;
    boolean notFenced = heartbeat.term() <= claim.launchTerm || claim.launch == Claim.Launch.DIRECT;
    return sentDirectly && notFenced;
  }

  /** The heartbeat doesn't show the attempt: decides whether that proves it gone. */
  private void onAbsent(
      Machine machine, Claim claim, Heartbeat heartbeat, boolean checkIn, double now) {
    switch (claim.launch) {
      case NONE -> {
        // An earlier leader may have launched it, but its commands are refused now.
        if (claim.fromEarlierLeader && heartbeat.term() >= cluster.term) {
          records.end(claim, false, now);
        }
      }
      case IN_RESPONSE -> {
        // One heartbeat is under way at a time, so this one was sent after the response was taken
        // or dropped.
        if (checkIn && heartbeat.seq() > claim.launchHeartbeatSeq) {
          claim.launch = Claim.Launch.NONE;
        }
      }
      case UNACKNOWLEDGED -> {
        if (heartbeat.term() > claim.launchTerm) {
          claim.launch = Claim.Launch.NONE; // Fenced: the worker refuses the late command.
        }
      }
      case CONFIRMED -> {
        cluster.log(attempt(claim) + " vanished from " + machine.name);
        records.end(claim, false, now);
      }
      default -> {
        // Sent directly: undecided until the worker's answer to the command, or its loss, is known.
      }
    }
    if (claim.launch == Claim.Launch.NONE
        && !claim.fromEarlierLeader
        && (claim.job.cancelRequested || claim.stopRequested)) {
      records.end(claim, false, now);
    }
  }

  /** The attempt has exited: ends its claim, and says whose fault a failure was. */
  private void onExited(Machine machine, Claim claim, Heartbeat.Entry entry, double now) {
    String saved = entry.saved() ? ", saved" : "";
    cluster.log(attempt(claim) + " on " + machine.name + " exited: " + entry.why() + saved);
    cluster.actions.add(new Action.MetricEvent(entry.why(), -1));
    switch (entry.why()) {
      case "done" -> {
        failureAttribution.onSuccess(machine, claim, now);
        if (claim.runningSince > 0) {
          planner.onTaskCompleted(claim.job.spec, now - claim.runningSince);
        }
      }
      case "error" -> failureAttribution.onFailure(machine, claim, now);
      case "no_room" -> {
        // Something runs there that we don't know of yet; the next heartbeats will show it.
        double pauseUntil = now + cluster.policy.heartbeatIntervalS();
        machine.quarantineUntil = Math.max(machine.quarantineUntil, pauseUntil);
      }
      case "unknown" -> claim.job.notBefore = now + FailureAttribution.JOB_BACKOFF_S;
      default -> {
        // Killed or preempted: nobody's fault.
      }
    }
    records.end(claim, entry.why().equals("done"), now);
  }

  private static String attempt(Claim claim) {
    return claim.taskId() + " attempt " + claim.attempt;
  }
}
