package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;

/** Checked reads of a request's fields; errors name the field. */
final class Fields {
  /** Characters of a name in a submission, so that a job's record stays small. */
  static final int MOST_NAME = 128;

  /** Largest amount of a resource or of seconds in a submission: more is a mistake. */
  private static final double MOST_AMOUNT = 1e9;

  private final JsonNode n;

  Fields(JsonNode n) throws BadRequest {
    if (n == null || !n.isObject()) {
      throw new BadRequest("the body must be a JSON object");
    }
    this.n = n;
  }

  private JsonNode need(String name) throws BadRequest {
    JsonNode v = n.get(name);
    if (v == null || v.isNull()) {
      throw new BadRequest(name, "is missing");
    }
    return v;
  }

  String text(String name) throws BadRequest {
    JsonNode v = need(name);
    if (!v.isTextual() || v.textValue().isEmpty()) {
      throw new BadRequest(name, "must be a string that is not empty");
    }
    if (v.textValue().length() > MOST_NAME) {
      throw new BadRequest(name, "is longer than " + MOST_NAME + " characters");
    }
    return v.textValue();
  }

  String textOrNull(String name) throws BadRequest {
    JsonNode v = n.get(name);
    return v == null || v.isNull() ? null : text(name);
  }

  boolean flag(String name) throws BadRequest {
    JsonNode v = need(name);
    if (!v.isBoolean()) {
      throw new BadRequest(name, "must be true or false");
    }
    return v.booleanValue();
  }

  int count(String name, int least, int most) throws BadRequest {
    JsonNode v = need(name);
    if (!v.isIntegralNumber() || !v.canConvertToLong()) {
      throw new BadRequest(name, "must be an integer");
    }
    long l = v.longValue();
    if (l < least || l > most) {
      throw new BadRequest(name, "must be between " + least + " and " + most);
    }
    return (int) l;
  }

  double amount(String name, boolean zeroAllowed) throws BadRequest {
    JsonNode v = need(name);
    double d = v.isNumber() ? v.doubleValue() : Double.NaN;
    if (!(d >= 0) || d > MOST_AMOUNT || (d == 0 && !zeroAllowed)) {
      throw new BadRequest(name, "must be a number " + (zeroAllowed ? "of at least 0" : "above 0"));
    }
    return d;
  }

  Double amountOrNull(String name) throws BadRequest {
    JsonNode v = n.get(name);
    return v == null || v.isNull() ? null : amount(name, true);
  }

  JsonNode raw(String name) {
    JsonNode v = n.get(name);
    return v == null || v.isNull() ? null : v;
  }
}
