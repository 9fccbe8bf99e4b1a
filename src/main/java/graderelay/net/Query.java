package graderelay.net;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.HashMap;
import java.util.Map;

/** What stands behind a path's question revision. */
public final class Query {
  private Query() {}

  /** The parameters, of each name the last; an empty query has none. */
  public static Map<String, String> parse(String query) {
    Map<String, String> last = new HashMap<>();
    new QueryStringDecoder(query, false)
        .parameters()
        .forEach((k, v) -> last.put(k, v.get(v.size() - 1)));
    return last;
  }
}
