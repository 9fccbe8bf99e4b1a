package graderelay.core;

import java.util.Comparator;

/** Launches attempts by direct commands to their workers as soon as their claims have committed. */
final class TaskLauncher {
  private final ClusterState cluster;
  private final StoredRecords records;
  private final DirectCommandRateLimiter rateLimiter;

  TaskLauncher(ClusterState cluster, StoredRecords records, DirectCommandRateLimiter rateLimiter) {
    this.cluster = cluster;
    this.records = records;
    this.rateLimiter = rateLimiter;
  }

  /** True if the claim is committed for the current session and no stop of it is requested. */
  static boolean mayLaunch(Machine machine, Claim claim) {
    return claim.phase == Claim.Phase.COMMITTED
        && !claim.fromEarlierLeader
        && claim.session == machine.session
        && !claim.job.cancelRequested
        && !claim.stopRequested
        && !machine.scalingIn;
  }

  /**
   * Launches the attempts whose claims have committed since the last call, and ends claims that
   * must not start any more. Launches that are not sent now go with the response to the machine's
   * next heartbeat.
   */
  void launchCommitted(double now) {
    DirectCommandBatch batch = new DirectCommandBatch(cluster, rateLimiter);
    // Services first, in case the rate does not suffice for all: users wait for them most.
    records.committedClaims.sort(Comparator.comparing(claim -> !claim.job.spec.isService()));
    for (Claim claim : records.committedClaims) {
      Machine machine = cluster.machines.get(claim.machine);
      if (claim.phase != Claim.Phase.COMMITTED
          || machine == null
          || machine.claims.get(claim.taskId()) != claim) {
        continue;
      }
      if (isObsolete(machine, claim)) {
        records.endClaim(claim, false, now);
        continue;
      }
      if (isReachable(machine, now)
          && mayLaunch(machine, claim)
          && claim.launchState == Claim.LaunchState.NONE
          && batch.tryAcquireSlot(machine, now, reserveShare(claim))) {
        launch(machine, claim, batch, now);
      }
    }
    records.committedClaims.clear();
    batch.send();
  }

  /** True if the claim's attempt must not be started any more. */
  private static boolean isObsolete(Machine machine, Claim claim) {
    return claim.session < machine.session
        || claim.job.cancelRequested
        || claim.stopRequested
        || machine.scalingIn
        || machine.failed;
  }

  private boolean isReachable(Machine machine, double now) {
    return machine.address != null
        && !MachineAvailability.isSilent(cluster, machine, now)
        && !machine.leaseExpired;
  }

  private static double reserveShare(Claim claim) {
    return claim.job.spec.isService()
        ? DirectCommandRateLimiter.NO_RESERVE_SHARE
        : DirectCommandRateLimiter.SERVICE_RESERVE_SHARE;
  }

  private void launch(Machine machine, Claim claim, DirectCommandBatch batch, double now) {
    batch.add(machine, new WorkerCommand.Launch(claim.taskId(), claim.attempt));
    cluster.log(
        "start "
            + claim.taskId()
            + " attempt "
            + claim.attempt
            + " on "
            + machine.name
            + " with term "
            + machine.commandTerm
            + ", session "
            + machine.session
            + (machine.hasImage(claim.job.spec.image()) ? "" : ", image to be fetched"));
    cluster.actions.add(new Action.MetricEvent("started", now - claim.job.waitingSince));
    claim.launchState = Claim.LaunchState.DIRECT;
    claim.launchTerm = machine.commandTerm;
    claim.launchedAt = now;
  }
}
