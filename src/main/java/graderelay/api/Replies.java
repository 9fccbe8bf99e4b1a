package graderelay.api;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.wire.Json;

/** Answers that the operators' handlers share. */
final class Replies {
  private Replies() {}

  /** Answers {@code status} with {@code n} as JSON. */
  static void json(Exchange e, int status, JsonNode n) {
    e.to().accept(Answer.json(status, Json.write(n)));
  }

  /** Refuses a listing whose {@code most} is no number of at least 1. */
  static void badListQuery(Exchange e) {
    UserApi.refuse(e, 400, "most must be a number of at least 1");
  }
}
