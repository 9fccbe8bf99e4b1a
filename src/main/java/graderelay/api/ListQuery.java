package graderelay.api;

import graderelay.net.Query;
import java.util.Map;
import java.util.Optional;

/**
 * The query of an operators' listing: at most {@code most} entries whose names come after {@code
 * after}, filtered by the other parameters of the query.
 *
 * @param limit at least 1 and at most {@link #MOST_LISTED}
 * @param after the name after which the page begins; empty for the first page
 * @param parameters all parameters of the query, by name
 */
record ListQuery(int limit, String after, Map<String, String> parameters) {
  /**
   * Entries in one answer of the administration API, a batch: some 150 bytes each, on a line of 64
   * KiB. Tools ask for page after page.
   */
  static final int MAX_ENTRIES = 250;

  /** The query, or empty if {@code most} is given and is no number of at least 1. */
  static Optional<ListQuery> parse(String rawQuery) {
    Map<String, String> parameters = Query.parse(rawQuery);
    int limit;
    try {
      limit = Integer.parseInt(parameters.getOrDefault("most", "" + MAX_ENTRIES));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
    if (limit < 1) {
      return Optional.empty();
    }
    String after = parameters.getOrDefault("after", "");
    return Optional.of(new ListQuery(Math.min(limit, MAX_ENTRIES), after, parameters));
  }

  /** True if the query does not filter by {@code name}, or asks for {@code value}. */
  boolean matches(String name, String value) {
    return !parameters.containsKey(name) || parameters.get(name).equals(value);
  }
}
