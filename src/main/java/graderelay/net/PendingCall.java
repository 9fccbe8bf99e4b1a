package graderelay.net;

import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;

/**
 * A call of {@link HttpClient} in progress, which is completed exactly once. Confined to the event
 * loop.
 */
final class PendingCall {
  final String address;
  final String method;
  final String path;

  /** The request body, or null if there is none. */
  final byte[] body;

  private final Consumer<Reply> onReply;
  private ScheduledFuture<?> timeoutTimer;

  /** The connection that the request was written to, or null if it has not been sent yet. */
  private ClientConnection connection;

  private boolean finished;

  PendingCall(String address, String method, String path, byte[] body, Consumer<Reply> onReply) {
    this.address = address;
    this.method = method;
    this.path = path;
    this.body = body;
    this.onReply = onReply;
  }

  /** Sets the timer that will call {@link #onTimeout}. */
  void timeoutTimer(ScheduledFuture<?> timer) {
    timeoutTimer = timer;
  }

  /** Records the connection that the request is written to. */
  void onSent(ClientConnection usedConnection) {
    connection = usedConnection;
  }

  boolean isFinished() {
    return finished;
  }

  /** Completes the call with a reply, unless it has been completed already. */
  void finish(Reply reply) {
    if (!finished) {
      finished = true;
      timeoutTimer.cancel(false);
      onReply.accept(reply);
    }
  }

  /** Completes the call without a response; a response that arrives later is discarded. */
  void onTimeout() {
    boolean sent = connection != null;
    if (sent && !finished) {
      connection.abandonCall();
    }
    finish(sent ? Reply.noResponse() : Reply.notSent());
  }
}
