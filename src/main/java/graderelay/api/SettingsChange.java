package graderelay.api;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.wire.BadRequestException;
import java.util.OptionalLong;

/**
 * A requested change of the operators' settings.
 *
 * @param values the settings to change, by name; the others are kept
 * @param ifRevision the revision that the record must have, or empty for any
 */
record SettingsChange(JsonNode values, OptionalLong ifRevision) {
  /** A change that applies to the record at any revision. */
  static SettingsChange ofAnyRevision(JsonNode values) {
    return new SettingsChange(values, OptionalLong.empty());
  }

  /** Decodes {@code {"values": {...}, "mark": N}}, where the mark (the revision) is optional. */
  static SettingsChange decode(JsonNode body) throws BadRequestException {
    if (body == null || !body.isObject() || !body.path("values").isObject()) {
      throw new BadRequestException("values must be an object with the settings to change");
    }
    JsonNode revision = body.path("mark");
    if (!revision.isMissingNode() && !revision.isIntegralNumber()) {
      throw new BadRequestException("mark must be the integer that GET /admin/settings returned");
    }
    // A negative revision means any revision, for compatibility with existing clients.
    boolean isAnyRevision = revision.isMissingNode() || revision.longValue() < 0;
    return new SettingsChange(
        body.get("values"),
        isAnyRevision ? OptionalLong.empty() : OptionalLong.of(revision.longValue()));
  }
}
