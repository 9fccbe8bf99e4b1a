package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.wire.TransactionCodec;
import graderelay.wire.TransactionCodec.Change;
import graderelay.wire.TransactionCodec.Condition;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Builder of a compare-and-swap transaction. The store executes all changes atomically and at one
 * revision if all conditions hold, and none of them otherwise.
 */
public final class Transaction {
  private final List<Condition> conditions = new ArrayList<>();
  private final List<Change> changes = new ArrayList<>();

  /**
   * Adds the condition that a key was last changed at the given revision; 0 means that the key must
   * not exist.
   */
  public Transaction when(String key, long revision) {
    conditions.add(new Condition(key, revision));
    return this;
  }

  /** Sets a key's value. */
  public Transaction put(String key, JsonNode value) {
    changes.add(new Change.Put(key, value, OptionalLong.empty()));
    return this;
  }

  /** Sets a key's value and binds it to a session lease; the store deletes it with the lease. */
  public Transaction put(String key, JsonNode value, long sessionLease) {
    changes.add(new Change.Put(key, value, OptionalLong.of(sessionLease)));
    return this;
  }

  /** Deletes a key. */
  public Transaction delete(String key) {
    changes.add(new Change.Delete(key));
    return this;
  }

  /** The number of puts and deletes. */
  int changeCount() {
    return changes.size();
  }

  /** True if this transaction has conditions only. */
  boolean isReadOnly() {
    return changes.isEmpty();
  }

  /** Encodes the request body. */
  ObjectNode encode() {
    return TransactionCodec.encode(conditions, changes);
  }
}
