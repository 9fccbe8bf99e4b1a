package graderelay.api;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.constants.Constants;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.wire.Json;
import java.util.Map;

/** Answers and list queries that the operators' handlers share. */
final class Replies {
  private Replies() {}

  /** Answers {@code status} with {@code n} as JSON. */
  static void json(Exchange e, int status, JsonNode n) {
    e.to().accept(Answer.json(status, Json.write(n)));
  }

  /**
   * How many entries of a list are asked for by the query's {@code most}, at most {@link
   * Constants#MOST_LISTED}; -1 if that is no number of at least 1.
   */
  static int most(Map<String, String> query) {
    try {
      int n = Integer.parseInt(query.getOrDefault("most", "" + Constants.MOST_LISTED));
      return n < 1 ? -1 : Math.min(n, Constants.MOST_LISTED);
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /** True if the query does not filter by {@code name}, or asks for {@code value}. */
  static boolean asked(Map<String, String> query, String name, String value) {
    return !query.containsKey(name) || query.get(name).equals(value);
  }
}
