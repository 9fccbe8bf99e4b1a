package graderelay.net;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.HashMap;
import java.util.Map;

/** Reads the query of a path: what follows its question mark. */
public final class Query {
  private Query() {}

  /** The parameters, of each name the last; an empty query has none. */
  public static Map<String, String> parse(String query) {
    Map<String, String> last = new HashMap<>();
    new QueryStringDecoder(query, false)
        .parameters()
        .forEach((name, values) -> last.put(name, values.get(values.size() - 1)));
    return last;
  }
}
