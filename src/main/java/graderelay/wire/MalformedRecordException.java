package graderelay.wire;

/** Thrown if a stored record does not have the expected form. */
public final class MalformedRecordException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String field;

  /** Creates an exception for an error that does not concern a single field. */
  MalformedRecordException(String message) {
    super(message);
    this.field = null;
  }

  /**
   * Creates an exception for an invalid field; the message is the field's stored name and the
   * problem.
   */
  MalformedRecordException(String field, String problem) {
    super(field + " " + problem);
    this.field = field;
  }

  /**
   * Returns the stored name of the invalid field, or null if the error does not concern a single
   * field.
   */
  public String field() {
    return field;
  }
}
