package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.CancellationKnowledge;
import graderelay.net.Exchange.Answer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** What passes between controllers. */
public final class MeshCodec {
  public static final String PROMISE = "promise";
  public static final String KEEP = "keep";
  public static final String SHARE = "share";
  public static final String HANDOVER = "handover";
  public static final String DEPUTY = "deputy";
  public static final String REPORT = "report";
  public static final String USER = "user";
  public static final String ADMIN = "admin";

  private MeshCodec() {}

  public static String kind(JsonNode n) {
    return n == null ? "" : n.path("kind").asText();
  }

  /** Asks a peer not to take over for a while. */
  public static ObjectNode promise(String member, long term, double seconds) {
    return Json.object()
        .put("kind", PROMISE)
        .put("member", member)
        .put("term", term)
        .put("seconds", seconds);
  }

  /** The owner asks how a peer is, and lets it make so many changes a second for the moment. */
  public static ObjectNode share(String member, long term, double changesPerS) {
    return Json.object()
        .put("kind", SHARE)
        .put("member", member)
        .put("term", term)
        .put("changes", changesPerS);
  }

  /** {@code wanted}: changes that the peer made or would have made since it was last asked. */
  public static ObjectNode shared(double wanted) {
    return Json.object().put("wanted", wanted);
  }

  /** Asks a peer not to take over while the sender keeps workers' leases alive. */
  public static ObjectNode keep(String member, double seconds) {
    return Json.object().put("kind", KEEP).put("member", member).put("seconds", seconds);
  }

  /** {@code reaches}: the peer has the state service's ear while the asker has not. */
  public static ObjectNode promised(boolean granted, boolean reaches) {
    return Json.object().put("granted", granted).put("reaches", reaches);
  }

  /** Adds what the sender knows of cancellations. */
  public static ObjectNode word(ObjectNode answer, CancellationKnowledge w) {
    ObjectNode n = answer.putObject("cancellations");
    n.put("complete", w.complete()).put("process", w.processS()).put("known", w.knownS());
    w.jobs().forEach(n.putArray("jobs")::add);
    return answer;
  }

  /** What the answer says of cancellations; nothing if its sender says nothing of them. */
  public static CancellationKnowledge word(JsonNode answer) {
    JsonNode n = answer.path("cancellations");
    List<String> jobs = new ArrayList<>();
    n.path("jobs").forEach(j -> jobs.add(j.asText()));
    return n.isObject()
        ? new CancellationKnowledge(
            n.path("complete").asBoolean(),
            n.path("process").asDouble(),
            n.path("known").asDouble(-1),
            jobs)
        : CancellationKnowledge.NONE;
  }

  /** Leaves the fleet to a peer: the sender has stopped, and this hold can be ended. */
  public static ObjectNode handover(String member, long term, long hold) {
    return Json.object()
        .put("kind", HANDOVER)
        .put("member", member)
        .put("term", term)
        .put("hold", hold);
  }

  /** Asks the owner to be its deputy in the sender's zone. */
  public static ObjectNode deputy(
      String member, String self, long n, long of, double echo, double aloneS) {
    return Json.object()
        .put("kind", DEPUTY)
        .put("member", member)
        .put("self", self)
        .put("n", n)
        .put("of", of)
        .put("echo", echo)
        .put("alone", aloneS);
  }

  /** Makes the asker a deputy under a term, from our time {@code at}. */
  public static ObjectNode granted(long term, long of, double at) {
    return Json.object().put("granted", true).put("term", term).put("of", of).put("at", at);
  }

  /** Passes on a worker's report that came to this member. */
  public static ObjectNode report(String member, byte[] body) {
    return Json.object().put("kind", REPORT).put("member", member).put("body", body);
  }

  /** Passes a request on. */
  public static ObjectNode request(String kind, String method, String path, byte[] body) {
    return Json.object()
        .put("kind", kind)
        .put("method", method)
        .put("path", path)
        .put("body", body);
  }

  /** The same, with what stood behind the path. */
  public static ObjectNode request(
      String kind, String method, String path, String query, byte[] body) {
    return request(kind, method, path, body).put("query", query);
  }

  public static ObjectNode answer(Answer a) {
    return Json.object()
        .put("status", a.status())
        .put("body", a.body())
        .put("retry", a.retryAfterS());
  }

  /** The answer to a request that was passed on, or null. */
  public static Answer answer(JsonNode n) {
    if (n == null || !n.path("status").isInt()) {
      return null;
    }
    return new Answer(
        n.get("status").asInt(), bytes(n), "application/json", n.path("retry").asInt(), false);
  }

  public static byte[] bytes(JsonNode n) {
    try {
      byte[] b = n.path("body").binaryValue();
      return b == null ? new byte[0] : b;
    } catch (IOException e) {
      return new byte[0];
    }
  }
}
