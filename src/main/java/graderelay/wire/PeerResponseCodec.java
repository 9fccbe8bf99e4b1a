package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.KnownCancellations;
import graderelay.net.Exchange.Response;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes the fields of each {@link PeerResponse}. An absent field always means "not
 * granted" or "not known", since older versions do not send it.
 */
final class PeerResponseCodec {
  private static final String GRANTED = "granted";

  /** Wire name "reaches": whether the peer currently gets responses from the key-value store. */
  private static final String REACHES_STORE = "reaches";

  /**
   * Wire name "wanted": the number of store changes that the peer made, or would have made with
   * sufficient write capacity.
   */
  private static final String CHANGE_DEMAND = "wanted";

  private static final String TERM = "term";

  /** Wire name "of": the first term of the leader process that made the grant. */
  private static final String GRANTOR_TERM = "of";

  /** Wire name "at": time of the grant in seconds on the leader's clock. */
  private static final String LEADER_TIME = "at";

  private static final String INCARNATION = "incarnation";
  private static final String STATUS = "status";

  /** Wire name "retry": seconds after which the sender may retry, 0 if not specified. */
  private static final String RETRY_AFTER_S = "retry";

  private static final String CANCELLATIONS = "cancellations";
  private static final String COMPLETE = "complete";

  /** Wire name "process": seconds since the peer's process started. */
  private static final String PROCESS_UPTIME_S = "process";

  /** Wire name "known": seconds since the time up to which the peer knows all cancellations. */
  private static final String KNOWN_UNTIL_AGE_S = "known";

  private static final String JOBS = "jobs";

  /** Default for an absent {@link #KNOWN_UNTIL_AGE_S}: there is no such time. */
  private static final double KNOWN_UNTIL_NO_TIME = -1;

  private static final String JSON_CONTENT_TYPE = "application/json";

  private PeerResponseCodec() {}

  /** Encodes a response as a tree. */
  static ObjectNode encode(PeerResponse response) {
    ObjectNode n = Json.object();
    if (response instanceof PeerResponse.PledgeResponse pledge) {
      n.put(GRANTED, pledge.granted()).put(REACHES_STORE, pledge.reachesStore());
      return addCancellations(n, pledge.cancellations());
    } else if (response instanceof PeerResponse.LendWriteCapacityResponse lend) {
      return n.put(CHANGE_DEMAND, lend.changeDemand());
    } else if (response instanceof PeerResponse.HandoverResponse) {
      return n;
    } else if (response instanceof PeerResponse.DelegationResponse delegation) {
      if (delegation.grant() != null) {
        n.put(GRANTED, true).put(TERM, delegation.grant().term());
        n.put(GRANTOR_TERM, delegation.grant().grantorTerm())
            .put(LEADER_TIME, delegation.grant().leaderTime());
      }
      return addCancellations(n, delegation.cancellations());
    } else if (response instanceof PeerResponse.IdentifyResponse identify) {
      return n.put(INCARNATION, identify.incarnation());
    } else if (response instanceof PeerResponse.RelayedResponse relayed) {
      Response relayedResponse = relayed.response();
      return n.put(STATUS, relayedResponse.status())
          .put(PeerCodec.BODY, relayedResponse.body())
          .put(RETRY_AFTER_S, relayedResponse.retryAfterS());
    }
    throw new IllegalArgumentException("no encoding for " + response);
  }

  private static ObjectNode addCancellations(
      ObjectNode response, KnownCancellations cancellations) {
    if (cancellations != null) {
      ObjectNode n = response.putObject(CANCELLATIONS);
      n.put(COMPLETE, cancellations.complete())
          .put(PROCESS_UPTIME_S, cancellations.processUptimeS());
      n.put(KNOWN_UNTIL_AGE_S, cancellations.knownUntilAgeS());
      cancellations.jobs().forEach(n.putArray(JOBS)::add);
    }
    return response;
  }

  static PeerResponse.PledgeResponse decodePledgeResponse(JsonNode n) {
    return new PeerResponse.PledgeResponse(
        n.path(GRANTED).asBoolean(), n.path(REACHES_STORE).asBoolean(), decodeCancellations(n));
  }

  static PeerResponse.LendWriteCapacityResponse decodeLendWriteCapacityResponse(JsonNode n) {
    return new PeerResponse.LendWriteCapacityResponse(n.path(CHANGE_DEMAND).asDouble());
  }

  /** Decodes the identity of a process; returns null if the response has no incarnation. */
  static PeerResponse.IdentifyResponse decodeIdentifyResponse(JsonNode n) {
    return n.path(INCARNATION).isTextual()
        ? new PeerResponse.IdentifyResponse(n.get(INCARNATION).asText())
        : null;
  }

  static PeerResponse.DelegationResponse decodeDelegationResponse(JsonNode n) {
    PeerResponse.Grant grant =
        n.path(GRANTED).asBoolean()
            ? new PeerResponse.Grant(
                n.path(TERM).asLong(),
                n.path(GRANTOR_TERM).asLong(),
                n.path(LEADER_TIME).asDouble())
            : null;
    return new PeerResponse.DelegationResponse(grant, decodeCancellations(n));
  }

  /** Decodes the response to a relayed request; returns null if it has no status. */
  static PeerResponse.RelayedResponse decodeRelayedResponse(JsonNode n) {
    if (!n.path(STATUS).isInt()) {
      return null;
    }
    return new PeerResponse.RelayedResponse(
        new Response(
            n.get(STATUS).asInt(),
            PeerCodec.decodeBody(n),
            JSON_CONTENT_TYPE,
            n.path(RETRY_AFTER_S).asInt(),
            false));
  }

  /**
   * Decodes the cancellations in a response, {@link KnownCancellations#NONE} if it contains none.
   */
  private static KnownCancellations decodeCancellations(JsonNode response) {
    JsonNode n = response.path(CANCELLATIONS);
    if (!n.isObject()) {
      return KnownCancellations.NONE;
    }
    List<String> jobs = new ArrayList<>();
    n.path(JOBS).forEach(job -> jobs.add(job.asText()));
    return new KnownCancellations(
        n.path(COMPLETE).asBoolean(),
        n.path(PROCESS_UPTIME_S).asDouble(),
        n.path(KNOWN_UNTIL_AGE_S).asDouble(KNOWN_UNTIL_NO_TIME),
        jobs);
  }
}
