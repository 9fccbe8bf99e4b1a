package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.wire.FeatureCodec;
import graderelay.wire.StateCodec;
import java.util.HashMap;
import java.util.Map;

/**
 * This controller's copy of the hints that leaders leave for their successors, in the form in which
 * they are stored: only a new leader decodes them.
 */
public final class LeaderHintRecords {
  private JsonNode demand;
  private final Map<String, JsonNode> images = new HashMap<>();
  private final Map<String, JsonNode> compactHints = new HashMap<>();

  /** The recent demand in the plain form, or null. */
  public JsonNode demand() {
    return demand;
  }

  /** The images on machines in the plain form, by key. */
  public Map<String, JsonNode> images() {
    return images;
  }

  /** Both kinds in the compact form, by key. */
  public Map<String, JsonNode> compactHints() {
    return compactHints;
  }

  /** Forgets the compact form, before the records are read anew. */
  void clearCompactHints() {
    compactHints.clear();
  }

  /** Takes a record if it is a hint. */
  void put(String key, JsonNode value) {
    if (key.equals(StateCodec.DEMAND)) {
      demand = value;
    } else if (key.startsWith(StateCodec.IMAGES)) {
      images.put(key, value);
    } else if (key.startsWith(FeatureCodec.HINTS)) {
      compactHints.put(key, value);
    }
  }

  /** Takes the deletion of a record if it is a hint. */
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
