package graderelay.api;

import graderelay.net.Exchange;
import graderelay.state.Cache;

/** Has operators' requests decided on the records as they are now. */
final class FreshRecords {
  private FreshRecords() {}

  /** Runs {@code then} once the records have been read anew; answers 503 if they can't be read. */
  static void run(Cache cache, Exchange exchange, Runnable action) {
    cache.catchUp(
        caughtUp -> {
          if (caughtUp) {
            action.run();
          } else {
            ApiError.STORE_UNREACHABLE.sendTo(exchange);
          }
        });
  }
}
