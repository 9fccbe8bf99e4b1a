package graderelay.net;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.HashMap;
import java.util.Map;

/** Parses the query string of a request. */
public final class QueryString {
  private QueryString() {}

  /** Returns the decoded parameters; of several with the same name, the last one counts. */
  public static Map<String, String> parse(String query) {
    Map<String, String> lastValues = new HashMap<>();
    new QueryStringDecoder(query, false)
        .parameters()
        .forEach((name, values) -> lastValues.put(name, values.get(values.size() - 1)));
    return lastValues;
  }
}
