package graderelay.wire;

/**
 * An invalid request, which fails again unless the sender changes it. The message is returned to
 * the sender.
 */
public final class BadRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String field;

  /** Creates an exception for an error that does not concern a single field. */
  public BadRequestException(String message) {
    super(message, null, false, false);
    this.field = null;
  }

  /**
   * Creates an exception for an invalid field; the message is the field's wire name and the
   * problem.
   */
  public BadRequestException(String field, String problem) {
    super(field + " " + problem, null, false, false);
    this.field = field;
  }

  /**
   * Returns the wire name of the invalid field, or null if the error does not concern a single
   * field.
   */
  public String field() {
    return field;
  }
}
