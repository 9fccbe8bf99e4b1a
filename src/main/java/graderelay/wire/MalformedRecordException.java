package graderelay.wire;

/** A stored record has not the form that it should have; the message says what is wrong. */
public final class MalformedRecordException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String field;

  /** A mistake that is not about one field. */
  MalformedRecordException(String message) {
    super(message);
    this.field = null;
  }

  /** A mistake in one field: the message is the field's stored name and the problem. */
  MalformedRecordException(String field, String problem) {
    super(field + " " + problem);
    this.field = field;
  }

  /** The stored name of the field that is wrong, or null if the mistake is not about one field. */
  public String field() {
    return field;
  }
}
