package graderelay.net;

import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;

/** A call of {@link HttpClient} that is to be finished once. Used on the event loop only. */
final class PendingCall {
  final String address;
  final String method;
  final String path;

  /** Null for none. */
  final byte[] body;

  private final Consumer<Reply> done;
  private ScheduledFuture<?> timeout;

  /** The connection that the request was written to, or null if it has not been sent yet. */
  private ClientConnection connection;

  private boolean finished;

  PendingCall(String address, String method, String path, byte[] body, Consumer<Reply> done) {
    this.address = address;
    this.method = method;
    this.path = path;
    this.body = body;
    this.done = done;
  }

  /** Takes the timer that will call {@link #giveUp}. */
  void timeout(ScheduledFuture<?> timer) {
    timeout = timer;
  }

  /** Notes the connection that the request is written to. */
  void sentOn(ClientConnection to) {
    connection = to;
  }

  boolean isFinished() {
    return finished;
  }

  /** Calls back with the reply, unless that has been done. */
  void finish(Reply reply) {
    if (!finished) {
      finished = true;
      timeout.cancel(false);
      done.accept(reply);
    }
  }

  /** Ends the call for its timeout: its answer, if one comes, is not waited for. */
  void giveUp() {
    boolean sent = connection != null;
    if (sent && !finished) {
      connection.abandonCall();
    }
    finish(sent ? Reply.lost() : Reply.neverSent());
  }
}
