package graderelay.peer;

import graderelay.config.Settings;
import graderelay.features.FeatureGate;
import graderelay.net.Transport;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;

/** Client for the other controllers (the peers). Each request is one CBOR POST to {@link #PATH}. */
public final class PeerClient {
  /** Default timeout of a request to a peer, in seconds. */
  private static final double PEER_TIMEOUT_S = 1.0;

  /**
   * The HTTP path for all messages between controllers. It is part of the protocol and must not
   * change.
   */
  public static final String PATH = "/mesh";

  private final Transport transport;
  private final List<Settings.Peer> peers;
  private final FeatureGate gate;

  /**
   * Creates a client.
   *
   * @param gate provides the feature level that is sent with each request
   */
  public PeerClient(Transport transport, List<Settings.Peer> peers, FeatureGate gate) {
    this.transport = transport;
    this.peers = peers;
    this.gate = gate;
  }

  /** The other controllers, in the order of the configuration. */
  public List<Settings.Peer> peers() {
    return peers;
  }

  /**
   * Sends a request to a peer; calls back with the decoded answer, or with null if there was none
   * or the peer does not support the request.
   */
  public <T> void send(
      String address,
      PeerRequest request,
      Function<byte[], T> decoder,
      double timeoutS,
      Consumer<T> done) {
    transport.call(
        address,
        "POST",
        PATH,
        PeerCodec.encodeRequest(request, gate.current().level()),
        timeoutS,
        response -> done.accept(response.isOk() ? decoder.apply(response.body()) : null));
  }

  /** The address of a member, or null if it is not a peer. */
  public String addressOf(String member) {
    for (Settings.Peer peer : peers) {
      if (peer.member().equals(member)) {
        return peer.address();
      }
    }
    return null;
  }

  /** The default timeout of a request to a peer, in seconds. */
  public double timeoutS() {
    return PEER_TIMEOUT_S;
  }
}
