package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A change of a key that a watch or a catch-up read has shown.
 *
 * @param value the new value, or null if the key was deleted
 * @param revision the revision of the change
 */
record RecordChange(String key, JsonNode value, long revision) {
  boolean isDeletion() {
    return value == null;
  }
}
