package graderelay.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.state.Cache;
import graderelay.state.StoreOutcome;
import graderelay.state.StoreResult;
import graderelay.wire.Json;
import java.util.function.Supplier;

/** How operators are told what became of a conditional write that they have asked for. */
final class OperatorWrites {
  private static final int CONFLICT = 409;

  private OperatorWrites() {}

  /**
   * Answers with the record as it is once the write has been seen.
   *
   * @param present the record, asked for after the records have been read anew
   * @param conflict what is said if somebody else's write came first
   */
  static void answer(
      Exchange e, Cache cache, StoreResult result, Supplier<ObjectNode> present, String conflict) {
    if (result.outcome() == StoreOutcome.NOT_EXECUTED) {
      UserApi.unavailable(e, "the state service can't be reached");
      return;
    }
    cache.catchUp(
        ok -> {
          if (!ok || result.outcome() == StoreOutcome.UNKNOWN) {
            UserApi.unavailable(e, "it is not known whether the change was made; read it again");
          } else if (result.succeeded()) {
            e.to().accept(Answer.json(200, Json.write(present.get())));
          } else {
            ObjectNode n = present.get().put("error", conflict);
            e.to().accept(Answer.json(CONFLICT, Json.write(n)));
          }
        });
  }
}
