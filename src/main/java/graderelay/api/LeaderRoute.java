package graderelay.api;

import graderelay.net.Exchange;
import java.util.function.Consumer;

/** Has a request handled by the leader, whichever controller that is. */
@FunctionalInterface
public interface LeaderRoute {
  /** Runs {@code here} if this controller leads, else relays the request to the leader. */
  void handle(Exchange exchange, Consumer<Exchange> localHandler);
}
