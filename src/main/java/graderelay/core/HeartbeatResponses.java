package graderelay.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Chooses the worker commands for the response to a heartbeat: kills and reaps of the attempts that
 * it shows, and launches of claims that it doesn't show.
 */
final class HeartbeatResponses {
  private final ClusterState cluster;

  HeartbeatResponses(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Commands for the response to the heartbeat that was just taken; none for a stale one. */
  List<WorkerCommand> commandsFor(Heartbeat heartbeat, double now) {
    List<WorkerCommand> commands = new ArrayList<>();
    Machine machine = cluster.machines.get(heartbeat.machine());
    if (machine == null
        || machine.session != heartbeat.session()
        || machine.lastHeartbeatSeq != heartbeat.seq()) {
      return commands;
    }
    for (Heartbeat.Entry entry : heartbeat.tasks()) {
      addForShown(machine, entry, commands, now);
    }
    for (Claim claim : machine.claims.values()) {
      addLaunch(machine, claim, heartbeat, commands, now);
    }
    return commands;
  }

  /** Kills or reaps an attempt that the heartbeat shows, if either is due. */
  private static void addForShown(
      Machine machine, Heartbeat.Entry entry, List<WorkerCommand> commands, double now) {
    Claim claim = machine.claims.get(entry.task());
    boolean exited = entry.stage() == Heartbeat.Stage.EXITED;
    boolean claimed =
        claim != null && claim.attempt == entry.attempt() && claim.session == machine.session;
    if (claimed) {
      WorkerCommand.Kill kill = exited ? null : TaskStops.killFor(claim, now);
      if (kill != null) {
        commands.add(kill);
      }
    } else if (!exited) {
      commands.add(new WorkerCommand.Kill(entry.task(), entry.attempt(), 0));
    } else if (!machine.unreapableAttempts.contains(AttemptKey.of(entry))) {
      commands.add(new WorkerCommand.Reap(entry.task(), entry.attempt()));
    }
  }

  /** Launches the claim's attempt, unless a launch is under way or it has been shown already. */
  private void addLaunch(
      Machine machine, Claim claim, Heartbeat heartbeat, List<WorkerCommand> commands, double now) {
    boolean undecided =
        claim.launch == Claim.Launch.NONE || claim.launch == Claim.Launch.UNACKNOWLEDGED;
    if (!undecided || !TaskLaunches.mayLaunch(machine, claim)) {
      return;
    }
    commands.add(new WorkerCommand.Launch(claim.taskId(), claim.attempt));
    if (claim.launch == Claim.Launch.NONE) {
      claim.launch = Claim.Launch.IN_RESPONSE;
      claim.launchHeartbeatSeq = heartbeat.seq();
      claim.launchTerm = cluster.term;
      claim.launchedAt = now;
    }
  }
}
