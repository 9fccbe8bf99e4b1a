package graderelay.state;

import java.util.HashMap;
import java.util.Map;

/** Counts calls to the key-value store by kind of call and response status, for metrics. */
final class StoreCallCounters {
  private final Map<String, Long> counts = new HashMap<>();

  /** Counts a finished call; status 0 means that there was no response. */
  void count(String path, int status) {
    String kind = path.startsWith("/store") ? "read" : path.split("[/?]", 3)[1];
    counts.merge(kind + " " + (status == 0 ? "none" : status), 1L, Long::sum);
  }

  /** The number of calls by "KIND STATUS". */
  Map<String, Long> counts() {
    return counts;
  }
}
