package graderelay.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Selects the worker commands for the response to a heartbeat: kills and reaps of the attempts that
 * the heartbeat lists, and launches of claimed attempts that it does not list.
 */
final class HeartbeatCommandSelector {
  private final ClusterState cluster;
  private final LaunchFencing launchFencing;

  HeartbeatCommandSelector(ClusterState cluster, LaunchFencing launchFencing) {
    this.cluster = cluster;
    this.launchFencing = launchFencing;
  }

  /**
   * Returns the response to a heartbeat. It has no commands if a newer heartbeat is known.
   *
   * @param heartbeat a heartbeat that was just handled
   */
  HeartbeatResponse respond(Heartbeat heartbeat, double now) {
    Machine machine = cluster.machines.get(heartbeat.machine());
    if (machine == null) {
      return new HeartbeatResponse(cluster.term, List.of());
    }
    launchFencing.fenceBeforeResponse(machine, now);
    return new HeartbeatResponse(machine.commandTerm, commandsFor(machine, heartbeat, now));
  }

  private List<WorkerCommand> commandsFor(Machine machine, Heartbeat heartbeat, double now) {
    List<WorkerCommand> commands = new ArrayList<>();
    if (machine.session != heartbeat.session() || machine.lastHeartbeatSeq != heartbeat.seq()) {
      return commands;
    }
    for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
      addForListed(machine, heartbeat, status, commands, now);
    }
    for (Claim claim : machine.claims.values()) {
      addLaunch(machine, claim, heartbeat, commands, now);
    }
    return commands;
  }

  /** Adds a kill or reap of an attempt that the heartbeat lists, if one is due. */
  private void addForListed(
      Machine machine,
      Heartbeat heartbeat,
      Heartbeat.TaskStatus status,
      List<WorkerCommand> commands,
      double now) {
    Claim claim = machine.claims.get(status.task());
    boolean exited = status.stage() == Heartbeat.Stage.EXITED;
    boolean matchesClaim =
        claim != null && claim.attempt == status.attempt() && claim.session == machine.session;
    if (matchesClaim) {
      WorkerCommand.Kill kill = exited ? null : TaskStopper.killFor(claim, now);
      if (kill != null) {
        commands.add(kill);
      }
    } else if (!exited) {
      reportUnclaimed(machine, heartbeat, AttemptKey.of(status), now);
      commands.add(new WorkerCommand.Kill(status.task(), status.attempt(), 0));
    } else if (machine.directLaunches.isFencedBy(machine.commandTerm, AttemptKey.of(status))) {
      commands.add(new WorkerCommand.Reap(status.task(), status.attempt()));
      cluster.endedAttempts.onReaped(machine, AttemptKey.of(status), now);
    }
  }

  /** Reports an attempt that runs without a claim, which no launch should have started. */
  private void reportUnclaimed(
      Machine machine, Heartbeat heartbeat, AttemptKey attempt, double now) {
    String warning = cluster.endedAttempts.describeUnclaimed(machine, attempt, heartbeat, now);
    if (warning != null) {
      cluster.warn(warning);
      cluster.actions.add(new Action.MetricEvent("unclaimed", -1));
    }
  }

  /** Adds a launch of the claimed attempt, unless one is in flight or already confirmed. */
  private void addLaunch(
      Machine machine, Claim claim, Heartbeat heartbeat, List<WorkerCommand> commands, double now) {
    boolean needsLaunch =
        claim.launchState == Claim.LaunchState.NONE
            || claim.launchState == Claim.LaunchState.UNACKNOWLEDGED;
    if (!needsLaunch || !TaskLauncher.mayLaunch(machine, claim)) {
      return;
    }
    commands.add(new WorkerCommand.Launch(claim.taskId(), claim.attempt));
    if (claim.launchState == Claim.LaunchState.NONE) {
      claim.launchState = Claim.LaunchState.IN_RESPONSE;
      claim.launchHeartbeatSeq = heartbeat.seq();
      claim.launchTerm = machine.commandTerm;
      claim.launchedAt = now;
    }
  }
}
