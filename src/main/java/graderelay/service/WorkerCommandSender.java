package graderelay.service;

import graderelay.core.Action;
import graderelay.core.CommandDeliveryOutcome;
import graderelay.core.Scheduler;
import graderelay.net.Loop;
import graderelay.state.Leadership;
import graderelay.worker.WorkerClient;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the scheduler core's commands directly to workers, and reports the outcomes to the core.
 */
final class WorkerCommandSender {
  private static final Logger LOG = LoggerFactory.getLogger("fleet");

  private final LeaderTerm leaderTerm;
  private final Scheduler core;
  private final Loop loop;
  private final Leadership leadership;
  private final WorkerClient workerClient;
  private final Metrics metrics;

  /** Creates the sender of one leader term, whose scheduler core must already exist. */
  WorkerCommandSender(LeaderTerm leaderTerm, LeaderServices services) {
    this.leaderTerm = leaderTerm;
    this.core = leaderTerm.core();
    this.loop = services.loop();
    this.leadership = services.leadership();
    this.workerClient = services.workerClient();
    this.metrics = services.metrics();
  }

  /**
   * Sends commands to one worker; sends nothing while this controller may not act as the leader.
   */
  void send(Action.SendCommands command) {
    if (!leadership.mayActAsLeader()) {
      core.onCommandDelivery(command, CommandDeliveryOutcome.NEVER_LEFT, null, loop.now());
      return;
    }
    LOG.debug("sending {}", command);
    workerClient.send(
        command,
        (outcome, heartbeat) ->
            leaderTerm.applyOutcome(
                now -> {
                  countOutcome(command, outcome);
                  core.onCommandDelivery(command, outcome, heartbeat, now);
                }));
  }

  private void countOutcome(Action.SendCommands command, CommandDeliveryOutcome outcome) {
    metrics.count("graderelay.orders", "outcome", outcome.name().toLowerCase(Locale.ROOT));
    if (outcome != CommandDeliveryOutcome.EXECUTED) {
      LOG.info("commands to {} had outcome {}: {}", command.machine(), outcome, command.commands());
    }
  }
}
