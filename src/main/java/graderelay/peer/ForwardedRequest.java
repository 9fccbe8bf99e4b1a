package graderelay.peer;

import graderelay.config.Settings;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.net.Loop;

/**
 * One user's request that a peer is asked to decide in this controller's place. It is decided here
 * after all if the peer refuses it or does not answer at once. Used on the event loop only.
 */
final class ForwardedRequest {
  /**
   * Seconds for which a submission that the leader has forwarded may stay with a peer before the
   * leader decides it itself: a few usual answers of the store.
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

  /** Forwards the request to {@code peer}; runs {@code here} if the peer does not decide it. */
  void run(Settings.Peer peer, Runnable localHandler) {
    Loop.Timer timeout = loop.after(FORWARD_TIMEOUT_S, () -> handleLocally(localHandler));
    forwarder.forward(
        exchange,
        peer,
        FORWARD_TIMEOUT_S,
        answer -> {
          timeout.cancel();
          if (isDefinitive(answer) && !completed) {
            completed = true;
            exchange.to().accept(answer);
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

  private static boolean isDefinitive(Answer answer) {
    return answer != null
        && answer.status() != RequestHedger.SERVICE_UNAVAILABLE
        && answer.status() != TOO_MANY_REQUESTS;
  }
}
