package graderelay.wire;

/** A request whose sender has to change it; the message names the field. */
public final class BadRequest extends Exception {
  private static final long serialVersionUID = 1L;

  public BadRequest(String message) {
    super(message, null, false, false);
  }
}
