package graderelay.api;

/**
 * The part of a path that all requests of one interface begin with.
 *
 * @param root the prefix, which begins with a slash and does not end with one
 */
record PathPrefix(String root) {
  /** True if the path is the prefix itself or below it. */
  boolean matches(String path) {
    return path.equals(root) || path.startsWith(root + "/");
  }

  /** What follows the prefix and a slash in a path that it covers; empty for the prefix itself. */
  String remainder(String path) {
    return path.length() <= root.length() ? "" : path.substring(root.length() + 1);
  }
}
