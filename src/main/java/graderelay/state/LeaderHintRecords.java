package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.wire.FeatureCodec;
import graderelay.wire.StateCodec;
import java.util.HashMap;
import java.util.Map;

/**
 * This controller's cache of the hints that a leader stores for its successor. They are kept
 * encoded as stored, since only a new leader decodes them.
 */
public final class LeaderHintRecords {
  private JsonNode demand;
  private final Map<String, JsonNode> images = new HashMap<>();
  private final Map<String, JsonNode> compactHints = new HashMap<>();

  /** The recent demand in the uncompressed form, or null. */
  public JsonNode demand() {
    return demand;
  }

  /** The images on machines in the uncompressed form, by key. */
  public Map<String, JsonNode> images() {
    return images;
  }

  /** Hints of both kinds in the compact form, by key. */
  public Map<String, JsonNode> compactHints() {
    return compactHints;
  }

  /** Clears the compact hints before the records are read again. */
  void clearCompactHints() {
    compactHints.clear();
  }

  /** Applies a written record if it is a hint. */
  void put(String key, JsonNode value) {
    if (key.equals(StateCodec.DEMAND)) {
      demand = value;
    } else if (key.startsWith(StateCodec.IMAGES)) {
      images.put(key, value);
    } else if (key.startsWith(FeatureCodec.HINTS)) {
      compactHints.put(key, value);
    }
  }

  /** Applies the deletion of a record if it is a hint. */
  void delete(String key) {
    if (key.equals(StateCodec.DEMAND)) {
      demand = null;
    } else if (key.startsWith(StateCodec.IMAGES)) {
      images.remove(key);
    } else if (key.startsWith(FeatureCodec.HINTS)) {
      compactHints.remove(key);
    }
  }
}
