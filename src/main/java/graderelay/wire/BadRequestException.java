package graderelay.wire;

/** A request whose sender has to change it; the message names the field and says what is wrong. */
public final class BadRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String field;

  /** A mistake that is not about one field: the message is told to the sender as it is. */
  public BadRequestException(String message) {
    super(message, null, false, false);
    this.field = null;
  }

  /** A mistake in one field: the sender is told the field's wire name and the problem. */
  public BadRequestException(String field, String problem) {
    super(field + " " + problem, null, false, false);
    this.field = field;
  }

  /** The wire name of the field that is wrong, or null if the mistake is not about one field. */
  public String field() {
    return field;
  }
}
