package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.OptionalLong;

/**
 * Encodes compare-and-swap transactions of the key-value store: if every condition holds, all
 * changes are made atomically; otherwise none are.
 */
public final class TransactionCodec {
  private TransactionCodec() {}

  /**
   * Requires that a key was last changed at a given revision.
   *
   * @param expectedRevision 0 if the key must not exist
   */
  public record Condition(String key, long expectedRevision) {}

  /** A change made by a transaction. */
  public sealed interface Change {
    /** Returns the key that is changed. */
    String key();

    /**
     * Sets a key's value.
     *
     * @param sessionLease the id of the session lease whose expiry deletes the key, if any
     */
    record Put(String key, JsonNode value, OptionalLong sessionLease) implements Change {}

    /** Deletes a key. */
    record Delete(String key) implements Change {}
  }

  /**
   * Encodes the body of a transaction request. A transaction without changes only checks the
   * conditions.
   */
  public static ObjectNode encode(List<Condition> conditions, List<Change> changes) {
    ObjectNode body = Json.object();
    ArrayNode conditionList = body.putArray(StoreCodec.CONDITIONS);
    for (Condition condition : conditions) {
      conditionList
          .addObject()
          .put(StoreCodec.KEY, condition.key())
          .put(StoreCodec.REVISION, condition.expectedRevision());
    }
    if (!changes.isEmpty()) {
      ArrayNode changeList = body.putArray(StoreCodec.CHANGES);
      changes.forEach(change -> changeList.add(encodeChange(change)));
    }
    return body;
  }

  private static ObjectNode encodeChange(Change change) {
    if (change instanceof Change.Put put) {
      ObjectNode n = Json.object().put(StoreCodec.PUT, put.key());
      n.set(StoreCodec.VALUE, put.value());
      put.sessionLease().ifPresent(lease -> n.put(StoreCodec.SESSION_LEASE, lease));
      return n;
    }
    return Json.object().put(StoreCodec.DELETE, change.key());
  }
}
