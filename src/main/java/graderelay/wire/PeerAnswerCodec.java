package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.KnownCancellations;
import graderelay.net.Exchange.Response;
import java.util.ArrayList;
import java.util.List;

/**
 * The fields of each {@link PeerAnswer}. The absence of a field always means "not granted" or "not
 * known": an older peer doesn't send it.
 */
final class PeerAnswerCodec {
  private static final String GRANTED = "granted";

  /** Wire name "reaches": the peer is served by the key-value store at the moment. */
  private static final String REACHES_STORE = "reaches";

  /** Wire name "wanted": the store changes that the peer made or would have made. */
  private static final String WANTED_CHANGES = "wanted";

  private static final String TERM = "term";

  /** Wire name "of": the first term of the leader's process, which made the grant. */
  private static final String GRANTED_BY = "of";

  /** Wire name "at": the leader's time of the grant in seconds. */
  private static final String GRANTED_AT = "at";

  private static final String INCARNATION = "incarnation";
  private static final String STATUS = "status";

  /** Wire name "retry": seconds after which the sender may retry, 0 if nothing is said. */
  private static final String RETRY_AFTER_S = "retry";

  private static final String CANCELLATIONS = "cancellations";
  private static final String COMPLETE = "complete";

  /** Wire name "process": seconds since the peer's process began. */
  private static final String PROCESS_S = "process";

  /** Wire name "known": seconds since the time up to which the peer knows cancellations. */
  private static final String KNOWN_S = "known";

  private static final String JOBS = "jobs";

  /** What an absent {@link #KNOWN_S} reads as: the peer knows of no time. */
  private static final double KNOWN_OF_NO_TIME = -1;

  private static final String JSON = "application/json";

  private PeerAnswerCodec() {}

  /** The tree of an answer. */
  static ObjectNode encode(PeerAnswer answer) {
    ObjectNode n = Json.object();
    if (answer instanceof PeerAnswer.Pledged pledged) {
      n.put(GRANTED, pledged.granted()).put(REACHES_STORE, pledged.reachesState());
      return withCancellations(n, pledged.cancellations());
    } else if (answer instanceof PeerAnswer.Wanted wanted) {
      return n.put(WANTED_CHANGES, wanted.changes());
    } else if (answer instanceof PeerAnswer.Received) {
      return n;
    } else if (answer instanceof PeerAnswer.Delegated delegated) {
      if (delegated.grant() != null) {
        n.put(GRANTED, true).put(TERM, delegated.grant().term());
        n.put(GRANTED_BY, delegated.grant().grantedBy()).put(GRANTED_AT, delegated.grant().at());
      }
      return withCancellations(n, delegated.cancellations());
    } else if (answer instanceof PeerAnswer.Identified identified) {
      return n.put(INCARNATION, identified.incarnation());
    } else if (answer instanceof PeerAnswer.Relayed relayed) {
      Response passedOn = relayed.answer();
      return n.put(STATUS, passedOn.status())
          .put(PeerCodec.BODY, passedOn.body())
          .put(RETRY_AFTER_S, passedOn.retryAfterS());
    }
    throw new IllegalArgumentException("no form for " + answer);
  }

  private static ObjectNode withCancellations(ObjectNode answer, KnownCancellations knowledge) {
    if (knowledge != null) {
      ObjectNode n = answer.putObject(CANCELLATIONS);
      n.put(COMPLETE, knowledge.complete()).put(PROCESS_S, knowledge.processUptimeS());
      n.put(KNOWN_S, knowledge.knownUntilAgeS());
      knowledge.jobs().forEach(n.putArray(JOBS)::add);
    }
    return answer;
  }

  static PeerAnswer.Pledged decodePledged(JsonNode n) {
    return new PeerAnswer.Pledged(
        n.path(GRANTED).asBoolean(), n.path(REACHES_STORE).asBoolean(), decodeCancellations(n));
  }

  static PeerAnswer.Wanted decodeWanted(JsonNode n) {
    return new PeerAnswer.Wanted(n.path(WANTED_CHANGES).asDouble());
  }

  /** Null if the answer names no process. */
  static PeerAnswer.Identified decodeIdentified(JsonNode n) {
    return n.path(INCARNATION).isTextual()
        ? new PeerAnswer.Identified(n.get(INCARNATION).asText())
        : null;
  }

  static PeerAnswer.Delegated decodeDelegated(JsonNode n) {
    PeerAnswer.Grant grant =
        n.path(GRANTED).asBoolean()
            ? new PeerAnswer.Grant(
                n.path(TERM).asLong(), n.path(GRANTED_BY).asLong(), n.path(GRANTED_AT).asDouble())
            : null;
    return new PeerAnswer.Delegated(grant, decodeCancellations(n));
  }

  /** Null if there is no status for the sender of the request that was passed on. */
  static PeerAnswer.Relayed decodeRelayed(JsonNode n) {
    if (!n.path(STATUS).isInt()) {
      return null;
    }
    return new PeerAnswer.Relayed(
        new Response(
            n.get(STATUS).asInt(),
            PeerCodec.decodeBody(n),
            JSON,
            n.path(RETRY_AFTER_S).asInt(),
            false));
  }

  /** What an answer says of cancellations; nothing if its sender says nothing of them. */
  private static KnownCancellations decodeCancellations(JsonNode answer) {
    JsonNode n = answer.path(CANCELLATIONS);
    if (!n.isObject()) {
      return KnownCancellations.NONE;
    }
    List<String> jobs = new ArrayList<>();
    n.path(JOBS).forEach(job -> jobs.add(job.asText()));
    return new KnownCancellations(
        n.path(COMPLETE).asBoolean(),
        n.path(PROCESS_S).asDouble(),
        n.path(KNOWN_S).asDouble(KNOWN_OF_NO_TIME),
        jobs);
  }
}
