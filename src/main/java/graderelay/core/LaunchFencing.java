package graderelay.core;

import java.util.Locale;

/**
 * Fences direct launches: a worker that has seen a higher term than a launch's refuses it, however
 * late it arrives, and also its copies. Launches are fenced that block the stop of their attempt,
 * and those of attempts that have exited, before the worker is told to forget the attempt.
 *
 * <p>The leader raises its own term first. A machine's commands and responses take it over when
 * something has to be fenced there, so that the raise concerns no other worker.
 *
 * <p>A worker executes a late launch as long as its session goes on and it has seen no higher term.
 * If the job of the launch was cancelled, the worker's lease must therefore not be renewed under
 * that term for longer than the cancellation deadline allows: unless the term is raised in time,
 * the lease is not renewed, and no lease delegate is allowed to renew it. The deadline is counted
 * from the time at which the claim was sent, since the claim would have failed if the cancellation
 * had been confirmed before.
 */
final class LaunchFencing {
  /** Seconds that an unacknowledged launch may block a stop before the term is raised. */
  private static final double MAX_BLOCKED_STOP_S = 5;

  /** Minimum seconds between raises, so that the reserved terms last for days. */
  private static final double MIN_RAISE_INTERVAL_S = 1;

  private final ClusterState cluster;
  private double lastRaiseAt = Double.NEGATIVE_INFINITY;
  private boolean raiseInFlight;

  /** True if a worker must not forget an exited attempt before the leader's term is raised. */
  private boolean exitsAwaitRaise;

  LaunchFencing(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Takes over the leader's term for the next message to the machine if that fences a launch which
   * blocks a stop. Every response, command and probe passes this.
   */
  static void fenceBlockedStop(Machine machine, long leaderTerm) {
    for (Claim claim : machine.claims.values()) {
      if (mayStartDespiteStop(claim) && claim.launchTerm == machine.commandTerm) {
        machine.commandTerm = leaderTerm;
        return;
      }
    }
  }

  /**
   * Raises the term of the response to the machine's heartbeat if the response has to fence a
   * launch: one that blocks a stop, or one whose attempt has exited, so that the worker may forget
   * the attempt. A worker takes a response's term before it executes its commands.
   */
  void fenceBeforeResponse(Machine machine, double now) {
    fenceBlockedStop(machine, cluster.term);
    if (!hasUnfencedExit(machine)) {
      return;
    }
    if (machine.commandTerm == cluster.term) {
      exitsAwaitRaise = true;
      raiseTermIfNeeded(now);
    } else {
      machine.commandTerm = cluster.term;
    }
  }

  private static boolean mayStartDespiteStop(Claim claim) {
    return claim.phase == Claim.Phase.COMMITTED
        && claim.hasUnresolvedDirectLaunch()
        && (claim.job.cancelRequested || claim.stopRequested);
  }

  /** True if an exited attempt can only be reaped under a higher term. */
  private static boolean hasUnfencedExit(Machine machine) {
    if (machine.lastHeartbeat == null || hasLaunchInFlight(machine)) {
      return false; // A raise now would make the worker refuse the launch that is in flight.
    }
    for (Heartbeat.TaskStatus status : machine.lastHeartbeat.tasks()) {
      if (status.stage() == Heartbeat.Stage.EXITED
          && !machine.directLaunches.isFencedBy(machine.commandTerm, AttemptKey.of(status))) {
        return true;
      }
    }
    return false;
  }

  private static boolean hasLaunchInFlight(Machine machine) {
    for (Claim claim : machine.claims.values()) {
      if (claim.launchState == Claim.LaunchState.DIRECT) {
        return true;
      }
    }
    return false;
  }

  /** Requests a new term if exits wait for one, or if a launch has blocked a stop for too long. */
  void raiseTermIfNeeded(double now) {
    if (raiseInFlight || now - lastRaiseAt < MIN_RAISE_INTERVAL_S) {
      return;
    }
    if (exitsAwaitRaise) {
      requestRaise(now);
      return;
    }
    for (Machine machine : cluster.machines.values()) {
      for (Claim claim : machine.claims.values()) {
        if (requiresRaise(claim, now)) {
          cluster.log(describeBlockedStop(machine, claim, now));
          requestRaise(now);
          return;
        }
      }
    }
  }

  private void requestRaise(double now) {
    raiseInFlight = true;
    lastRaiseAt = now;
    cluster.actions.add(new Action.RaiseTerm());
  }

  private boolean requiresRaise(Claim claim, double now) {
    Policy.LaunchFenceLimits limits = cluster.policy.launchFenceLimits();
    return isOverdue(claim, Math.min(limits.renewalS(), limits.grantS()), now)
        || blocksStop(claim, now);
  }

  private boolean blocksStop(Claim claim, double now) {
    return mayStartDespiteStop(claim)
        && claim.launchState == Claim.LaunchState.UNACKNOWLEDGED
        && now - claim.launchedAt > MAX_BLOCKED_STOP_S
        && claim.launchTerm == cluster.term;
  }

  /**
   * True if a task of a cancelled job may still be launched under the present term, and so many
   * seconds may have passed since the cancellation.
   */
  private boolean isOverdue(Claim claim, double limitS, double now) {
    return claim.job.cancelRequested
        && claim.phase == Claim.Phase.COMMITTED
        && claim.hasUnresolvedDirectLaunch()
        && claim.launchTerm == cluster.term
        && now - claim.claimedAt > limitS;
  }

  /** True if the machine's lease may be renewed under the present term. */
  boolean mayRenewLease(Machine machine, double now) {
    if (machine == null) {
      return true;
    }
    double limitS = cluster.policy.launchFenceLimits().renewalS();
    for (Claim claim : machine.claims.values()) {
      if (isOverdue(claim, limitS, now)) {
        return false;
      }
    }
    return true;
  }

  /** True if a lease delegate may be allowed to renew leases in the zone under the present term. */
  boolean mayGrantDelegation(String zone, double now) {
    double limitS = cluster.policy.launchFenceLimits().grantS();
    for (Job job : cluster.cancelledJobs) {
      for (Claim claim : job.claims.values()) {
        if (mayBeIn(zone, claim) && isOverdue(claim, limitS, now)) {
          return false;
        }
      }
    }
    return true;
  }

  private boolean mayBeIn(String zone, Claim claim) {
    Machine machine = cluster.machines.get(claim.machine);
    return machine == null || machine.zone == null || machine.zone.equals(zone);
  }

  private String describeBlockedStop(Machine machine, Claim claim, double now) {
    return String.format(
        Locale.ROOT,
        "raising the term %d: a launch of %s attempt %d on %s is unacknowledged for %.1f s;"
            + " session %d, reported term %d, lease renewed %.1f s ago",
        cluster.term,
        claim.taskId(),
        claim.attempt,
        machine.name,
        now - claim.launchedAt,
        machine.session,
        machine.highestReportedTerm,
        now - machine.lastResponseAt);
  }

  /** Handles the outcome: {@code newTerm} is higher than the current term only on success. */
  void onTerm(long newTerm, double now) {
    if (raiseInFlight) {
      raiseInFlight = false;
      cluster.roundNeeded = true; // Rounds claim nothing meanwhile.
    }
    if (newTerm <= cluster.term) {
      return;
    }
    final boolean isOfNewReservation = newTerm > cluster.term + 1;
    cluster.term = newTerm;
    lastRaiseAt = now;
    exitsAwaitRaise = false;
    if (isOfNewReservation) {
      // The leader record names the first term of the reservation, which workers have to show.
      cluster.machines.values().forEach(machine -> machine.commandTerm = newTerm);
    }
  }

  /** True while a request for a new term is in flight; meanwhile no tasks are claimed. */
  boolean isRaiseInFlight() {
    return raiseInFlight;
  }
}
