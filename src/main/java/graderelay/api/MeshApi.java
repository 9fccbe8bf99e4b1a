package graderelay.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.mesh.MeshClient;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.state.Cancellations;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.wire.Json;
import graderelay.wire.MeshCodec;
import java.util.function.Consumer;
import java.util.function.Function;

/** Answers the other controllers. */
public final class MeshApi {
  /** Takes a worker's report that came to another controller. */
  public interface Relayed {
    void accept(String via, byte[] body, Consumer<Answer> to);
  }

  private final Leadership ownership;
  private final StateClient state;
  private final Cancellations cancellations;
  private final Relayed reports;
  private final Function<JsonNode, ObjectNode> deputies;
  private final Exchange.Handler users;

  public MeshApi(
      Leadership ownership,
      StateClient state,
      Cancellations cancellations,
      Relayed reports,
      Function<JsonNode, ObjectNode> deputies,
      Exchange.Handler users) {
    this.ownership = ownership;
    this.state = state;
    this.cancellations = cancellations;
    this.reports = reports;
    this.deputies = deputies;
    this.users = users;
  }

  public void handle(Exchange e) {
    JsonNode n =
        e.method().equals("POST") && e.path().equals(MeshClient.PATH)
            ? Json.readCbor(e.body())
            : null;
    switch (MeshCodec.kind(n)) {
      case MeshCodec.PROMISE -> {
        boolean granted =
            ownership.promise(
                n.path("member").asText(), n.path("term").asLong(), n.path("seconds").asDouble());
        answer(e, promised(granted));
      }
      case MeshCodec.KEEP ->
          answer(e, promised(ownership.promiseKeep(n.path("seconds").asDouble())));
      case MeshCodec.SHARE -> {
        ownership.takeShare(n.path("term").asLong(), n.path("changes").asDouble());
        answer(e, MeshCodec.shared(state.wantedChanges()));
      }
      case MeshCodec.HANDOVER -> {
        ownership.takeHandover(
            n.path("member").asText(), n.path("term").asLong(), n.path("hold").asLong());
        answer(e, Json.object());
      }
      case MeshCodec.DEPUTY -> answer(e, deputies.apply(n));
      case MeshCodec.REPORT ->
          reports.accept(
              n.path("member").asText(), MeshCodec.bytes(n), a -> answer(e, MeshCodec.answer(a)));
      case MeshCodec.USER, MeshCodec.ADMIN ->
          users.handle(
              new Exchange(
                  n.path("method").asText(),
                  n.path("path").asText(),
                  (n.path("query").asText().isEmpty() ? "" : n.path("query").asText() + "&")
                      + "relayed",
                  MeshCodec.bytes(n),
                  a -> answer(e, MeshCodec.answer(a))));
      default -> e.to().accept(Answer.json(404, Json.error("no such message")));
    }
  }

  /** The asker renews leases: what we know of cancellations goes with it, granted or not. */
  private ObjectNode promised(boolean granted) {
    return MeshCodec.word(MeshCodec.promised(granted, state.reached()), cancellations.word());
  }

  private static void answer(Exchange e, ObjectNode n) {
    e.to().accept(new Answer(200, Json.writeCbor(n), "application/cbor", 0, false));
  }
}
