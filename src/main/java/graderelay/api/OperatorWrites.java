package graderelay.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.net.Exchange;
import graderelay.state.Cache;
import graderelay.state.StoreOutcome;
import graderelay.state.StoreResult;
import java.util.function.Supplier;

/** Answers operators' requests with the result of their compare-and-swap. */
final class OperatorWrites {
  private static final int CONFLICT = 409;
  private static final ApiError OUTCOME_UNKNOWN =
      ApiError.unavailable("it is not known whether the change was made; read the record again");

  private OperatorWrites() {}

  /**
   * Answers with the current record once the cache contains the write.
   *
   * @param currentRecord provides the record after the cache has caught up
   * @param conflictMessage the error message if a concurrent write came first
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

  /** Answers 409 with the current record and the reason for the conflict. */
  static void conflict(Exchange exchange, ObjectNode currentRecord, String reason) {
    Replies.json(exchange, CONFLICT, currentRecord.put("error", reason));
  }
}
