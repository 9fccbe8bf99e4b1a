package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
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
    return body == null ? 0 : body.path("ledger").asLong();
  }

  /** The value of the key that was read. */
  JsonNode value() {
    return body.path("data");
  }

  /** The revision at which the key that was read was last changed. */
  long valueRevision() {
    return body.path("mark").asLong();
  }

  /** The session lease that was created, or that the key that was read is bound to; 0 if none. */
  long sessionLease() {
    return body.path("permit").asLong();
  }

  /** The keys whose conditions did not hold. */
  JsonNode failedKeys() {
    return body.path("failed");
  }

  /** The changes that a watch has shown, in the order of their revisions. */
  List<RecordChange> changes() {
    List<RecordChange> changes = new ArrayList<>();
    for (JsonNode event : body.path("news")) {
      long changedAt = event.path("mark").asLong();
      if (event.has("put")) {
        changes.add(new RecordChange(event.get("put").asText(), event.path("data"), changedAt));
      } else if (event.has("drop")) {
        changes.add(new RecordChange(event.get("drop").asText(), null, changedAt));
      }
    }
    return changes;
  }
}
