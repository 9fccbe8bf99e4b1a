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

/** Sends the core's commands straight to workers, and tells the core what became of them. */
final class WorkerCommandSender {
  private static final Logger LOG = LoggerFactory.getLogger("fleet");

  private final LeaderTerm term;
  private final Scheduler core;
  private final Loop loop;
  private final Leadership leadership;
  private final WorkerClient workers;
  private final Metrics metrics;

  /** Makes the sender of one term, whose core exists already. */
  WorkerCommandSender(LeaderTerm term, LeaderServices services) {
    this.term = term;
    this.core = term.core();
    this.loop = services.loop();
    this.leadership = services.leadership();
    this.workers = services.workers();
    this.metrics = services.metrics();
  }

  /** Sends commands to one worker, or nothing while this controller's session lease is over. */
  void send(Action.SendCommands command) {
    if (!leadership.mayActAsLeader()) {
      core.onCommandDelivery(command, CommandDeliveryOutcome.NEVER_LEFT, null, loop.now());
      return;
    }
    LOG.debug("to {}: {}", command.machine(), command.commands());
    workers.send(
        command,
        (sent, heartbeat) ->
            term.takeOutcome(
                now -> {
                  countOutcome(command, sent);
                  core.onCommandDelivery(command, sent, heartbeat, now);
                }));
  }

  private void countOutcome(Action.SendCommands command, CommandDeliveryOutcome sent) {
    metrics.count("graderelay.orders", "outcome", sent.name().toLowerCase(Locale.ROOT));
    if (sent != CommandDeliveryOutcome.EXECUTED) {
      LOG.info("commands to {} ended {}: {}", command.machine(), sent, command.commands());
    }
  }
}
