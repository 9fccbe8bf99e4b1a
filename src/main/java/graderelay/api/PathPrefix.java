package graderelay.api;

/**
 * The path prefix of all requests of one API.
 *
 * @param root the prefix, with a leading and without a trailing slash
 */
record PathPrefix(String root) {
  /** True if the path is the prefix itself or is under it. */
  boolean matches(String path) {
    return path.equals(root) || path.startsWith(root + "/");
  }

  /** The part of a matching path after the prefix and a slash; empty for the prefix itself. */
  String remainder(String path) {
    return path.length() <= root.length() ? "" : path.substring(root.length() + 1);
  }
}
