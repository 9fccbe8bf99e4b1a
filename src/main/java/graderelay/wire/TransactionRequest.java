package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A compare-and-swap transaction of the key-value store in the making: if every key has the
 * revision that it is expected to have, all changes are made at once, and otherwise none.
 */
public final class TransactionRequest {
  private final ArrayNode conditions = Json.array();
  private final ArrayNode changes = Json.array();

  /** Requires that a key has this revision; 0 requires that the key does not exist. */
  public TransactionRequest when(String key, long revision) {
    conditions.addObject().put(StoreCodec.KEY, key).put(StoreCodec.REVISION, revision);
    return this;
  }

  /** Sets a key's value, on no session lease. */
  public TransactionRequest put(String key, JsonNode value) {
    changes.addObject().put(StoreCodec.PUT, key).set(StoreCodec.VALUE, value);
    return this;
  }

  /** Sets a key's value, and deletes the key when this session lease ends. */
  public TransactionRequest put(String key, JsonNode value, long sessionLease) {
    ObjectNode change = changes.addObject().put(StoreCodec.PUT, key);
    change.set(StoreCodec.VALUE, value);
    change.put(StoreCodec.SESSION_LEASE, sessionLease);
    return this;
  }

  /** Deletes a key. */
  public TransactionRequest drop(String key) {
    changes.addObject().put(StoreCodec.DELETE, key);
    return this;
  }

  /** Number of puts and deletes so far. */
  public int changeCount() {
    return changes.size();
  }

  /** The body of the request; a transaction without changes only compares. */
  public ObjectNode encode() {
    ObjectNode body = Json.object();
    body.set(StoreCodec.CONDITIONS, conditions);
    if (!changes.isEmpty()) {
      body.set(StoreCodec.CHANGES, changes);
    }
    return body;
  }
}
