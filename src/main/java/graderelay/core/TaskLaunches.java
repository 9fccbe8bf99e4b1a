package graderelay.core;

import java.util.Comparator;

/** Launches attempts straight on their workers as soon as their claims have committed. */
final class TaskLaunches {
  private final ClusterState cluster;
  private final StoredRecords records;
  private final DirectCommandRate rate;

  TaskLaunches(ClusterState cluster, StoredRecords records, DirectCommandRate rate) {
    this.cluster = cluster;
    this.records = records;
    this.rate = rate;
  }

  /** True if the attempt may be started: a committed claim of this session and no stop request. */
  static boolean mayLaunch(Machine machine, Claim claim) {
    return claim.phase == Claim.Phase.COMMITTED
        && !claim.fromEarlierLeader
        && claim.session == machine.session
        && !claim.job.cancelRequested
        && !claim.stopRequested
        && !machine.scalingIn;
  }

  /**
   * Launches what has committed since the last call, and ends claims that can't start any more.
   * What is not sent now goes with the response to the machine's next heartbeat.
   */
  void launchCommitted(double now) {
    DirectCommandBatch batch = new DirectCommandBatch(cluster, rate);
    // Services first, should there be too many for now: users wait for them most.
    records.committedClaims.sort(Comparator.comparing(c -> !c.job.spec.isService()));
    for (Claim claim : records.committedClaims) {
      Machine machine = cluster.machines.get(claim.machine);
      if (claim.phase != Claim.Phase.COMMITTED
          || machine == null
          || machine.claims.get(claim.taskId()) != claim) {
        continue;
      }
      if (isObsolete(machine, claim)) {
        records.end(claim, false, now);
        continue;
      }
      if (isReachable(machine, now)
          && mayLaunch(machine, claim)
          && claim.launch == Claim.Launch.NONE
          && batch.mayAdd(machine, now, reserve(claim))) {
        launch(machine, claim, batch, now);
      }
    }
    records.committedClaims.clear();
    batch.send();
  }

  /** True if the claim is not to be started any more. */
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

  private static double reserve(Claim claim) {
    return claim.job.spec.isService()
        ? DirectCommandRate.NO_RESERVE
        : DirectCommandRate.RESERVE_FOR_SERVICES;
  }

  private void launch(Machine machine, Claim claim, DirectCommandBatch batch, double now) {
    cluster.log(
        "start "
            + claim.taskId()
            + " attempt "
            + claim.attempt
            + " on "
            + machine.name
            + " with term "
            + cluster.term
            + (machine.hasImage(claim.job.spec.image()) ? "" : ", image to be fetched"));
    cluster.actions.add(new Action.MetricEvent("started", now - claim.job.waitingSince));
    claim.launch = Claim.Launch.DIRECT;
    claim.launchTerm = cluster.term;
    claim.launchedAt = now;
    batch.add(machine, new WorkerCommand.Launch(claim.taskId(), claim.attempt));
  }
}
