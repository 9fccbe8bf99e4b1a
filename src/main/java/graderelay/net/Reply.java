package graderelay.net;

/**
 * What came of a call.
 *
 * @param status the HTTP status, or {@link #NO_ANSWER} or {@link #TOO_LARGE}
 * @param body empty if no answer came
 * @param sent false if the request certainly never left, so that it can't be carried out late
 */
public record Reply(int status, byte[] body, boolean sent) {
  /** The status of a call that no answer came to. */
  public static final int NO_ANSWER = 0;

  /** The status of {@link #tooLarge}; no server sends it. */
  public static final int TOO_LARGE = 1;

  private static final byte[] NOTHING = new byte[0];

  /** No answer came to a request that may have been carried out. */
  public static Reply lost() {
    return new Reply(NO_ANSWER, NOTHING, true);
  }

  /** An answer came that is larger than this program takes: {@link #TOO_LARGE} as a status. */
  public static Reply tooLarge() {
    return new Reply(TOO_LARGE, NOTHING, true);
  }

  /** The request never left. */
  public static Reply neverSent() {
    return new Reply(NO_ANSWER, NOTHING, false);
  }

  /** True if the status is 200. */
  public boolean ok() {
    return status == 200;
  }
}
