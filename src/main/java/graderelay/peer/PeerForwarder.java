package graderelay.peer;

import graderelay.config.Settings;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
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
  private static final double PASS_OVER_S = 5;

  private final Loop loop;
  private final PeerClient peerClient;
  private final Predicate<String> hears;

  /** The time in seconds until which a peer is passed over, by its address. */
  private final Map<String, Double> passedOverUntil = new HashMap<>();

  /** Counts the turns of the round robin. */
  private int turn;

  /** Index of the peer that hedged requests go to first. */
  private int preferred;

  /**
   * Makes a forwarder.
   *
   * @param hears whether a member has answered this leader a moment ago
   */
  PeerForwarder(Loop loop, PeerClient peerClient, Predicate<String> hears) {
    this.loop = loop;
    this.peerClient = peerClient;
    this.hears = hears;
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
      Settings.Peer peer = peerClient.peers().get(turn++ % peerCount());
      if (!isPassedOver(peer) && hears.test(peer.member())) {
        return peer;
      }
    }
    return null;
  }

  /** The index of the peer for a request's next hedge, after {@code hedges} earlier ones. */
  int hedgeIndex(int hedges) {
    return (preferred + hedges) % peerCount();
  }

  /** The peer of that index, in the order of the settings. */
  Settings.Peer peer(int index) {
    return peerClient.peers().get(index);
  }

  /** True if the peer gave no answer a moment ago. */
  boolean isPassedOver(Settings.Peer peer) {
    return passedOverUntil.getOrDefault(peer.address(), 0.0) > loop.now();
  }

  /** Makes the peer of that index the first for hedged requests. */
  void prefer(int index) {
    preferred = index;
  }

  /** Prefers the peer after this one, if this one was the first for hedged requests. */
  void preferOtherThan(int index) {
    if (preferred == index) {
      preferred = (index + 1) % peerCount();
    }
  }

  /**
   * Forwards a user's request to a peer; calls back with the peer's answer, or with null if none
   * came within {@code timeoutS} seconds, and then the peer is passed over for {@link
   * #PASS_OVER_S}.
   */
  void forward(Exchange exchange, Settings.Peer peer, double timeoutS, Consumer<Response> done) {
    peerClient.send(
        peer.address(),
        new PeerRequest.RelayedUserRequest(exchange.method(), exchange.path(), exchange.body()),
        PeerCodec::decodeRelayedResponse,
        timeoutS,
        relayed -> {
          Response answer = relayed == null ? null : relayed.response();
          if (answer == null) {
            passedOverUntil.put(peer.address(), loop.now() + PASS_OVER_S);
          }
          done.accept(answer);
        });
  }
}
