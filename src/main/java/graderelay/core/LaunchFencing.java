package graderelay.core;

import java.util.Locale;

/**
 * Fences unacknowledged launches that block the stop of an attempt. The leader raises its term;
 * workers that have seen the new term refuse a launch with the old one, however late it arrives.
 */
final class LaunchFencing {
  /** Seconds that an unacknowledged launch may block a stop before the term is raised. */
  private static final double MAX_BLOCKED_STOP_S = 5;

  /** Minimum seconds between raises: workers accept a higher term at most twice per lease. */
  private static final double MIN_RAISE_INTERVAL_S = 8;

  private final ClusterState cluster;
  private double lastRaiseAt = Double.NEGATIVE_INFINITY;
  private boolean raiseInFlight;

  LaunchFencing(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Requests a new term if an unacknowledged launch has blocked a stop for too long. */
  void raiseTermIfBlocked(double now) {
    if (raiseInFlight || now - lastRaiseAt < MIN_RAISE_INTERVAL_S) {
      return;
    }
    for (Machine machine : cluster.machines.values()) {
      for (Claim claim : machine.claims.values()) {
        if (blocksStop(claim, now)) {
          raiseInFlight = true;
          lastRaiseAt = now;
          cluster.log(describeBlockedStop(machine, claim, now));
          cluster.actions.add(new Action.RaiseTerm());
          return;
        }
      }
    }
  }

  private boolean blocksStop(Claim claim, double now) {
    return claim.phase == Claim.Phase.COMMITTED
        && claim.launchState == Claim.LaunchState.UNACKNOWLEDGED
        && (claim.job.cancelRequested || claim.stopRequested)
        && now - claim.launchedAt > MAX_BLOCKED_STOP_S
        && claim.launchTerm == cluster.term;
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
