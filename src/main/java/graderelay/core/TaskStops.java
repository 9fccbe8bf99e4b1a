package graderelay.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Stops attempts: those of cancelled jobs, of drained machines, and preempted ones. Kills go
 * straight to the workers; the responses to heartbeats repeat them. A claim that was never launched
 * ends at once.
 */
final class TaskStops {
  /**
   * Seconds between repeated direct kills of one task; heartbeats' responses repeat them anyway.
   */
  private static final double KILL_AGAIN_S = 3;

  /** Seconds on top of the time a task needs to save, for the way to the worker. */
  private static final double SAVE_SLACK_S = 2;

  private final ClusterState cluster;
  private final StoredRecords records;
  private final DirectCommandRate rate;

  TaskStops(ClusterState cluster, StoredRecords records, DirectCommandRate rate) {
    this.cluster = cluster;
    this.records = records;
    this.rate = rate;
  }

  /** The kill that a claim's attempt is due, or null if it is not to be stopped, or is saving. */
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
    double grace = spec.saveS() + SAVE_SLACK_S;
    if (claim.stage == Heartbeat.Stage.SAVING) {
      return now - claim.stageSince > 2 * grace ? kill(claim, 0) : null;
    }
    return kill(claim, grace);
  }

  private static WorkerCommand.Kill kill(Claim claim, double graceS) {
    return new WorkerCommand.Kill(claim.taskId(), claim.attempt, graceS);
  }

  /** Stops all attempts of a cancelled job. */
  void cancelJob(Job job, double now) {
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
        records.end(claim, false, now);
      }
    }
    sendKills(machine.claims.values(), now);
  }

  /** Stops all attempts that were asked to stop for a reason other than a cancellation. */
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

  /** Kills what is left of cancelled jobs once more. */
  void repeatCancellations(double now) {
    for (Job job : cluster.cancelledJobs) {
      sendKills(job.claims.values(), now);
    }
  }

  private void endNeverLaunched(List<Claim> claims, double now) {
    for (Claim claim : claims) {
      if (claim.neverLaunched()) {
        records.end(claim, false, now);
      }
    }
  }

  /** Sends the kills that are due straight away. */
  private void sendKills(Collection<Claim> claims, double now) {
    DirectCommandBatch batch = new DirectCommandBatch(cluster, rate);
    for (Claim claim : claims) {
      Machine machine = cluster.machines.get(claim.machine);
      if (machine == null || !canBeKilled(machine, claim, now)) {
        continue;
      }
      WorkerCommand.Kill kill = killFor(claim, now);
      if (kill != null
          && now - claim.lastKillAt > KILL_AGAIN_S
          && batch.mayAdd(machine, now, DirectCommandRate.NO_RESERVE)) {
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
