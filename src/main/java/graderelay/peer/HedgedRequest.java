package graderelay.peer;

import graderelay.config.Settings;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
import graderelay.net.Loop;
import graderelay.wire.Json;

/**
 * A user's request that this controller handles and may also send, as a hedged request, to up to
 * {@link #MAX_HEDGES_PER_REQUEST} peers. The first answer other than 503 is returned to the user.
 * Used on the event loop only.
 */
final class HedgedRequest {
  /**
   * Seconds until a poll is hedged. Polls share reads of the store, so they take longer than other
   * requests; users wait 2 s for a poll.
   */
  private static final double POLL_HEDGE_DELAY_S = 0.7;

  /** Seconds added to the deadline of a request, for the answer of a peer to arrive. */
  private static final double PEER_ANSWER_GRACE_S = 0.15;

  /** Maximum number of peers that one request is sent to. */
  private static final int MAX_HEDGES_PER_REQUEST = 2;

  private final Loop loop;
  private final PeerForwarder forwarder;
  private final HedgePolicy policy;
  private final Exchange exchange;

  /** The 503 answer that is returned if no controller gives a definitive answer, or null. */
  private Response unavailableAnswer;

  private boolean answered;
  private int hedgesSent;

  /** Number of outstanding answers, of this controller and of peers. */
  private int pendingAnswers = 1;

  private Loop.Timer hedgeTimer;
  private Loop.Timer deadlineTimer;

  HedgedRequest(Loop loop, PeerForwarder forwarder, HedgePolicy policy, Exchange exchange) {
    this.loop = loop;
    this.forwarder = forwarder;
    this.policy = policy;
    this.exchange = exchange;
  }

  /** Runs {@code localHandler}, and hedges the request if that is slow or fails with 503. */
  void run(Exchange.Handler localHandler) {
    hedgeTimer = loop.schedule(hedgeDelayS(), this::onHedgeTimer);
    // The user has to get an answer before its own timeout; waiting for an unreachable peer would
    // take longer.
    deadlineTimer = loop.schedule(deadlineS(), this::onDeadline);
    localHandler.handle(exchange.withResponder(answer -> onAnswer(answer, true)));
  }

  private boolean isPoll() {
    return exchange.method().equals("GET");
  }

  private double deadlineS() {
    return PEER_ANSWER_GRACE_S
        + (isPoll() ? RequestHedger.POLL_DEADLINE_S : RequestHedger.USER_DEADLINE_S);
  }

  /**
   * Polls wait for a shared read of the store, so a slow poll does not mean that the store is
   * stalled.
   */
  private double hedgeDelayS() {
    return isPoll() ? POLL_HEDGE_DELAY_S : RequestHedger.HEDGE_DELAY_S;
  }

  /** Limits the fan-out: during an outage every request would otherwise go to every controller. */
  private int maxHedges() {
    return Math.min(forwarder.peerCount(), MAX_HEDGES_PER_REQUEST);
  }

  private void onHedgeTimer() {
    if (policy.mayHedgeSlow()) {
      hedge();
    } else if (!answered) {
      hedgeTimer = loop.schedule(hedgeDelayS(), this::onHedgeTimer);
    }
  }

  private void hedge() {
    if (answered || hedgesSent >= maxHedges()) {
      return;
    }
    int peerIndex = forwarder.hedgeIndex(hedgesSent++);
    Settings.Peer peer = forwarder.peer(peerIndex);
    if (forwarder.isUnresponsive(peer)) {
      hedge();
      return;
    }
    pendingAnswers++;
    policy.onHedgeSent();
    hedgeTimer = loop.schedule(hedgeDelayS(), this::onHedgeTimer);
    forwarder.forward(
        exchange, peer, RequestHedger.POLL_DEADLINE_S, answer -> onPeerAnswer(peerIndex, answer));
  }

  /** Handles a peer's answer; null if the peer did not answer. */
  private void onPeerAnswer(int peerIndex, Response answer) {
    policy.onHedgeCompleted();
    if (isDefinitive(answer)) {
      forwarder.prefer(peerIndex);
      policy.onDefinitiveAnswer(loop.now());
    } else {
      forwarder.deprioritize(peerIndex);
    }
    onAnswer(answer, false);
  }

  private void onAnswer(Response answer, boolean isLocal) {
    if (answered) {
      return;
    }
    pendingAnswers--;
    if (isDefinitive(answer)) {
      finish(answer);
      return;
    }
    if (answer != null && (unavailableAnswer == null || isLocal)) {
      unavailableAnswer = answer;
    }
    boolean mayHedge = policy.mayHedgeUnavailable();
    if (mayHedge && (pendingAnswers == 0 || (isLocal && hedgesSent == 0))) {
      // This controller can't handle the request; a peer may still reach the store.
      hedgeTimer.cancel();
      hedge();
    }
    if (pendingAnswers == 0 && unavailableAnswer != null) {
      finish(unavailableAnswer);
    }
  }

  private static boolean isDefinitive(Response answer) {
    return answer != null && answer.status() != RequestHedger.SERVICE_UNAVAILABLE;
  }

  private void onDeadline() {
    if (!answered) {
      Response noAnswer =
          Response.unavailable(
              RequestHedger.SERVICE_UNAVAILABLE, Json.errorBody("no controller answered in time"));
      finish(unavailableAnswer == null ? noAnswer : unavailableAnswer);
    }
  }

  private void finish(Response answer) {
    answered = true;
    hedgeTimer.cancel();
    deadlineTimer.cancel();
    exchange.responder().accept(answer);
  }
}
