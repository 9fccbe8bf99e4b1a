package graderelay.state;

import graderelay.config.Settings;
import graderelay.net.Loop;
import graderelay.peer.PeerClient;
import graderelay.wire.PeerAnswer;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import java.util.List;

/**
 * Sends requests for election pledges to all peers. Each answer also tells whether the peer reaches
 * the key-value store and which cancellations it knows of, whether or not it grants the pledge.
 */
final class PledgeRequests {
  /** Takes the answers to one round of requests. */
  interface AnswerHandler {
    /** A peer answered a request that was sent at {@code sentAt}, in the loop's seconds. */
    void onAnswer(Settings.Peer peer, double sentAt, PeerAnswer.Pledged answer);
  }

  private final Loop loop;
  private final PeerClient peerClient;
  private final StoreAvailability store;
  private final Cancellations cancellations;

  PledgeRequests(
      Loop loop, PeerClient peerClient, StoreAvailability store, Cancellations cancellations) {
    this.loop = loop;
    this.peerClient = peerClient;
    this.store = store;
    this.cancellations = cancellations;
  }

  /** The peers that are asked, in the order of the settings. */
  List<Settings.Peer> peers() {
    return peerClient.peers();
  }

  /** Sends a request to every peer; the handler hears of those that answer. */
  void sendToAll(PeerRequest request, AnswerHandler handler) {
    double sentAt = loop.now();
    for (Settings.Peer peer : peerClient.peers()) {
      peerClient.send(
          peer.address(),
          request,
          PeerCodec::decodePledged,
          peerClient.timeoutS(),
          answer -> {
            if (answer != null) {
              store.onPeerReport(answer.reachesState());
              cancellations.onPeerKnowledge(peer.member(), sentAt, answer.cancellations());
              handler.onAnswer(peer, sentAt, answer);
            }
          });
    }
  }
}
