package graderelay.sim;

import graderelay.net.Exchange;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** The simulated store's own reading of queries, apart from the code that it helps to test. */
final class StoreQuery {
  private StoreQuery() {}

  /** Returns the query's parameters by name; one without a value has an empty one. */
  static Map<String, String> parameters(Exchange exchange) {
    Map<String, String> parameters = new HashMap<>();
    for (String part : exchange.query().split("&")) {
      String[] nameAndValue = part.split("=", 2);
      String value =
          nameAndValue.length > 1 ? URLDecoder.decode(nameAndValue[1], StandardCharsets.UTF_8) : "";
      parameters.put(nameAndValue[0], value);
    }
    return parameters;
  }
}
