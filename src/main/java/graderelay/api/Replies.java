package graderelay.api;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
import graderelay.wire.Json;

/** Helpers for answers, shared by the handlers of operators' requests. */
final class Replies {
  /** 400: the parameter {@code most} of a list query is not an integer of at least 1. */
  static final ApiError BAD_LIST_QUERY = ApiError.badRequest("most must be a number of at least 1");

  private Replies() {}

  /** Answers {@code status} with {@code body} as JSON. */
  static void json(Exchange exchange, int status, JsonNode body) {
    exchange.responder().accept(Response.json(status, Json.write(body)));
  }

  /** Answers 200 with the JSON body {@code {"message": message}}. */
  static void message(Exchange exchange, String message) {
    json(exchange, 200, Json.object().put("message", message));
  }
}
