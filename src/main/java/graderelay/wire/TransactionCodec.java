package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.OptionalLong;

/**
 * Writes requests for compare-and-swap transactions of the key-value store: if every key has the
 * revision that it is expected to have, all changes are made at once, and otherwise none.
 */
public final class TransactionCodec {
  private TransactionCodec() {}

  /**
   * Requires that a key was last changed at this revision.
   *
   * @param revision 0 requires that the key does not exist
   */
  public record Condition(String key, long revision) {}

  /** A change that a transaction makes. */
  public sealed interface Change {
    /** The key that is changed. */
    String key();

    /**
     * Sets a key's value.
     *
     * @param sessionLease the id of the session lease with which the key is deleted, if any
     */
    record Put(String key, JsonNode value, OptionalLong sessionLease) implements Change {}

    /** Deletes a key. */
    record Delete(String key) implements Change {}
  }

  /** The body of a transaction's request; one without changes only compares. */
  public static ObjectNode encode(List<Condition> conditions, List<Change> changes) {
    ObjectNode body = Json.object();
    ArrayNode conditionList = body.putArray(StoreCodec.CONDITIONS);
    for (Condition condition : conditions) {
      conditionList
          .addObject()
          .put(StoreCodec.KEY, condition.key())
          .put(StoreCodec.REVISION, condition.revision());
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
