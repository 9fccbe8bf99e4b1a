package graderelay.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.net.Exchange;
import graderelay.state.Cache;
import graderelay.state.StoreOutcome;
import graderelay.state.StoreResult;
import java.util.function.Supplier;

/** How operators are told what became of a compare-and-swap that they have asked for. */
final class OperatorWrites {
  private static final int CONFLICT = 409;
  private static final ApiError OUTCOME_UNKNOWN =
      ApiError.unavailable("it is not known whether the change was made; read it again");

  private OperatorWrites() {}

  /**
   * Answers with the record as it is once the write has been seen.
   *
   * @param present the record, asked for after the records have been read anew
   * @param conflict what is said if somebody else's write came first
   */
  static void answer(
      Exchange exchange,
      Cache cache,
      StoreResult result,
      Supplier<ObjectNode> currentRecord,
      String conflictMessage) {
    if (result.outcome() == StoreOutcome.NOT_EXECUTED) {
      ApiError.STORE_UNREACHABLE.sendTo(exchange);
      return;
    }
    cache.catchUp(
        caughtUp -> {
          if (!caughtUp || result.outcome() == StoreOutcome.UNKNOWN) {
            OUTCOME_UNKNOWN.sendTo(exchange);
          } else if (result.succeeded()) {
            Replies.json(exchange, 200, currentRecord.get());
          } else {
            conflict(exchange, currentRecord.get(), conflictMessage);
          }
        });
  }

  /** Answers 409 with the record as it is and the reason why it is not changed. */
  static void conflict(Exchange exchange, ObjectNode currentRecord, String reason) {
    Replies.json(exchange, CONFLICT, currentRecord.put("error", reason));
  }
}
