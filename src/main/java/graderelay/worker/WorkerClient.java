package graderelay.worker;

import graderelay.core.Action;
import graderelay.core.CommandDeliveryOutcome;
import graderelay.core.Heartbeat;
import graderelay.net.Reply;
import graderelay.net.Transport;
import graderelay.wire.Json;
import graderelay.wire.WorkerCodec;

/**
 * Sends commands directly to workers. This only reduces latency, since responses to heartbeats
 * carry the commands as well. Runs on the event loop.
 */
public final class WorkerClient {
  /** Seconds to wait for a worker's response to direct commands. */
  private static final double COMMAND_TIMEOUT_S = 2.0;

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int CONFLICT = 409;

  /** Receives the outcome of a delivery. */
  @FunctionalInterface
  public interface DeliveryCallback {
    /**
     * Called once for each call of {@link WorkerClient#send}.
     *
     * @param outcome the outcome of the delivery
     * @param heartbeat the worker's status in its response, or null if there was none
     */
    void onDelivery(CommandDeliveryOutcome outcome, Heartbeat heartbeat);
  }

  private final Transport transport;

  /** Creates a client that sends through {@code transport}. */
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
      case Reply.NO_RESPONSE ->
          reply.sent() ? CommandDeliveryOutcome.UNKNOWN : CommandDeliveryOutcome.NEVER_LEFT;
      default -> CommandDeliveryOutcome.UNKNOWN;
    };
  }

  private static Heartbeat decodeHeartbeat(Reply reply) {
    boolean hasHeartbeat = reply.isOk() || reply.status() == CONFLICT;
    return hasHeartbeat ? WorkerCodec.decodeHeartbeat(Json.read(reply.body())) : null;
  }
}
