package graderelay.api;

import graderelay.net.Exchange;
import java.util.function.Consumer;

/** Routes a request to the leader, whichever controller that is. */
@FunctionalInterface
public interface LeaderRoute {
  /**
   * Runs {@code localHandler} if this controller is the leader, else relays the request to the
   * leader.
   */
  void handle(Exchange exchange, Consumer<Exchange> localHandler);
}
