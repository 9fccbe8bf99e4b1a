package graderelay.net;

/**
 * What came of a call. Status 0 means that no answer came.
 *
 * @param sent false if the request certainly never left, so that it can't be carried out late
 */
public record Reply(int status, byte[] body, boolean sent) {
  private static final byte[] NOTHING = new byte[0];

  /** The status of {@link #tooLarge}; no server sends it. */
  public static final int TOO_LARGE = 1;

  public static Reply lost() {
    return new Reply(0, NOTHING, true);
  }

  /** An answer came that is larger than this program takes: {@link #TOO_LARGE} as a status. */
  public static Reply tooLarge() {
    return new Reply(TOO_LARGE, NOTHING, true);
  }

  public static Reply neverSent() {
    return new Reply(0, NOTHING, false);
  }

  public boolean ok() {
    return status == 200;
  }
}
