package graderelay.wire;

/** A stored record has not the form that it should have; the message names the field. */
public final class MalformedRecord extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedRecord(String message) {
    super(message);
  }
}
