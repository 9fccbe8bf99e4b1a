package graderelay.peer;

import graderelay.config.Settings;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.net.Loop;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Forwards users' requests to peers and chooses the peer: one that gave no answer is passed over
 * for some seconds, and the one that last decided a request is preferred for hedged requests. Used
 * on the event loop only.
 */
final class PeerForwarder {
  /** Seconds for which no request is forwarded to a peer that gave no answer to one. */
  private static final double UNRESPONSIVE_BACKOFF_S = 5;

  private final Loop loop;
  private final PeerClient peerClient;
  private final Predicate<String> answeredRecently;

  /** The time in seconds until which a peer is passed over, by its address. */
  private final Map<String, Double> unresponsiveUntil = new HashMap<>();

  /** Counts the turns of the round robin. */
  private int roundRobinCounter;

  /** Index of the peer that hedged requests go to first. */
  private int preferredIndex;

  /**
   * Makes a forwarder.
   *
   * @param hears whether a member has answered this leader a moment ago
   */
  PeerForwarder(Loop loop, PeerClient peerClient, Predicate<String> answeredRecently) {
    this.loop = loop;
    this.peerClient = peerClient;
    this.answeredRecently = answeredRecently;
  }

  /** The number of peers. */
  int peerCount() {
    return peerClient.peers().size();
  }

  /**
   * The peers in turn, without those that gave no answer a moment ago; null if none is left. What
   * is forwarded to one that is down comes back too late.
   */
  Settings.Peer nextResponsive() {
    for (int i = 0; i < peerCount(); i++) {
      Settings.Peer peer = peerClient.peers().get(roundRobinCounter++ % peerCount());
      if (!isUnresponsive(peer) && answeredRecently.test(peer.member())) {
        return peer;
      }
    }
    return null;
  }

  /** The index of the peer for a request's next hedge, after {@code hedges} earlier ones. */
  int hedgeIndex(int hedgesSent) {
    return (preferredIndex + hedgesSent) % peerCount();
  }

  /** The peer of that index, in the order of the settings. */
  Settings.Peer peer(int index) {
    return peerClient.peers().get(index);
  }

  /** True if the peer gave no answer a moment ago. */
  boolean isUnresponsive(Settings.Peer peer) {
    return unresponsiveUntil.getOrDefault(peer.address(), 0.0) > loop.now();
  }

  /** Makes the peer of that index the first for hedged requests. */
  void prefer(int index) {
    preferredIndex = index;
  }

  /** Prefers the peer after this one, if this one was the first for hedged requests. */
  void deprioritize(int index) {
    if (preferredIndex == index) {
      preferredIndex = (index + 1) % peerCount();
    }
  }

  /**
   * Forwards a user's request to a peer; calls back with the peer's answer, or with null if none
   * came within {@code timeoutS} seconds, and then the peer is passed over for {@link
   * #UNRESPONSIVE_BACKOFF_S}.
   */
  void forward(Exchange exchange, Settings.Peer peer, double timeoutS, Consumer<Answer> done) {
    peerClient.send(
        peer.address(),
        new PeerRequest.UserRequest(exchange.method(), exchange.path(), exchange.body()),
        PeerCodec::decodeRelayed,
        timeoutS,
        relayed -> {
          Answer answer = relayed == null ? null : relayed.answer();
          if (answer == null) {
            unresponsiveUntil.put(peer.address(), loop.now() + UNRESPONSIVE_BACKOFF_S);
          }
          done.accept(answer);
        });
  }
}
