package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A key of the store with its value.
 *
 * @param revision the revision at which the key was last changed
 */
public record StoredRecord(String key, JsonNode value, long revision) {}
