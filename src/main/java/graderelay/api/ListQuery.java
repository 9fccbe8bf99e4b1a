package graderelay.api;

import graderelay.net.QueryString;
import java.util.Map;
import java.util.Optional;

/**
 * The query of a paged list for operators: at most {@code limit} entries whose names come after
 * {@code after}, filtered by the other parameters.
 *
 * @param limit maximum number of entries (the parameter {@code most}), from 1 to {@link
 *     #MAX_ENTRIES}
 * @param after the name after which the page begins; empty for the first page
 * @param parameters all parameters of the query, by name
 */
record ListQuery(int limit, String after, Map<String, String> parameters) {
  /**
   * Maximum number of entries in an answer of the administration API. An entry has some 150 bytes,
   * and an answer has to fit into 64 KiB. Clients request one page after the other.
   */
  static final int MAX_ENTRIES = 250;

  /**
   * Parses a query; empty if the parameter {@code most} is given but is not an integer of at least
   * 1.
   */
  static Optional<ListQuery> parse(String rawQuery) {
    Map<String, String> parameters = QueryString.parse(rawQuery);
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

  /** True if the query has no filter {@code name}, or if that filter is {@code value}. */
  boolean matches(String name, String value) {
    return !parameters.containsKey(name) || parameters.get(name).equals(value);
  }
}
