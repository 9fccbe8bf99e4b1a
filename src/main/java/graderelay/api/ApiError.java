package graderelay.api;

import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
import graderelay.wire.Json;

/**
 * An error that a user or an operator is answered with: the JSON body {@code {"error": message}}.
 *
 * @param status the HTTP status
 * @param message what was wrong, for people
 * @param retryable true if the same request may succeed later: the answer carries Retry-After
 */
public record ApiError(int status, String message, boolean retryable) {
  /** No interface has this path. */
  public static final ApiError NO_SUCH_PATH = notFound("no such path");

  /** The path exists, but not for this HTTP method. */
  public static final ApiError METHOD_NOT_ALLOWED = new ApiError(405, "method not allowed", false);

  /** Nobody ever submitted a job of this id. */
  static final ApiError NO_SUCH_JOB = notFound("no such job");

  /** The key-value store does not answer this controller. */
  static final ApiError STORE_UNREACHABLE = unavailable("the state service can't be reached");

  /** 400: the request has to be changed. */
  static ApiError badRequest(String message) {
    return new ApiError(400, message, false);
  }

  /** 404: what the path names does not exist. */
  static ApiError notFound(String message) {
    return new ApiError(404, message, false);
  }

  /** 409: the request contradicts what is stored. */
  static ApiError conflict(String message) {
    return new ApiError(409, message, false);
  }

  /** 422: a well-formed submission of a job that can never run. */
  static ApiError unprocessable(String message) {
    return new ApiError(422, message, false);
  }

  /** 429 with Retry-After: too many requests of this kind are under way. */
  static ApiError tooManyRequests(String message) {
    return new ApiError(429, message, true);
  }

  /** 503 with Retry-After: nothing can be decided now. */
  public static ApiError unavailable(String message) {
    return new ApiError(503, message, true);
  }

  /** The answer that tells of this error. */
  Response toAnswer() {
    byte[] body = Json.errorBody(message);
    return retryable ? Response.unavailable(status, body) : Response.json(status, body);
  }

  /** Answers a request with this error. */
  public void sendTo(Exchange exchange) {
    exchange.responder().accept(toAnswer());
  }
}
