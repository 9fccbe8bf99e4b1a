package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;

/** Checked reads of a request's fields; errors name the field. */
final class RequestFields {
  /** Characters of a name in a submission, so that a job's record stays small. */
  static final int MAX_NAME_LENGTH = 128;

  /** Largest amount of a resource or of seconds in a submission: more is a mistake. */
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

  /** A string that is not empty and not too long. */
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

  /** The same, or null if the field is absent or null. */
  String textOrNull(String name) throws BadRequestException {
    JsonNode v = body.get(name);
    return v == null || v.isNull() ? null : text(name);
  }

  /** True or false. */
  boolean flag(String name) throws BadRequestException {
    JsonNode v = required(name);
    if (!v.isBoolean()) {
      throw new BadRequestException(name, "must be true or false");
    }
    return v.booleanValue();
  }

  /** An integer from {@code least} to {@code most}. */
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

  /** A decimal number up to a billion: of at least 0, or above 0 unless zero is allowed. */
  double amount(String name, boolean zeroAllowed) throws BadRequestException {
    JsonNode v = required(name);
    double d = v.isNumber() ? v.doubleValue() : Double.NaN;
    if (!(d >= 0) || d > MAX_AMOUNT || (d == 0 && !zeroAllowed)) {
      throw new BadRequestException(
          name, "must be a number " + (zeroAllowed ? "of at least 0" : "above 0"));
    }
    return d;
  }

  /** A number of at least 0, or null if the field is absent or null. */
  Double amountOrNull(String name) throws BadRequestException {
    JsonNode v = body.get(name);
    return v == null || v.isNull() ? null : amount(name, true);
  }

  /** The field unchecked, or null if it is absent or null. */
  JsonNode raw(String name) {
    JsonNode v = body.get(name);
    return v == null || v.isNull() ? null : v;
  }
}
