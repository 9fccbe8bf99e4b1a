package graderelay.peer;

import graderelay.config.Settings;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
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
  private static final double FORWARDED_S = 0.15;

  private static final int TOO_MANY = 429;

  private final Loop loop;
  private final PeerForwarder forwarder;
  private final Exchange exchange;
  private boolean settled;

  ForwardedRequest(Loop loop, PeerForwarder forwarder, Exchange exchange) {
    this.loop = loop;
    this.forwarder = forwarder;
    this.exchange = exchange;
  }

  /** Forwards the request to {@code peer}; runs {@code here} if the peer does not decide it. */
  void run(Settings.Peer peer, Runnable here) {
    Loop.Timer slow = loop.schedule(FORWARDED_S, () -> settleHere(here));
    forwarder.forward(
        exchange,
        peer,
        FORWARDED_S,
        answer -> {
          slow.cancel();
          if (isDecision(answer) && !settled) {
            settled = true;
            exchange.responder().accept(answer);
          } else {
            settleHere(here);
          }
        });
  }

  private void settleHere(Runnable here) {
    if (!settled) {
      settled = true;
      here.run();
    }
  }

  private static boolean isDecision(Response answer) {
    return answer != null
        && answer.status() != RequestHedger.REFUSED
        && answer.status() != TOO_MANY;
  }
}
