package graderelay.core;

/**
 * Fences unacknowledged launches that stand in the way of a stop. The leader raises its term;
 * workers that have seen the new one refuse a launch of the old one, however late it arrives.
 */
final class LaunchFencing {
  /** Seconds that an unacknowledged launch may block a stop before the term is raised. */
  private static final double UNACKNOWLEDGED_S = 5;

  /** Seconds between raises of the term: workers take a higher one at most twice a lease. */
  private static final double RAISE_PAUSE_S = 8;

  private final ClusterState cluster;
  private double lastRaiseAt = Double.NEGATIVE_INFINITY;
  private boolean raising;

  LaunchFencing(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Asks for a new term if an unacknowledged launch has blocked a stop for too long. */
  void raiseTermIfBlocked(double now) {
    if (raising || now - lastRaiseAt < RAISE_PAUSE_S) {
      return;
    }
    for (Machine machine : cluster.machines.values()) {
      for (Claim claim : machine.claims.values()) {
        if (blocksStop(claim, now)) {
          raising = true;
          lastRaiseAt = now;
          cluster.log("raising the term: a launch of " + claim.taskId() + " is of unknown fate");
          cluster.actions.add(new Action.RaiseTerm());
          return;
        }
      }
    }
  }

  private boolean blocksStop(Claim claim, double now) {
    return claim.phase == Claim.Phase.COMMITTED
        && claim.launch == Claim.Launch.UNACKNOWLEDGED
        && (claim.job.cancelRequested || claim.stopRequested)
        && now - claim.launchedAt > UNACKNOWLEDGED_S
        && claim.launchTerm == cluster.term;
  }

  /** The term was raised to {@code newTerm}, or could not be if that is no higher than ours. */
  void onTerm(long newTerm, double now) {
    raising = false;
    if (newTerm > cluster.term) {
      cluster.term = newTerm;
      lastRaiseAt = now;
    }
  }

  /** True while a new term is asked for, in which nothing is claimed. */
  boolean isRaising() {
    return raising;
  }
}
