package graderelay.api;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
import graderelay.net.Loop;
import graderelay.state.StateClient;
import graderelay.wire.Json;
import java.util.function.Consumer;

/**
 * Answers a user's request exactly once: with the first answer given, or with 503 once the deadline
 * has passed. Used on the event loop only.
 */
final class PendingAnswer {
  private static final ApiError TIMED_OUT =
      ApiError.unavailable("the state service did not answer");

  private final Loop loop;
  private final Consumer<Response> to;
  private final double receivedAtS;
  private final Loop.Timer deadline;
  private boolean answered;

  /** Starts the deadline, {@code deadlineS} seconds from now. */
  PendingAnswer(Loop loop, Exchange exchange, double deadlineS) {
    this.loop = loop;
    this.receivedAtS = loop.now();
    this.to = exchange.responder();
    this.deadline = loop.schedule(deadlineS, () -> fail(TIMED_OUT));
  }

  /** The event loop's time, in seconds, at which the request was received. */
  double receivedAtS() {
    return receivedAtS;
  }

  /** Answers {@code status} with {@code body} as JSON. */
  void answer(int status, JsonNode body) {
    send(Response.json(status, Json.write(body)));
  }

  /** Answers with an error. */
  void fail(ApiError error) {
    send(error.toAnswer());
  }

  private void send(Response answer) {
    if (!answered) {
      answered = true;
      deadline.cancel();
      to.accept(answer);
    }
  }

  /** Runs {@code action} after a short delay, unless the request has been answered by then. */
  void retry(Runnable action) {
    loop.schedule(
        StateClient.RETRY_DELAY_S / 2,
        () -> {
          if (!answered) {
            action.run();
          }
        });
  }
}
