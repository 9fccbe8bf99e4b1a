package graderelay.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
import graderelay.net.Reply;
import graderelay.net.Transport;
import graderelay.wire.FeatureCodec;
import graderelay.wire.Json;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import graderelay.wire.StateCodec;

/**
 * Makes a controller behave as the version in production does where the present one differs: it
 * neither reads nor writes the fields that it doesn't know, so that it drops them from every record
 * that it rewrites, and it can't read packed task batches. Which fields it knows is what {@code
 * ProductionFormatsTest} checks against that version's own bytes.
 */
final class ProductionVersion {
  private final InvariantChecker invariants;

  ProductionVersion(InvariantChecker invariants) {
    this.invariants = invariants;
  }

  /** A user's request as this version understands it. */
  static Exchange request(Exchange e) {
    JsonNode body = e.body().length == 0 ? null : Json.read(e.body());
    if (body instanceof ObjectNode submission && submission.has("awaits")) {
      submission.remove("awaits");
      return new Exchange(e.method(), e.path(), e.query(), Json.write(submission), e.responder());
    }
    return e;
  }

  /** The way to the outside, on which the store's records are those of this version. */
  Transport transport(Transport outside, String stateAddress) {
    return (address, method, path, body, timeoutS, done) -> {
      if (!address.equals(stateAddress)) {
        outside.call(address, method, path, body, timeoutS, done);
        return;
      }
      outside.call(
          address, method, path, written(body), timeoutS, reply -> done.accept(read(path, reply)));
    };
  }

  /** A controller's request as this version understands it. */
  static void peer(Exchange e, Exchange.Handler handler) {
    if (PeerCodec.decodeRequest(e.body()) instanceof PeerRequest.Identify) {
      e.responder().accept(Response.json(404, Json.errorBody("no such message")));
    } else {
      handler.handle(e);
    }
  }

  /** This version knows nothing of feature levels: it neither asks for one nor sees any. */
  private static boolean unknown(String key) {
    return key.startsWith(FeatureCodec.ROOT) || key.startsWith(FeatureCodec.HINTS);
  }

  private static void forgetUnknown(JsonNode list, String... names) {
    for (var it = list.iterator(); it.hasNext(); ) {
      JsonNode entry = it.next();
      for (String name : names) {
        if (unknown(entry.path(name).asText())) {
          it.remove();
          break;
        }
      }
    }
  }

  private byte[] written(byte[] body) {
    JsonNode transaction = body == null ? null : Json.read(body);
    if (transaction == null || !transaction.has("if")) {
      return body;
    }
    forgetUnknown(transaction.path("if"), "key");
    for (JsonNode change : transaction.path("then")) {
      forget(change.path("put").asText(), change.path("data"));
    }
    return Json.write(transaction);
  }

  private Reply read(String path, Reply reply) {
    JsonNode answer = reply.body().length == 0 ? null : Json.read(reply.body());
    if (answer == null) {
      return reply;
    }
    forgetUnknown(answer.path("items"), "key");
    forgetUnknown(answer.path("news"), "put", "drop");
    for (JsonNode item : answer.path("items")) {
      forget(item.path("key").asText(), item.path("data"));
    }
    for (JsonNode change : answer.path("news")) {
      forget(change.path("put").asText(), change.path("data"));
    }
    if (path.startsWith("/store/")) {
      forget(answer.path("key").asText(), answer.path("data"));
    }
    return new Reply(reply.status(), Json.write(answer), reply.sent());
  }

  /** Takes out of a record what this version doesn't know. */
  private void forget(String key, JsonNode value) {
    if (!(value instanceof ObjectNode record)) {
      return;
    }
    if (key.equals(StateCodec.TERM)) {
      record.remove("first");
    } else if (key.startsWith(StateCodec.JOBS)) {
      record.remove("needs");
    } else if (key.startsWith(StateCodec.FINAL_STATES)) {
      record.remove("at");
    } else if (key.startsWith(StateCodec.TASK_BATCHES) && !record.has("done") && !record.has("a")) {
      invariants.unreadable(key);
    }
  }
}
