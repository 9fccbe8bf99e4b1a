package graderelay.api;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
import graderelay.net.Loop;
import graderelay.state.StateClient;
import graderelay.wire.Json;
import java.util.function.Consumer;

/**
 * A user's request that is answered exactly once: by the first answer given, or with 503 when its
 * deadline passes first. Used on the event loop only.
 */
final class PendingAnswer {
  private static final ApiError TIMED_OUT =
      ApiError.unavailable("the state service did not answer");

  private final Loop loop;
  private final Consumer<Response> to;
  private final double sinceS;
  private final Loop.Timer deadline;
  private boolean answered;

  /** Starts the deadline of {@code seconds} on the loop's clock. */
  PendingAnswer(Loop loop, Exchange exchange, double seconds) {
    this.loop = loop;
    this.sinceS = loop.now();
    this.to = exchange.responder();
    this.deadline = loop.schedule(seconds, () -> fail(TIMED_OUT));
  }

  /** The loop's time, in seconds, at which the request came. */
  double sinceS() {
    return sinceS;
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

  /** Runs {@code step} again after a moment, unless the request has been answered by then. */
  void retry(Runnable step) {
    loop.schedule(
        StateClient.RETRY_DELAY_S / 2,
        () -> {
          if (!answered) {
            step.run();
          }
        });
  }
}
