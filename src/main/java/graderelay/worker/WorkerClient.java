package graderelay.worker;

import graderelay.core.Action;
import graderelay.core.CommandDelivery;
import graderelay.core.Heartbeat;
import graderelay.net.Reply;
import graderelay.net.Transport;
import graderelay.wire.Json;
import graderelay.wire.WorkerCodec;

/** Sends orders straight to workers: for speed, since reports' responses carry them as well. */
public final class WorkerClient {
  /** Seconds to wait for a worker's answer to direct orders. */
  private static final double WORKER_TIMEOUT_S = 2.0;

  /** Hears how orders ended. */
  public interface Done {
    void done(CommandDelivery how, Heartbeat report);
  }

  private final Transport transport;

  public WorkerClient(Transport transport) {
    this.transport = transport;
  }

  public void send(Action.SendCommands c, Done done) {
    byte[] body = Json.write(WorkerCodec.encodeCommands(c.term(), c.session(), c.commands()));
    transport.call(
        c.address(),
        "POST",
        "/commands",
        body,
        WORKER_TIMEOUT_S,
        r -> done.done(how(r), report(r)));
  }

  private static CommandDelivery how(Reply r) {
    return switch (r.status()) {
      case 200 -> CommandDelivery.EXECUTED;
      case 409, 400 -> CommandDelivery.REFUSED;
      case 0 -> r.sent() ? CommandDelivery.UNKNOWN : CommandDelivery.NEVER_LEFT;
      default -> CommandDelivery.UNKNOWN;
    };
  }

  private static Heartbeat report(Reply r) {
    boolean has = r.status() == 200 || r.status() == 409;
    return has ? WorkerCodec.decodeHeartbeat(Json.read(r.body())) : null;
  }
}
