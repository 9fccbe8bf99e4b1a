package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Encodes the stored final state of a job ("end", {@code g/end/JOB}). */
final class FinalStateCodec {
  /** Wire name "end": how the job ended, {@link #DONE} or {@link #CANCELLED}. */
  static final String OUTCOME = "end";

  static final String DONE = "done";
  static final String CANCELLED = "cancelled";
  static final String TASKS = "tasks";

  /**
   * Wire name "at": time of the write in milliseconds since the epoch; absent in records of older
   * versions.
   */
  static final String WRITTEN_AT_MS = "at";

  private FinalStateCodec() {}

  static ObjectNode encode(boolean cancelled, int tasks, long writtenAtMs) {
    return Json.object()
        .put(OUTCOME, cancelled ? CANCELLED : DONE)
        .put(TASKS, tasks)
        .put(WRITTEN_AT_MS, writtenAtMs);
  }

  static FinalState decode(JsonNode n) {
    return new FinalState(
        n.path(OUTCOME).asText().equals(CANCELLED),
        n.path(TASKS).asInt(),
        n.path(WRITTEN_AT_MS).asLong());
  }
}
