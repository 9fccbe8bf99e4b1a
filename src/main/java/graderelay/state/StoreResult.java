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
 * @param body the body of the store's response, or null if there is none
 */
public record StoreResult(StoreOutcome outcome, JsonNode body) {
  /** Returns the result of a call that was not sent. */
  static StoreResult notExecuted() {
    return new StoreResult(StoreOutcome.NOT_EXECUTED, null);
  }

  /** True if the call was executed. */
  public boolean succeeded() {
    return outcome == StoreOutcome.SUCCEEDED;
  }

  /** The store's revision at the time of the response, 0 without a response. */
  public long revision() {
    return StoreCodec.decodeStoreRevision(body);
  }

  /** The entry that was read; valid only if the read succeeded. */
  StoreEntry entry() {
    return StoreCodec.decodeEntry(body);
  }

  /** The id of the created session lease; valid only if the call succeeded. */
  long createdSessionLease() {
    return StoreCodec.decodeSessionLease(body);
  }

  /** The keys whose conditions failed; valid only for {@link StoreOutcome#CONDITION_FAILED}. */
  List<String> failedKeys() {
    return StoreCodec.decodeFailedConditions(body);
  }

  /** The changes returned by a watch, in the order of their revisions. */
  List<StoreChange> changes() {
    return StoreCodec.decodeWatch(body).changes();
  }
}
