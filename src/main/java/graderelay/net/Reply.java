package graderelay.net;

/**
 * The outcome of a call: the response, or the reason why there is none.
 *
 * @param status the HTTP status, or {@link #NO_RESPONSE} or {@link #RESPONSE_TOO_LARGE}
 * @param body the response body; empty if there was no response
 * @param sent false if the request was certainly not sent, so that the server can't execute it
 *     later
 */
public record Reply(int status, byte[] body, boolean sent) {
  /** The status of a call that got no response. */
  public static final int NO_RESPONSE = 0;

  /** The status of {@link #responseTooLarge}; servers never send it. */
  public static final int RESPONSE_TOO_LARGE = 1;

  private static final byte[] EMPTY_BODY = new byte[0];

  /** Returns the outcome of a call without a response, whose request may have been executed. */
  public static Reply noResponse() {
    return new Reply(NO_RESPONSE, EMPTY_BODY, true);
  }

  /**
   * Returns the outcome of a call whose response exceeds the size limit; its status is {@link
   * #RESPONSE_TOO_LARGE}.
   */
  public static Reply responseTooLarge() {
    return new Reply(RESPONSE_TOO_LARGE, EMPTY_BODY, true);
  }

  /** Returns the outcome of a call whose request was not sent. */
  public static Reply notSent() {
    return new Reply(NO_RESPONSE, EMPTY_BODY, false);
  }

  /** Returns true if the status is 200. */
  public boolean isOk() {
    return status == 200;
  }
}
