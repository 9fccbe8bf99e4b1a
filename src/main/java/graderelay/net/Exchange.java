package graderelay.net;

import java.util.function.Consumer;

/**
 * A received HTTP request and the callback for its response.
 *
 * @param method the HTTP method
 * @param path the path without the query string
 * @param query the query string after the question mark, still encoded; empty if there is none
 * @param body the request body; empty if there is none
 * @param forwarded true if another controller has forwarded the request; it is then not forwarded
 *     again
 * @param responder receives the response; all responses after the first are ignored
 */
public record Exchange(
    String method,
    String path,
    String query,
    byte[] body,
    boolean forwarded,
    Consumer<Response> responder) {
  /** Value of the Retry-After header, in seconds. */
  private static final int RETRY_AFTER_S = 1;

  /** Creates an exchange for a request that no controller has forwarded. */
  public Exchange(
      String method, String path, String query, byte[] body, Consumer<Response> responder) {
    this(method, path, query, body, false, responder);
  }

  /** Returns the same request with another callback for the response. */
  public Exchange withResponder(Consumer<Response> newResponder) {
    return new Exchange(method, path, query, body, forwarded, newResponder);
  }

  /**
   * An HTTP response.
   *
   * @param status the HTTP status
   * @param contentType the content type of the body
   * @param retryAfterS value of the Retry-After header in seconds, or 0 to omit the header
   * @param closeConnection true if the connection is closed after the response
   */
  public record Response(
      int status, byte[] body, String contentType, int retryAfterS, boolean closeConnection) {
    /** Returns a response with a JSON body. */
    public static Response json(int status, byte[] body) {
      return new Response(status, body, "application/json", 0, false);
    }

    /**
     * Returns a response with a JSON body and a Retry-After header, for requests that may succeed
     * later.
     */
    public static Response unavailable(int status, byte[] body) {
      return new Response(status, body, "application/json", RETRY_AFTER_S, false);
    }
  }

  /** Handles received requests. */
  @FunctionalInterface
  public interface Handler {
    /** Handles a request on the event loop; the response may be sent later. */
    void handle(Exchange exchange);
  }
}
