package graderelay.peer;

import graderelay.config.Settings;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.net.Loop;
import graderelay.wire.Json;

/**
 * One user's request put to this controller and, as a hedged request, to up to {@link
 * #MAX_HEDGES_PER_REQUEST} peers. The first answer that is not a refusal goes to the user. Used on
 * the event loop only.
 */
final class HedgedRequest {
  /** Seconds before a hedge of a poll: it waits for a read that many share; its user waits 2 s. */
  private static final double POLL_HEDGE_DELAY_S = 0.7;

  /** Seconds beyond its own deadline that a request may have for an answer of a peer. */
  private static final double PEER_ANSWER_GRACE_S = 0.15;

  /** Peers that one request is forwarded to at most. */
  private static final int MAX_HEDGES_PER_REQUEST = 2;

  private final Loop loop;
  private final PeerForwarder forwarder;
  private final HedgePolicy policy;
  private final Exchange exchange;

  /** The answer to give if nobody has a better one, or null. */
  private Answer refusal;

  private boolean answered;
  private int hedgesSent;

  /** Answers that are still to come, of this controller and of peers. */
  private int pendingAnswers = 1;

  private Loop.Timer hedgeTimer;
  private Loop.Timer deadlineTimer;

  HedgedRequest(Loop loop, PeerForwarder forwarder, HedgePolicy policy, Exchange exchange) {
    this.loop = loop;
    this.forwarder = forwarder;
    this.policy = policy;
    this.exchange = exchange;
  }

  /** Puts the request to {@code here}, and to peers once that takes long or refuses it. */
  void run(Exchange.Handler localHandler) {
    hedgeTimer = loop.after(hedgeDelayS(), this::onHedgeTimer);
    // Its user must hear of it before giving up: a peer that is away would take longer.
    deadlineTimer = loop.after(deadlineS(), this::onDeadline);
    localHandler.handle(exchange.answeredTo(answer -> onAnswer(answer, true)));
  }

  private boolean isPoll() {
    return exchange.method().equals("GET");
  }

  private double deadlineS() {
    return PEER_ANSWER_GRACE_S
        + (isPoll() ? RequestHedger.POLL_DEADLINE_S : RequestHedger.USER_DEADLINE_S);
  }

  /** A poll waits for a read that many share, so it is slow without being stuck. */
  private double hedgeDelayS() {
    return isPoll() ? POLL_HEDGE_DELAY_S : RequestHedger.HEDGE_DELAY_S;
  }

  /** Not everybody: in an outage each request would become one for every controller. */
  private int maxHedges() {
    return Math.min(forwarder.peerCount(), MAX_HEDGES_PER_REQUEST);
  }

  private void onHedgeTimer() {
    if (policy.mayHedgeSlow()) {
      hedge();
    } else if (!answered) {
      hedgeTimer = loop.after(hedgeDelayS(), this::onHedgeTimer);
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
    hedgeTimer = loop.after(hedgeDelayS(), this::onHedgeTimer);
    forwarder.forward(
        exchange, peer, RequestHedger.POLL_DEADLINE_S, answer -> onPeerAnswer(peerIndex, answer));
  }

  /** Takes a peer's answer, or null for none. */
  private void onPeerAnswer(int peerIndex, Answer answer) {
    policy.onHedgeCompleted();
    if (isDefinitive(answer)) {
      forwarder.prefer(peerIndex);
      policy.onDefinitiveAnswer(loop.now());
    } else {
      forwarder.deprioritize(peerIndex);
    }
    onAnswer(answer, false);
  }

  private void onAnswer(Answer answer, boolean isLocal) {
    if (answered) {
      return;
    }
    pendingAnswers--;
    if (isDefinitive(answer)) {
      finish(answer);
      return;
    }
    if (answer != null && (refusal == null || isLocal)) {
      refusal = answer;
    }
    boolean mayHedge = policy.mayHedgeRefused();
    if (mayHedge && (pendingAnswers == 0 || (isLocal && hedgesSent == 0))) {
      // Refused here at once: a peer may be better off.
      hedgeTimer.cancel();
      hedge();
    }
    if (pendingAnswers == 0 && refusal != null) {
      finish(refusal);
    }
  }

  private static boolean isDefinitive(Answer answer) {
    return answer != null && answer.status() != RequestHedger.SERVICE_UNAVAILABLE;
  }

  private void onDeadline() {
    if (!answered) {
      Answer noAnswer =
          Answer.later(RequestHedger.SERVICE_UNAVAILABLE, Json.error("nobody answered"));
      finish(refusal == null ? noAnswer : refusal);
    }
  }

  private void finish(Answer answer) {
    answered = true;
    hedgeTimer.cancel();
    deadlineTimer.cancel();
    exchange.to().accept(answer);
  }
}
