package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.wire.StoreCodec;
import graderelay.wire.StoreCodec.StoreChange;
import graderelay.wire.StoreCodec.StoreEntry;
import java.util.List;

/**
 * The result of a call to the key-value store.
 *
 * @param outcome how the call ended
 * @param body the store's answer, or null if it gave none
 */
public record StoreResult(StoreOutcome outcome, JsonNode body) {
  /** The result of a call that was not sent. */
  static StoreResult notExecuted() {
    return new StoreResult(StoreOutcome.NOT_EXECUTED, null);
  }

  /** True if the call was executed. */
  public boolean succeeded() {
    return outcome == StoreOutcome.SUCCEEDED;
  }

  /** The store's revision when it answered, 0 without an answer. */
  public long revision() {
    return StoreCodec.decodeStoreRevision(body);
  }

  /** The key that was read, with its value; to be asked for only if the read succeeded. */
  StoreEntry entry() {
    return StoreCodec.decodeEntry(body);
  }

  /** The id of the session lease that was created; to be asked for only if the call succeeded. */
  long createdSessionLease() {
    return StoreCodec.decodeSessionLease(body);
  }

  /** The keys whose conditions did not hold; to be asked for only if the store refused for them. */
  List<String> failedKeys() {
    return StoreCodec.decodeFailedConditions(body);
  }

  /** The changes that a watch has shown, in the order of their revisions. */
  List<StoreChange> changes() {
    return StoreCodec.decodeWatch(body).changes();
  }
}
