package graderelay.api;

import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
import graderelay.wire.Json;

/**
 * An error response to a user or an operator, with the JSON body {@code {"error": message}}.
 *
 * @param status the HTTP status
 * @param message a human-readable description
 * @param retryable true if the same request may succeed later; the response then has a Retry-After
 *     header
 */
public record ApiError(int status, String message, boolean retryable) {
  /** 404: no API has this path. */
  public static final ApiError NO_SUCH_PATH = notFound("no such path");

  /** 405: the path exists, but not for this HTTP method. */
  public static final ApiError METHOD_NOT_ALLOWED = new ApiError(405, "method not allowed", false);

  /** 404: no job with this id was ever accepted. */
  static final ApiError NO_SUCH_JOB = notFound("no such job");

  /** 503: this controller can't reach the key-value store. */
  static final ApiError STORE_UNREACHABLE = unavailable("the state service is unreachable");

  /** 400: the request is invalid and must not be retried unchanged. */
  static ApiError badRequest(String message) {
    return new ApiError(400, message, false);
  }

  /** 404: the path names something that does not exist. */
  static ApiError notFound(String message) {
    return new ApiError(404, message, false);
  }

  /** 409: the request conflicts with the stored records. */
  static ApiError conflict(String message) {
    return new ApiError(409, message, false);
  }

  /** 422: a well-formed submission of a job that can never run. */
  static ApiError unprocessable(String message) {
    return new ApiError(422, message, false);
  }

  /** 429 with Retry-After: too many requests of this kind are in flight. */
  static ApiError tooManyRequests(String message) {
    return new ApiError(429, message, true);
  }

  /** 503 with Retry-After: the request can't be handled at the moment. */
  public static ApiError unavailable(String message) {
    return new ApiError(503, message, true);
  }

  /** The HTTP answer for this error. */
  Response toAnswer() {
    byte[] body = Json.errorBody(message);
    return retryable ? Response.unavailable(status, body) : Response.json(status, body);
  }

  /** Answers a request with this error. */
  public void sendTo(Exchange exchange) {
    exchange.responder().accept(toAnswer());
  }
}
