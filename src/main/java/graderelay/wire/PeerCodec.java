package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.CancellationKnowledge;
import graderelay.features.Feature;
import graderelay.net.Exchange.Answer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The form of what passes between controllers: CBOR maps. The version in production reads and
 * writes the same, see {@code ProductionFormatsTest}, so no name here may change; whoever adds a
 * field must take its absence for "not granted".
 */
public final class PeerCodec {
  private static final String KIND = "kind";
  private static final String PLEDGE = "promise";
  private static final String KEEP_PLEDGE = "keep";
  private static final String SHARE = "share";
  private static final String HANDOVER = "handover";
  private static final String DELEGATION = "deputy";
  private static final String REPORT = "report";
  private static final String USER = "user";
  private static final String ADMIN = "admin";
  private static final String IDENTIFY = "identify";
  private static final String INCARNATION = "incarnation";
  private static final String LEVEL = "level";
  private static final String GRANTED = "granted";
  private static final String CANCELLATIONS = "cancellations";

  private PeerCodec() {}

  // ---------------------------------------------------------------- requests

  /** The bytes of a request in a cluster below the first feature level. */
  public static byte[] encodeRequest(PeerRequest request) {
    return encodeRequest(request, Feature.BASE_LEVEL);
  }

  /**
   * The bytes of a request. A cluster below the first feature level sends just what versions before
   * feature levels do.
   */
  public static byte[] encodeRequest(PeerRequest request, int featureLevel) {
    ObjectNode n = tree(request);
    if (featureLevel > Feature.BASE_LEVEL) {
      n.put(LEVEL, featureLevel);
    }
    return Json.writeCbor(n);
  }

  /**
   * A request with what its sender knows.
   *
   * @param request null if it is none that this version knows
   * @param featureLevel the level that the sender takes for the cluster's
   */
  public record Envelope(PeerRequest request, int featureLevel) {}

  /** Reads a request and its sender's feature level in one pass. */
  public static Envelope decodeEnvelope(byte[] bytes) {
    JsonNode n = Json.readCbor(bytes);
    return n == null
        ? new Envelope(null, Feature.BASE_LEVEL)
        : new Envelope(request(n), n.path(LEVEL).asInt(Feature.BASE_LEVEL));
  }

  private static ObjectNode tree(PeerRequest request) {
    ObjectNode n = Json.object();
    if (request instanceof PeerRequest.Pledge p) {
      n.put(KIND, PLEDGE).put("member", p.member());
      return n.put("term", p.term()).put("seconds", p.seconds());
    } else if (request instanceof PeerRequest.KeepPledge p) {
      return n.put(KIND, KEEP_PLEDGE).put("member", p.member()).put("seconds", p.seconds());
    } else if (request instanceof PeerRequest.Share s) {
      n.put(KIND, SHARE).put("member", s.member());
      return n.put("term", s.term()).put("changes", s.changesPerS());
    } else if (request instanceof PeerRequest.Handover h) {
      n.put(KIND, HANDOVER).put("member", h.member());
      return n.put("term", h.term()).put("hold", h.sessionLease());
    } else if (request instanceof PeerRequest.Delegation d) {
      n.put(KIND, DELEGATION).put("member", d.member()).put("self", d.process());
      n.put("n", d.number()).put("of", d.grantedBy());
      return n.put("echo", d.echo()).put("alone", d.aloneS());
    } else if (request instanceof PeerRequest.RelayedReport r) {
      return n.put(KIND, REPORT).put("member", r.member()).put("body", r.body());
    } else if (request instanceof PeerRequest.UserRequest u) {
      n.put(KIND, USER).put("method", u.method());
      return n.put("path", u.path()).put("body", u.body());
    } else if (request instanceof PeerRequest.Identify i) {
      return n.put(KIND, IDENTIFY).put("member", i.member());
    } else if (request instanceof PeerRequest.AdminRequest a) {
      n.put(KIND, ADMIN).put("method", a.method());
      return n.put("path", a.path()).put("body", a.body()).put("query", a.query());
    }
    throw new IllegalArgumentException("no form for " + request);
  }

  /** The request, or null if these bytes are none that this version knows. */
  public static PeerRequest decodeRequest(byte[] bytes) {
    return decodeEnvelope(bytes).request();
  }

  private static PeerRequest request(JsonNode n) {
    String member = n.path("member").asText();
    long term = n.path("term").asLong();
    double seconds = n.path("seconds").asDouble();
    String method = n.path("method").asText();
    String path = n.path("path").asText();
    return switch (n.path(KIND).asText()) {
      case PLEDGE -> new PeerRequest.Pledge(member, term, seconds);
      case KEEP_PLEDGE -> new PeerRequest.KeepPledge(member, seconds);
      case SHARE -> new PeerRequest.Share(member, term, n.path("changes").asDouble());
      case HANDOVER -> new PeerRequest.Handover(member, term, n.path("hold").asLong());
      case DELEGATION ->
          new PeerRequest.Delegation(
              member,
              n.path("self").asText(),
              n.path("n").asLong(),
              n.path("of").asLong(),
              n.path("echo").asDouble(),
              n.path("alone").asDouble());
      case IDENTIFY -> new PeerRequest.Identify(member);
      case REPORT -> new PeerRequest.RelayedReport(member, body(n));
      case USER -> new PeerRequest.UserRequest(method, path, body(n));
      case ADMIN -> new PeerRequest.AdminRequest(method, path, n.path("query").asText(), body(n));
      default -> null;
    };
  }

  // ---------------------------------------------------------------- answers

  /** The bytes of an answer. */
  public static byte[] encodeAnswer(PeerAnswer answer) {
    return Json.writeCbor(tree(answer));
  }

  private static ObjectNode tree(PeerAnswer answer) {
    ObjectNode n = Json.object();
    if (answer instanceof PeerAnswer.Pledged p) {
      n.put(GRANTED, p.granted()).put("reaches", p.reachesState());
      return with(n, p.cancellations());
    } else if (answer instanceof PeerAnswer.Wanted w) {
      return n.put("wanted", w.changes());
    } else if (answer instanceof PeerAnswer.Received) {
      return n;
    } else if (answer instanceof PeerAnswer.Delegated d) {
      if (d.grant() != null) {
        n.put(GRANTED, true).put("term", d.grant().term());
        n.put("of", d.grant().grantedBy()).put("at", d.grant().at());
      }
      return with(n, d.cancellations());
    } else if (answer instanceof PeerAnswer.Identified i) {
      return n.put(INCARNATION, i.incarnation());
    } else if (answer instanceof PeerAnswer.Relayed r) {
      Answer a = r.answer();
      return n.put("status", a.status()).put("body", a.body()).put("retry", a.retryAfterS());
    }
    throw new IllegalArgumentException("no form for " + answer);
  }

  private static ObjectNode with(ObjectNode answer, CancellationKnowledge knowledge) {
    if (knowledge != null) {
      ObjectNode n = answer.putObject(CANCELLATIONS);
      n.put("complete", knowledge.complete()).put("process", knowledge.processS());
      n.put("known", knowledge.knownS());
      knowledge.jobs().forEach(n.putArray("jobs")::add);
    }
    return answer;
  }

  /** The answer to a request for a pledge, or null if these bytes are none. */
  public static PeerAnswer.Pledged decodePledged(byte[] bytes) {
    JsonNode n = Json.readCbor(bytes);
    return n == null
        ? null
        : new PeerAnswer.Pledged(
            n.path(GRANTED).asBoolean(), n.path("reaches").asBoolean(), cancellations(n));
  }

  /** The answer to the offer of a share, or null if these bytes are none. */
  public static PeerAnswer.Wanted decodeWanted(byte[] bytes) {
    JsonNode n = Json.readCbor(bytes);
    return n == null ? null : new PeerAnswer.Wanted(n.path("wanted").asDouble());
  }

  /** The answer to the question for a process, or null if these bytes are none. */
  public static PeerAnswer.Identified decodeIdentified(byte[] bytes) {
    JsonNode n = Json.readCbor(bytes);
    return n == null || !n.path(INCARNATION).isTextual()
        ? null
        : new PeerAnswer.Identified(n.get(INCARNATION).asText());
  }

  /** The answer to a handover, or null if these bytes are none. */
  public static PeerAnswer.Received decodeReceived(byte[] bytes) {
    return Json.readCbor(bytes) == null ? null : new PeerAnswer.Received();
  }

  /** The answer to a request for a delegation, or null if these bytes are none. */
  public static PeerAnswer.Delegated decodeDelegated(byte[] bytes) {
    JsonNode n = Json.readCbor(bytes);
    if (n == null) {
      return null;
    }
    PeerAnswer.Grant grant =
        n.path(GRANTED).asBoolean()
            ? new PeerAnswer.Grant(
                n.path("term").asLong(), n.path("of").asLong(), n.path("at").asDouble())
            : null;
    return new PeerAnswer.Delegated(grant, cancellations(n));
  }

  /** What the sender of a request that was passed on is to be told, or null if that is not here. */
  public static PeerAnswer.Relayed decodeRelayed(byte[] bytes) {
    JsonNode n = Json.readCbor(bytes);
    if (n == null || !n.path("status").isInt()) {
      return null;
    }
    return new PeerAnswer.Relayed(
        new Answer(
            n.get("status").asInt(), body(n), "application/json", n.path("retry").asInt(), false));
  }

  /** What an answer says of cancellations; nothing if its sender says nothing of them. */
  private static CancellationKnowledge cancellations(JsonNode answer) {
    JsonNode n = answer.path(CANCELLATIONS);
    if (!n.isObject()) {
      return CancellationKnowledge.NONE;
    }
    List<String> jobs = new ArrayList<>();
    n.path("jobs").forEach(job -> jobs.add(job.asText()));
    return new CancellationKnowledge(
        n.path("complete").asBoolean(),
        n.path("process").asDouble(),
        n.path("known").asDouble(-1),
        jobs);
  }

  private static byte[] body(JsonNode n) {
    try {
      byte[] body = n.path("body").binaryValue();
      return body == null ? new byte[0] : body;
    } catch (IOException e) {
      return new byte[0];
    }
  }
}
