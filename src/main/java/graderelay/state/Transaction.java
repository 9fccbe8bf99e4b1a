package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.wire.Json;

/**
 * A compare-and-swap transaction in the making. The store executes all of its changes, in one step
 * and at one revision, if all of its conditions hold, and none of them otherwise.
 */
public final class Transaction {
  private final ArrayNode conditions = Json.array();
  private final ArrayNode changes = Json.array();

  /**
   * Adds the condition that a key was last changed at the given revision; 0 means that the key must
   * not exist.
   */
  public Transaction when(String key, long revision) {
    conditions.addObject().put("key", key).put("mark", revision);
    return this;
  }

  /** Sets a key's value. */
  public Transaction put(String key, JsonNode value) {
    changes.addObject().put("put", key).set("data", value);
    return this;
  }

  /** Sets a key's value and binds it to a session lease: the store deletes both together. */
  public Transaction put(String key, JsonNode value, long sessionLease) {
    ObjectNode change = changes.addObject().put("put", key);
    change.set("data", value);
    change.put("permit", sessionLease);
    return this;
  }

  /** Deletes a key. */
  public Transaction delete(String key) {
    changes.addObject().put("drop", key);
    return this;
  }

  /** The number of puts and deletes. */
  int changeCount() {
    return changes.size();
  }

  /** True if this transaction only compares. */
  boolean isReadOnly() {
    return changes.isEmpty();
  }

  /** The body of the request to the store. */
  ObjectNode toJson() {
    ObjectNode body = Json.object();
    body.set("if", conditions);
    if (!changes.isEmpty()) {
      body.set("then", changes);
    }
    return body;
  }
}
