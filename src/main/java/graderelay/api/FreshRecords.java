package graderelay.api;

import graderelay.net.Exchange;
import graderelay.state.Cache;

/** Runs operators' requests on a cache that is up to date. */
final class FreshRecords {
  private FreshRecords() {}

  /** Runs {@code action} once the cache has caught up with the store; answers 503 if it can't. */
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
