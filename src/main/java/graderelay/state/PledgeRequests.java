package graderelay.state;

import graderelay.config.Settings;
import graderelay.net.Loop;
import graderelay.peer.PeerClient;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import graderelay.wire.PeerResponse;
import java.util.List;

/**
 * Sends pledge requests to all peers. Each answer also contains whether the peer reaches the
 * key-value store and the cancellations known to it, whether or not the pledge is granted.
 */
final class PledgeRequests {
  /** Handles the answers to one round of requests. */
  interface AnswerHandler {
    /** Handles the answer to a request that was sent at {@code sentAt} on the loop's clock. */
    void onAnswer(Settings.Peer peer, double sentAt, PeerResponse.PledgeResponse answer);
  }

  private final Loop loop;
  private final PeerClient peerClient;
  private final StoreAvailability storeAvailability;
  private final Cancellations cancellations;

  PledgeRequests(
      Loop loop,
      PeerClient peerClient,
      StoreAvailability storeAvailability,
      Cancellations cancellations) {
    this.loop = loop;
    this.peerClient = peerClient;
    this.storeAvailability = storeAvailability;
    this.cancellations = cancellations;
  }

  /** The peers that requests are sent to, in the order of the settings. */
  List<Settings.Peer> peers() {
    return peerClient.peers();
  }

  /** Sends a request to every peer; the handler is called for each answer. */
  void sendToAll(PeerRequest request, AnswerHandler handler) {
    double sentAt = loop.now();
    for (Settings.Peer peer : peerClient.peers()) {
      peerClient.send(
          peer.address(),
          request,
          PeerCodec::decodePledgeResponse,
          peerClient.timeoutS(),
          answer -> {
            if (answer != null) {
              storeAvailability.onPeerReport(answer.reachesStore());
              cancellations.onPeerKnowledge(peer.member(), sentAt, answer.cancellations());
              handler.onAnswer(peer, sentAt, answer);
            }
          });
    }
  }
}
