package graderelay.peer;

import graderelay.config.Settings;
import graderelay.features.FeatureGate;
import graderelay.net.Transport;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;

/** The client of the other controllers (the peers): one POST of CBOR to {@link #PATH} each. */
public final class PeerClient {
  /** Seconds to wait for another controller. */
  private static final double PEER_TIMEOUT_S = 1.0;

  /** The one path that messages between controllers go to; a wire name, so it stays. */
  public static final String PATH = "/mesh";

  private final Transport transport;
  private final List<Settings.Peer> peers;
  private final FeatureGate gate;

  /**
   * Makes a client.
   *
   * @param gate knows the feature level that goes with each request
   */
  public PeerClient(Transport transport, List<Settings.Peer> peers, FeatureGate gate) {
    this.transport = transport;
    this.peers = peers;
    this.gate = gate;
  }

  /** The other controllers, in the order of the settings. */
  public List<Settings.Peer> peers() {
    return peers;
  }

  /**
   * Asks a peer; calls back with its answer, or with null if there was none or the peer does not
   * know the request.
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
        response -> done.accept(response.ok() ? decoder.apply(response.body()) : null));
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

  /** How long to wait for a peer's answer, in seconds. */
  public double timeoutS() {
    return PEER_TIMEOUT_S;
  }
}
