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
 * What operators send to change limits, checked against a schema; all mistakes are told at once.
 */
public final class QuotaRequests {
  private static final String SCHEMA = "/graderelay/limit-change.schema.json";

  /** Says that no version was given. */
  public static final long ANY_VERSION = -1;

  /**
   * A change of one team's limits.
   *
   * @param onVersion the version that the operator has seen, or {@link #ANY_VERSION}
   * @param by who asks for it
   */
  public record Change(LimitChange limits, long onVersion, String by) {}

  private QuotaRequests() {}

  /** Loaded when an operator first changes a limit, so that a start does not pay for it. */
  private static final class Schema {
    static final JsonSchema CHANGE = load();

    private static JsonSchema load() {
      InputStream text = QuotaRequests.class.getResourceAsStream(SCHEMA);
      return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(text);
    }
  }

  /** Reads a change, as {@code otherwise} if the request does not say who asks for it. */
  public static Change decodeChange(JsonNode body, String otherwise) throws BadRequest {
    if (body == null || !body.isObject()) {
      throw new BadRequest("the body must be a JSON object");
    }
    Set<String> mistakes = new TreeSet<>();
    for (ValidationMessage m : Schema.CHANGE.validate(body)) {
      mistakes.add(m.getMessage().replace("$.", "").replace("$: ", ""));
    }
    if (!mistakes.isEmpty()) {
      throw new BadRequest(String.join("; ", mistakes));
    }
    LimitChange limits =
        new LimitChange(
            number(body, "cpus"),
            number(body, "cpus_max"),
            number(body, "gpus"),
            number(body, "gpus_max"));
    return new Change(
        limits, body.path("version").asLong(ANY_VERSION), body.path("by").asText(otherwise));
  }

  private static BigDecimal number(JsonNode body, String field) {
    return body.has(field) ? body.get(field).decimalValue() : null;
  }
}
