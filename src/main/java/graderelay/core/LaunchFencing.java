package graderelay.core;

import java.util.Locale;

/**
 * Fences unacknowledged launches that block the stop of an attempt. The leader raises its term;
 * workers that have seen the new term refuse a launch with the old one, however late it arrives.
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

  /** Minimum seconds between raises: workers accept a higher term at most twice per lease. */
  private static final double MIN_RAISE_INTERVAL_S = 8;

  /** Minimum seconds between raises while leases or grants are withheld. */
  private static final double MIN_URGENT_RAISE_INTERVAL_S = 1;

  private final ClusterState cluster;
  private double lastRaiseAt = Double.NEGATIVE_INFINITY;
  private boolean raiseInFlight;

  LaunchFencing(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Requests a new term if an unacknowledged launch has blocked a stop for too long. */
  void raiseTermIfBlocked(double now) {
    if (raiseInFlight || now - lastRaiseAt < MIN_URGENT_RAISE_INTERVAL_S) {
      return;
    }
    for (Machine machine : cluster.machines.values()) {
      for (Claim claim : machine.claims.values()) {
        if (requiresRaise(claim, now)) {
          raiseInFlight = true;
          lastRaiseAt = now;
          cluster.log(describeBlockedStop(machine, claim, now));
          cluster.actions.add(new Action.RaiseTerm());
          return;
        }
      }
    }
  }

  private boolean requiresRaise(Claim claim, double now) {
    Policy.LaunchFenceLimits limits = cluster.policy.launchFenceLimits();
    return isOverdue(claim, Math.min(limits.renewalS(), limits.grantS()), now)
        || (blocksStop(claim, now) && now - lastRaiseAt >= MIN_RAISE_INTERVAL_S);
  }

  private boolean blocksStop(Claim claim, double now) {
    return claim.phase == Claim.Phase.COMMITTED
        && claim.launchState == Claim.LaunchState.UNACKNOWLEDGED
        && (claim.job.cancelRequested || claim.stopRequested)
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
    raiseInFlight = false;
    if (newTerm > cluster.term) {
      cluster.term = newTerm;
      lastRaiseAt = now;
    }
  }

  /** True while a request for a new term is in flight; meanwhile no tasks are claimed. */
  boolean isRaiseInFlight() {
    return raiseInFlight;
  }
}
