package graderelay.peer;

import graderelay.config.Settings;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
import graderelay.net.Loop;
import graderelay.wire.Json;

/**
 * One user's request put to this controller and, as a hedged request, to up to {@link #MOST_HEDGES}
 * peers. The first answer that is not a refusal goes to the user. Used on the event loop only.
 */
final class HedgedRequest {
  /** Seconds before a hedge of a poll: it waits for a read that many share; its user waits 2 s. */
  private static final double POLL_HEDGE_S = 0.7;

  /** Seconds beyond its own deadline that a request may have for an answer of a peer. */
  private static final double HEDGED_S = 0.15;

  /** Peers that one request is forwarded to at most. */
  private static final int MOST_HEDGES = 2;

  private final Loop loop;
  private final PeerForwarder forwarder;
  private final HedgePolicy policy;
  private final Exchange exchange;

  /** The answer to give if nobody has a better one, or null. */
  private Response refusal;

  private boolean answered;
  private int hedges;

  /** Answers that are still to come, of this controller and of peers. */
  private int pending = 1;

  private Loop.Timer hedgeTimer;
  private Loop.Timer deadlineTimer;

  HedgedRequest(Loop loop, PeerForwarder forwarder, HedgePolicy policy, Exchange exchange) {
    this.loop = loop;
    this.forwarder = forwarder;
    this.policy = policy;
    this.exchange = exchange;
  }

  /** Puts the request to {@code here}, and to peers once that takes long or refuses it. */
  void run(Exchange.Handler here) {
    hedgeTimer = loop.schedule(hedgeDelayS(), this::onSlow);
    // Its user must hear of it before giving up: a peer that is away would take longer.
    deadlineTimer = loop.schedule(deadlineS(), this::giveUp);
    here.handle(exchange.withResponder(answer -> onAnswer(answer, true)));
  }

  private boolean isPoll() {
    return exchange.method().equals("GET");
  }

  private double deadlineS() {
    return HEDGED_S + (isPoll() ? RequestHedger.POLL_DEADLINE_S : RequestHedger.USER_DEADLINE_S);
  }

  /** A poll waits for a read that many share, so it is slow without being stuck. */
  private double hedgeDelayS() {
    return isPoll() ? POLL_HEDGE_S : RequestHedger.HEDGE_S;
  }

  /** Not everybody: in an outage each request would become one for every controller. */
  private int mostHedges() {
    return Math.min(forwarder.peerCount(), MOST_HEDGES);
  }

  private void onSlow() {
    if (policy.mayHedgeSlow()) {
      hedge();
    } else if (!answered) {
      hedgeTimer = loop.schedule(hedgeDelayS(), this::onSlow);
    }
  }

  private void hedge() {
    if (answered || hedges >= mostHedges()) {
      return;
    }
    int index = forwarder.hedgeIndex(hedges++);
    Settings.Peer peer = forwarder.peer(index);
    if (forwarder.isPassedOver(peer)) {
      hedge();
      return;
    }
    pending++;
    policy.started();
    hedgeTimer = loop.schedule(hedgeDelayS(), this::onSlow);
    forwarder.forward(
        exchange, peer, RequestHedger.POLL_DEADLINE_S, answer -> onPeerAnswer(index, answer));
  }

  /** Takes a peer's answer, or null for none. */
  private void onPeerAnswer(int index, Response answer) {
    policy.ended();
    if (isDecision(answer)) {
      forwarder.prefer(index);
      policy.helped(loop.now());
    } else {
      forwarder.preferOtherThan(index);
    }
    onAnswer(answer, false);
  }

  private void onAnswer(Response answer, boolean fromHere) {
    if (answered) {
      return;
    }
    pending--;
    if (isDecision(answer)) {
      finish(answer);
      return;
    }
    if (answer != null && (refusal == null || fromHere)) {
      refusal = answer;
    }
    boolean mayHedge = policy.mayHedgeRefused();
    if (mayHedge && (pending == 0 || (fromHere && hedges == 0))) {
      // Refused here at once: a peer may be better off.
      hedgeTimer.cancel();
      hedge();
    }
    if (pending == 0 && refusal != null) {
      finish(refusal);
    }
  }

  private static boolean isDecision(Response answer) {
    return answer != null && answer.status() != RequestHedger.REFUSED;
  }

  private void giveUp() {
    if (!answered) {
      Response nobody =
          Response.unavailable(RequestHedger.REFUSED, Json.errorBody("nobody answered"));
      finish(refusal == null ? nobody : refusal);
    }
  }

  private void finish(Response answer) {
    answered = true;
    hedgeTimer.cancel();
    deadlineTimer.cancel();
    exchange.responder().accept(answer);
  }
}
