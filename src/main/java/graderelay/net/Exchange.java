package graderelay.net;

import graderelay.constants.Constants;
import java.util.function.Consumer;

/** A request that came in, and the way to answer it once. */
public record Exchange(String method, String path, String query, byte[] body, Consumer<Answer> to) {

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
      return new Answer(status, body, "application/json", Constants.RETRY_AFTER_S, false);
    }
  }

  /** Takes requests in. */
  public interface Handler {
    void handle(Exchange e);
  }
}
