package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads and validates the fields of a request body. Errors name the field. */
final class RequestFields {
  /** Maximum number of characters of a name in a submission; limits the size of a job's record. */
  static final int MAX_NAME_LENGTH = 128;

  /** Maximum amount of a resource or number of seconds in a submission. */
  private static final double MAX_AMOUNT = 1e9;

  private final JsonNode body;

  RequestFields(JsonNode body) throws BadRequestException {
    if (body == null || !body.isObject()) {
      throw new BadRequestException("the body must be a JSON object");
    }
    this.body = body;
  }

  private JsonNode required(String name) throws BadRequestException {
    JsonNode v = body.get(name);
    if (v == null || v.isNull()) {
      throw new BadRequestException(name, "is missing");
    }
    return v;
  }

  /** Returns a non-empty string of at most {@link #MAX_NAME_LENGTH} characters. */
  String text(String name) throws BadRequestException {
    JsonNode v = required(name);
    if (!v.isTextual() || v.textValue().isEmpty()) {
      throw new BadRequestException(name, "must be a string that is not empty");
    }
    if (v.textValue().length() > MAX_NAME_LENGTH) {
      throw new BadRequestException(name, "is longer than " + MAX_NAME_LENGTH + " characters");
    }
    return v.textValue();
  }

  /** Returns a string as {@link #text} does, or null if the field is absent or null. */
  String textOrNull(String name) throws BadRequestException {
    JsonNode v = body.get(name);
    return v == null || v.isNull() ? null : text(name);
  }

  /** Returns a boolean. */
  boolean flag(String name) throws BadRequestException {
    JsonNode v = required(name);
    if (!v.isBoolean()) {
      throw new BadRequestException(name, "must be true or false");
    }
    return v.booleanValue();
  }

  /** Returns an integer from {@code min} to {@code max}. */
  int count(String name, int min, int max) throws BadRequestException {
    JsonNode v = required(name);
    if (!v.isIntegralNumber() || !v.canConvertToLong()) {
      throw new BadRequestException(name, "must be an integer");
    }
    long l = v.longValue();
    if (l < min || l > max) {
      throw new BadRequestException(name, "must be between " + min + " and " + max);
    }
    return (int) l;
  }

  /**
   * Returns a number up to {@link #MAX_AMOUNT}, which is above 0, or at least 0 if zero is allowed.
   */
  double amount(String name, boolean zeroAllowed) throws BadRequestException {
    JsonNode v = required(name);
    double d = v.isNumber() ? v.doubleValue() : Double.NaN;
    if (!(d >= 0) || d > MAX_AMOUNT || (d == 0 && !zeroAllowed)) {
      throw new BadRequestException(
          name, "must be a number " + (zeroAllowed ? "of at least 0" : "above 0"));
    }
    return d;
  }

  /** Returns a number of at least 0, or null if the field is absent or null. */
  Double amountOrNull(String name) throws BadRequestException {
    JsonNode v = body.get(name);
    return v == null || v.isNull() ? null : amount(name, true);
  }

  /** Returns the field without validation, or null if it is absent or null. */
  JsonNode raw(String name) {
    JsonNode v = body.get(name);
    return v == null || v.isNull() ? null : v;
  }
}
