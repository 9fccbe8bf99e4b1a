package graderelay.worker;

import graderelay.core.Action;
import graderelay.core.CommandDeliveryOutcome;
import graderelay.core.Heartbeat;
import graderelay.net.Reply;
import graderelay.net.Transport;
import graderelay.wire.Json;
import graderelay.wire.WorkerCodec;

/**
 * Sends commands straight to workers: for speed, since answers to heartbeats carry them as well.
 * Runs on the event loop.
 */
public final class WorkerClient {
  /** Seconds to wait for a worker's answer to direct commands. */
  private static final double COMMAND_TIMEOUT_S = 2.0;

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int CONFLICT = 409;

  /** Hears how commands ended. */
  @FunctionalInterface
  public interface DeliveryCallback {
    /**
     * Called once for each call of {@link WorkerClient#send}.
     *
     * @param how what became of the commands
     * @param heartbeat the worker's status in its answer, or null if there was none
     */
    void onDelivery(CommandDeliveryOutcome outcome, Heartbeat heartbeat);
  }

  private final Transport transport;

  /** Makes a client that sends by {@code transport}. */
  public WorkerClient(Transport transport) {
    this.transport = transport;
  }

  /** Sends the commands of one action to its worker, and calls back with the outcome. */
  public void send(Action.SendCommands command, DeliveryCallback callback) {
    byte[] body =
        Json.write(
            WorkerCodec.encodeCommands(command.term(), command.session(), command.commands()));
    transport.call(
        command.address(),
        "POST",
        "/commands",
        body,
        COMMAND_TIMEOUT_S,
        reply -> callback.onDelivery(deliveryOutcome(reply), decodeHeartbeat(reply)));
  }

  private static CommandDeliveryOutcome deliveryOutcome(Reply reply) {
    return switch (reply.status()) {
      case OK -> CommandDeliveryOutcome.EXECUTED;
      case CONFLICT, BAD_REQUEST -> CommandDeliveryOutcome.REFUSED;
      case Reply.NO_ANSWER ->
          reply.sent() ? CommandDeliveryOutcome.UNKNOWN : CommandDeliveryOutcome.NEVER_LEFT;
      default -> CommandDeliveryOutcome.UNKNOWN;
    };
  }

  private static Heartbeat decodeHeartbeat(Reply reply) {
    boolean hasStatus = reply.ok() || reply.status() == CONFLICT;
    return hasStatus ? WorkerCodec.decodeHeartbeat(Json.read(reply.body())) : null;
  }
}
