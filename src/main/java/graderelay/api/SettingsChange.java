package graderelay.api;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.wire.BadRequest;
import java.util.OptionalLong;

/**
 * A change of the operators' settings, as a request asks for it.
 *
 * @param values the settings to change, by name; the others stay
 * @param ifRevision the revision that the record must still have, or empty for any
 */
record SettingsChange(JsonNode values, OptionalLong ifRevision) {
  /** A change on the record as it is, whatever its revision. */
  static SettingsChange ofAnyRevision(JsonNode values) {
    return new SettingsChange(values, OptionalLong.empty());
  }

  /** Reads {@code {"values": {...}, "mark": N}}, where the mark (the revision) is optional. */
  static SettingsChange decode(JsonNode body) throws BadRequest {
    if (body == null || !body.isObject() || !body.path("values").isObject()) {
      throw new BadRequest("values must be an object with the settings to change");
    }
    JsonNode revision = body.path("mark");
    if (!revision.isMissingNode() && !revision.isIntegralNumber()) {
      throw new BadRequest("mark must be the integer that reading the settings gave");
    }
    // A negative revision asks for none, as it always has.
    boolean isAnyRevision = revision.isMissingNode() || revision.longValue() < 0;
    return new SettingsChange(
        body.get("values"),
        isAnyRevision ? OptionalLong.empty() : OptionalLong.of(revision.longValue()));
  }
}
