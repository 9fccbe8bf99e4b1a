package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import graderelay.quota.LimitChange;
import java.io.InputStream;
import java.math.BigDecimal;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decodes operators' requests to change limits and validates them against a JSON schema. An error
 * message lists all violations.
 */
public final class QuotaRequestCodec {
  private static final String SCHEMA_RESOURCE = "/graderelay/limit-change.schema.json";

  /** Expected version of a change that applies to any version. */
  public static final long ANY_VERSION = -1;

  /**
   * A request to change one team's limits.
   *
   * @param expectedVersion the version that the change is based on, or {@link #ANY_VERSION}
   * @param changedBy author of the change
   */
  public record LimitChangeRequest(LimitChange change, long expectedVersion, String changedBy) {}

  private QuotaRequestCodec() {}

  /**
   * Holds the schema, which is loaded at the first change of a limit so that it does not lengthen
   * startup.
   */
  private static final class Schema {
    static final JsonSchema LIMIT_CHANGE = load();

    private static JsonSchema load() {
      InputStream resource = QuotaRequestCodec.class.getResourceAsStream(SCHEMA_RESOURCE);
      return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(resource);
    }
  }

  /**
   * Decodes a change of limits. {@code defaultChangedBy} is its author if the request names none.
   */
  public static LimitChangeRequest decodeLimitChange(JsonNode body, String defaultChangedBy)
      throws BadRequestException {
    if (body == null || !body.isObject()) {
      throw new BadRequestException("the body must be a JSON object");
    }
    Set<String> errors = new TreeSet<>();
    for (ValidationMessage message : Schema.LIMIT_CHANGE.validate(body)) {
      errors.add(message.getMessage().replace("$.", "").replace("$: ", ""));
    }
    if (!errors.isEmpty()) {
      throw new BadRequestException(String.join("; ", errors));
    }
    LimitChange change =
        new LimitChange(
            number(body, "cpus"),
            number(body, "cpus_max"),
            number(body, "gpus"),
            number(body, "gpus_max"));
    return new LimitChangeRequest(
        change, body.path("version").asLong(ANY_VERSION), body.path("by").asText(defaultChangedBy));
  }

  private static BigDecimal number(JsonNode body, String field) {
    return body.has(field) ? body.get(field).decimalValue() : null;
  }
}
