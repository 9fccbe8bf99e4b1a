package graderelay.peer;

import graderelay.config.Settings;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
import graderelay.net.Loop;

/**
 * A user's request that is forwarded to a peer before this controller handles it. This controller
 * handles the request itself if the peer rejects it or does not answer within {@link
 * #FORWARD_TIMEOUT_S}. Used on the event loop only.
 */
final class ForwardedRequest {
  /**
   * Seconds after which the leader handles a forwarded submission itself: a few times the usual
   * response time of the store.
   */
  private static final double FORWARD_TIMEOUT_S = 0.15;

  private static final int TOO_MANY_REQUESTS = 429;

  private final Loop loop;
  private final PeerForwarder forwarder;
  private final Exchange exchange;
  private boolean completed;

  ForwardedRequest(Loop loop, PeerForwarder forwarder, Exchange exchange) {
    this.loop = loop;
    this.forwarder = forwarder;
    this.exchange = exchange;
  }

  /**
   * Forwards the request to {@code peer}; runs {@code localHandler} if the peer gives no definitive
   * answer.
   */
  void run(Settings.Peer peer, Runnable localHandler) {
    Loop.Timer timeout = loop.schedule(FORWARD_TIMEOUT_S, () -> handleLocally(localHandler));
    forwarder.forward(
        exchange,
        peer,
        FORWARD_TIMEOUT_S,
        answer -> {
          timeout.cancel();
          if (isDefinitive(answer) && !completed) {
            completed = true;
            exchange.responder().accept(answer);
          } else {
            handleLocally(localHandler);
          }
        });
  }

  private void handleLocally(Runnable localHandler) {
    if (!completed) {
      completed = true;
      localHandler.run();
    }
  }

  private static boolean isDefinitive(Response answer) {
    return answer != null
        && answer.status() != RequestHedger.SERVICE_UNAVAILABLE
        && answer.status() != TOO_MANY_REQUESTS;
  }
}
