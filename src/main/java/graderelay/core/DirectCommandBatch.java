package graderelay.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A batch of commands that are sent directly to workers, in one message for each machine. */
final class DirectCommandBatch {
  private final ClusterState cluster;
  private final DirectCommandRateLimiter rateLimiter;
  private final Map<Machine, List<WorkerCommand>> commandsByMachine = new LinkedHashMap<>();

  DirectCommandBatch(ClusterState cluster, DirectCommandRateLimiter rateLimiter) {
    this.cluster = cluster;
    this.rateLimiter = rateLimiter;
  }

  /**
   * Returns true if one more command may be added for the machine. The first command for a machine
   * takes a token from the rate limiter; after that the message takes commands up to its limit,
   * which keeps the body below 64 KiB. Commands that are not added go with heartbeat responses.
   */
  boolean tryAcquireSlot(Machine machine, double now, double reserveShare) {
    List<WorkerCommand> commands = commandsByMachine.get(machine);
    if (commands == null) {
      return rateLimiter.tryAcquire(now, reserveShare);
    }
    return commands.size() < SchedulerLimits.MAX_COMMANDS_PER_MESSAGE;
  }

  /**
   * Adds a command for the machine, which is sent under the term that the machine has from its
   * first one on; {@link #tryAcquireSlot} must have returned true for it.
   */
  void add(Machine machine, WorkerCommand command) {
    if (!commandsByMachine.containsKey(machine)) {
      LaunchFencing.fenceBlockedStop(machine, cluster.term);
      commandsByMachine.put(machine, new ArrayList<>());
    }
    if (command instanceof WorkerCommand.Launch) {
      machine.directLaunches.onSent(AttemptKey.of(command), machine.commandTerm);
    }
    commandsByMachine.get(machine).add(command);
  }

  /** Sends one message to each machine. */
  void send() {
    commandsByMachine.forEach(
        (machine, commands) ->
            cluster.actions.add(
                new Action.SendCommands(
                    machine.name,
                    machine.address,
                    machine.session,
                    machine.commandTerm,
                    commands)));
  }
}
