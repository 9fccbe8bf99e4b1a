package graderelay.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Commands that are sent straight to workers together: one message for each machine. */
final class DirectCommandBatch {
  private final ClusterState cluster;
  private final DirectCommandRate rate;
  private final Map<Machine, List<WorkerCommand>> byMachine = new LinkedHashMap<>();

  DirectCommandBatch(ClusterState cluster, DirectCommandRate rate) {
    this.cluster = cluster;
    this.rate = rate;
  }

  /**
   * True if one more command may go to the machine: its message has room, and there is one already
   * or the rate allows one more. A body may have 64 KiB: what goes beyond that follows with the
   * heartbeats' responses.
   */
  boolean mayAdd(Machine machine, double now, double reserve) {
    List<WorkerCommand> commands = byMachine.get(machine);
    if (commands == null) {
      return rate.tryAcquire(now, reserve);
    }
    return commands.size() < SchedulerLimits.MAX_COMMANDS_PER_MESSAGE;
  }

  /** Adds a command for the machine, after {@link #mayAdd} said that it may be. */
  void add(Machine machine, WorkerCommand command) {
    byMachine.computeIfAbsent(machine, m -> new ArrayList<>()).add(command);
  }

  /** Sends the commands of each machine. */
  void send() {
    byMachine.forEach(
        (machine, commands) ->
            cluster.actions.add(
                new Action.SendCommands(
                    machine.name, machine.address, machine.session, cluster.term, commands)));
  }
}
