package graderelay.net;

import java.util.function.Consumer;

/**
 * A request that came in, and the way to answer it once.
 *
 * @param method the HTTP method
 * @param path without the query
 * @param query what follows the question mark, still encoded; empty for none
 * @param body empty for none
 * @param relayed another controller has passed it on, so it is not passed on again
 * @param to takes the answer; only the first one counts
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
   * @param status the HTTP status
   * @param type the content type of the body
   * @param retryAfterS seconds for the Retry-After header, or 0 for none
   * @param close true if the connection is closed after the answer
   */
  public record Answer(int status, byte[] body, String type, int retryAfterS, boolean close) {
    /** An answer with a JSON body. */
    public static Answer json(int status, byte[] body) {
      return new Answer(status, body, "application/json", 0, false);
    }

    /** An answer with a JSON body and Retry-After: not now, and when to come back. */
    public static Answer later(int status, byte[] body) {
      return new Answer(status, body, "application/json", RETRY_AFTER_S, false);
    }
  }

  /** Takes requests in. */
  @FunctionalInterface
  public interface Handler {
    /** Answers a request, now or later, on the event loop. */
    void handle(Exchange exchange);
  }
}
