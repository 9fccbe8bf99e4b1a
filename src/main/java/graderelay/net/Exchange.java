package graderelay.net;

import java.util.function.Consumer;

/**
 * A request that came in, and the way to answer it once.
 *
 * @param relayed another controller has passed it on, so it is not passed on again
 */
public record Exchange(
    String method, String path, String query, byte[] body, boolean relayed, Consumer<Answer> to) {
  /** Seconds that a user is told to wait before the next try. */
  private static final int RETRY_AFTER_S = 1;

  /** A request that came from outside. */
  public Exchange(String method, String path, String query, byte[] body, Consumer<Answer> to) {
    this(method, path, query, body, false, to);
  }

  /** The same request, whose answer goes another way. */
  public Exchange answeredTo(Consumer<Answer> other) {
    return new Exchange(method, path, query, body, relayed, other);
  }

  /**
   * An answer to a request.
   *
   * @param retryAfterS seconds for the Retry-After header, or 0 for none
   */
  public record Answer(int status, byte[] body, String type, int retryAfterS, boolean close) {
    public static Answer json(int status, byte[] body) {
      return new Answer(status, body, "application/json", 0, false);
    }

    /** Not now: tells when to come back. */
    public static Answer later(int status, byte[] body) {
      return new Answer(status, body, "application/json", RETRY_AFTER_S, false);
    }
  }

  /** Takes requests in. */
  public interface Handler {
    void handle(Exchange e);
  }
}
