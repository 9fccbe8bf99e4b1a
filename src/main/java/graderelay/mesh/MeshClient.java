package graderelay.mesh;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.config.Settings;
import graderelay.constants.Constants;
import graderelay.net.Transport;
import graderelay.wire.Json;
import java.util.List;
import java.util.function.Consumer;

/** Speaks to the other controllers, in CBOR. */
public final class MeshClient {
  /** The one path that messages between controllers go to. */
  public static final String PATH = "/mesh";

  private final Transport transport;
  private final List<Settings.Peer> peers;

  public MeshClient(Transport transport, List<Settings.Peer> peers) {
    this.transport = transport;
    this.peers = peers;
  }

  public List<Settings.Peer> peers() {
    return peers;
  }

  /** Sends a message; calls back with the answer, or with null if there was none. */
  public void send(String address, JsonNode message, double timeoutS, Consumer<JsonNode> done) {
    transport.call(
        address,
        "POST",
        PATH,
        Json.writeCbor(message),
        timeoutS,
        r -> done.accept(r.ok() ? Json.readCbor(r.body()) : null));
  }

  /** The address of a member, or null if it is not a peer. */
  public String addressOf(String member) {
    for (Settings.Peer p : peers) {
      if (p.member().equals(member)) {
        return p.address();
      }
    }
    return null;
  }

  public double timeoutS() {
    return Constants.MESH_TIMEOUT_S;
  }
}
