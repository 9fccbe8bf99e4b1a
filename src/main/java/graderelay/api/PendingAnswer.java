package graderelay.api;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.net.Loop;
import graderelay.state.StateClient;
import graderelay.wire.Json;
import java.util.function.Consumer;

/**
 * A user's request that is answered exactly once: by the first answer given, or with 503 when its
 * deadline passes first.
 */
final class PendingAnswer {
  private final Loop loop;
  private final Consumer<Answer> to;
  private final double sinceS;
  private final Loop.Timer deadline;
  private boolean answered;

  /** Starts the deadline of {@code seconds} on the loop's clock. */
  PendingAnswer(Loop loop, Exchange e, double seconds) {
    this.loop = loop;
    this.sinceS = loop.now();
    this.to = e.to();
    this.deadline = loop.after(seconds, () -> unavailable("the state service did not answer"));
  }

  /** The loop's time, in seconds, at which the request came. */
  double sinceS() {
    return sinceS;
  }

  void answer(int status, JsonNode body) {
    send(Answer.json(status, Json.write(body)));
  }

  /** Answers 503 with Retry-After: the request may succeed later. */
  void unavailable(String why) {
    send(Answer.later(503, Json.error(why)));
  }

  private void send(Answer a) {
    if (!answered) {
      answered = true;
      deadline.cancel();
      to.accept(a);
    }
  }

  /** Runs {@code r} again after a moment, unless the request has been answered by then. */
  void retry(Runnable r) {
    loop.after(
        StateClient.STATE_RETRY_S / 2,
        () -> {
          if (!answered) {
            r.run();
          }
        });
  }
}
