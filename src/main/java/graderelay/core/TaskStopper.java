package graderelay.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Stops the attempts of cancelled jobs and on drained machines, and preempted attempts. Kills are
 * sent directly to the workers, and again in the responses to heartbeats. A claim that was never
 * launched ends at once.
 */
final class TaskStopper {
  /**
   * Minimum seconds between direct kills of one task; heartbeat responses repeat the kill as well.
   */
  private static final double KILL_REPEAT_INTERVAL_S = 3;

  /** Seconds added to the time that a task needs to save, for the delay to the worker. */
  private static final double SAVE_MARGIN_S = 2;

  private final ClusterState cluster;
  private final StoredRecords records;
  private final DirectCommandRateLimiter rateLimiter;

  TaskStopper(ClusterState cluster, StoredRecords records, DirectCommandRateLimiter rateLimiter) {
    this.cluster = cluster;
    this.records = records;
    this.rateLimiter = rateLimiter;
  }

  /** Returns the kill to send for the claim, or null if it must not stop or is still saving. */
  static WorkerCommand.Kill killFor(Claim claim, double now) {
    if (claim.job.cancelRequested) {
      return kill(claim, 0);
    }
    if (!claim.stopRequested) {
      return null;
    }
    JobSpec spec = claim.job.spec;
    if (claim.stopWithoutGrace || spec.checkpointS() <= 0) {
      return kill(claim, 0);
    }
    double graceS = spec.saveS() + SAVE_MARGIN_S;
    if (claim.stage == Heartbeat.Stage.SAVING) {
      return now - claim.stageSince > 2 * graceS ? kill(claim, 0) : null;
    }
    return kill(claim, graceS);
  }

  private static WorkerCommand.Kill kill(Claim claim, double graceS) {
    return new WorkerCommand.Kill(claim.taskId(), claim.attempt, graceS);
  }

  /** Stops all attempts of a cancelled job. */
  void stopCancelledJob(Job job, double now) {
    endNeverLaunched(new ArrayList<>(job.claims.values()), now);
    sendKills(job.claims.values(), now);
  }

  /** Stops all attempts on a machine, with time to save their progress (graceful eviction). */
  void drainMachine(Machine machine, double now) {
    for (Claim claim : new ArrayList<>(machine.claims.values())) {
      if (!claim.stopRequested && claim.phase != Claim.Phase.ENDING) {
        cluster.requestStop(claim, now);
      }
      if (claim.neverLaunched()) {
        records.endClaim(claim, false, now);
      }
    }
    sendKills(machine.claims.values(), now);
  }

  /** Stops all attempts with a stop request for a reason other than a cancellation. */
  void stopRequestedClaims(double now) {
    if (cluster.stoppingClaims.isEmpty()) {
      return;
    }
    List<Claim> stopping = new ArrayList<>();
    for (Claim claim : cluster.stoppingClaims) {
      if (claim.phase == Claim.Phase.COMMITTED && !claim.job.cancelRequested) {
        stopping.add(claim);
      }
    }
    endNeverLaunched(stopping, now);
    sendKills(stopping, now);
  }

  /** Sends the kills for the remaining attempts of cancelled jobs again. */
  void repeatCancellationKills(double now) {
    for (Job job : cluster.cancelledJobs) {
      sendKills(job.claims.values(), now);
    }
  }

  private void endNeverLaunched(List<Claim> claims, double now) {
    for (Claim claim : claims) {
      if (claim.neverLaunched()) {
        records.endClaim(claim, false, now);
      }
    }
  }

  /** Sends the kills that are due directly to the workers. */
  private void sendKills(Collection<Claim> claims, double now) {
    DirectCommandBatch batch = new DirectCommandBatch(cluster, rateLimiter);
    for (Claim claim : claims) {
      Machine machine = cluster.machines.get(claim.machine);
      if (machine == null || !canBeKilled(machine, claim, now)) {
        continue;
      }
      WorkerCommand.Kill kill = killFor(claim, now);
      if (kill != null
          && now - claim.lastKillAt > KILL_REPEAT_INTERVAL_S
          && batch.tryAcquireSlot(machine, now, DirectCommandRateLimiter.NO_RESERVE_SHARE)) {
        claim.lastKillAt = now;
        batch.add(machine, kill);
      }
    }
    batch.send();
  }

  private boolean canBeKilled(Machine machine, Claim claim, double now) {
    return claim.phase == Claim.Phase.COMMITTED
        && machine.address != null
        && claim.session == machine.session
        && claim.stage != Heartbeat.Stage.EXITED
        && !MachineAvailability.isSilent(cluster, machine, now);
  }
}
