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
 * Selects peers and forwards users' requests to them. A peer that did not answer is skipped for
 * {@link #UNRESPONSIVE_BACKOFF_S}; the peer that last gave a definitive answer is preferred for
 * hedged requests. Used on the event loop only.
 */
final class PeerForwarder {
  /** Seconds for which no request is forwarded to a peer that did not answer one. */
  private static final double UNRESPONSIVE_BACKOFF_S = 5;

  private final Loop loop;
  private final PeerClient peerClient;
  private final Predicate<String> answeredRecently;

  /** The time in seconds until which a peer is skipped, by its address. */
  private final Map<String, Double> unresponsiveUntil = new HashMap<>();

  /** Number of selections so far, for the round robin. */
  private int roundRobinCounter;

  /** Index of the peer that hedged requests are sent to first. */
  private int preferredIndex;

  /**
   * Creates a forwarder.
   *
   * @param answeredRecently whether a member has recently answered this leader
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
   * The next responsive peer in round-robin order; null if there is none. A request that is
   * forwarded to an unreachable peer would return too late to be handled in time.
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

  /**
   * The index of the peer for the next hedge of a request, after {@code hedgesSent} earlier ones.
   */
  int hedgeIndex(int hedgesSent) {
    return (preferredIndex + hedgesSent) % peerCount();
  }

  /** The peer with the given index, in the order of the configuration. */
  Settings.Peer peer(int index) {
    return peerClient.peers().get(index);
  }

  /** True if the peer did not answer a request within the last {@link #UNRESPONSIVE_BACKOFF_S}. */
  boolean isUnresponsive(Settings.Peer peer) {
    return unresponsiveUntil.getOrDefault(peer.address(), 0.0) > loop.now();
  }

  /** Makes the peer with the given index the first for hedged requests. */
  void prefer(int index) {
    preferredIndex = index;
  }

  /**
   * Prefers the next peer for hedged requests, if the one with the given index is preferred now.
   */
  void deprioritize(int index) {
    if (preferredIndex == index) {
      preferredIndex = (index + 1) % peerCount();
    }
  }

  /**
   * Forwards a user's request to a peer; calls back with the peer's answer, or with null if there
   * was none within {@code timeoutS} seconds. In that case the peer is skipped for {@link
   * #UNRESPONSIVE_BACKOFF_S}.
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
            unresponsiveUntil.put(peer.address(), loop.now() + UNRESPONSIVE_BACKOFF_S);
          }
          done.accept(answer);
        });
  }
}
