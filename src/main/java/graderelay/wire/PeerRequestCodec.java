package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Encodes and decodes the fields of each {@link PeerRequest}; {@link PeerCodec} adds the envelope.
 */
final class PeerRequestCodec {
  static final String KIND = "kind";

  /** Wire name "promise": a request of the leader for an election pledge. */
  private static final String PLEDGE = "promise";

  /** Wire name "keep": a request for an election pledge while there is no leader. */
  private static final String LEADERLESS_PLEDGE = "keep";

  private static final String LEND_WRITE_CAPACITY = "share";
  private static final String HANDOVER = "handover";

  /** Wire name "deputy": a request to become a lease delegate. */
  private static final String DELEGATION = "deputy";

  private static final String IDENTIFY = "identify";

  /** Wire name "report": a relayed heartbeat of a worker. */
  private static final String RELAYED_HEARTBEAT = "report";

  private static final String RELAYED_USER_REQUEST = "user";
  private static final String RELAYED_ADMIN_REQUEST = "admin";

  private static final String MEMBER = "member";
  private static final String TERM = "term";
  private static final String SECONDS = "seconds";
  private static final String CHANGES_PER_S = "changes";

  /** Wire name "hold": the id of the leader's session lease. */
  private static final String SESSION_LEASE = "hold";

  /** Wire name "self": identifies the sending process among all processes of the same member. */
  private static final String INCARNATION = "self";

  /** Wire name "n": the sequence number of the request. */
  private static final String SEQUENCE_NUMBER = "n";

  /** Wire name "of": the first term of the leader process that made the current grant. */
  private static final String GRANTOR_TERM = "of";

  private static final String LEADER_TIME = "echo";
  private static final String SINCE_AUTONOMOUS_RESPONSE_S = "alone";
  private static final String METHOD = "method";
  private static final String PATH = "path";
  private static final String QUERY = "query";

  private PeerRequestCodec() {}

  /** Encodes a request as a tree. */
  static ObjectNode encode(PeerRequest request) {
    if (request instanceof PeerRequest.Pledge pledge) {
      return encodeMember(PLEDGE, pledge.member())
          .put(TERM, pledge.term())
          .put(SECONDS, pledge.seconds());
    } else if (request instanceof PeerRequest.LeaderlessPledge leaderlessPledge) {
      return encodeMember(LEADERLESS_PLEDGE, leaderlessPledge.member())
          .put(SECONDS, leaderlessPledge.seconds());
    } else if (request instanceof PeerRequest.LendWriteCapacity lend) {
      return encodeMember(LEND_WRITE_CAPACITY, lend.member())
          .put(TERM, lend.term())
          .put(CHANGES_PER_S, lend.changesPerS());
    } else if (request instanceof PeerRequest.Handover handover) {
      return encodeMember(HANDOVER, handover.member())
          .put(TERM, handover.term())
          .put(SESSION_LEASE, handover.sessionLease());
    } else if (request instanceof PeerRequest.Delegation delegation) {
      return encodeDelegation(delegation);
    } else if (request instanceof PeerRequest.RelayedHeartbeat heartbeat) {
      return encodeMember(RELAYED_HEARTBEAT, heartbeat.member())
          .put(PeerCodec.BODY, heartbeat.body());
    } else if (request instanceof PeerRequest.RelayedUserRequest userRequest) {
      return encodeRelayed(
          RELAYED_USER_REQUEST, userRequest.method(), userRequest.path(), userRequest.body());
    } else if (request instanceof PeerRequest.Identify identify) {
      return encodeMember(IDENTIFY, identify.member());
    } else if (request instanceof PeerRequest.RelayedAdminRequest adminRequest) {
      return encodeRelayed(
              RELAYED_ADMIN_REQUEST,
              adminRequest.method(),
              adminRequest.path(),
              adminRequest.body())
          .put(QUERY, adminRequest.query());
    }
    throw new IllegalArgumentException("no encoding for " + request);
  }

  private static ObjectNode encodeMember(String kind, String member) {
    return Json.object().put(KIND, kind).put(MEMBER, member);
  }

  private static ObjectNode encodeDelegation(PeerRequest.Delegation delegation) {
    return encodeMember(DELEGATION, delegation.member())
        .put(INCARNATION, delegation.incarnation())
        .put(SEQUENCE_NUMBER, delegation.sequenceNumber())
        .put(GRANTOR_TERM, delegation.grantorTerm())
        .put(LEADER_TIME, delegation.leaderTime())
        .put(SINCE_AUTONOMOUS_RESPONSE_S, delegation.sinceAutonomousResponseS());
  }

  private static ObjectNode encodeRelayed(String kind, String method, String path, byte[] body) {
    return Json.object()
        .put(KIND, kind)
        .put(METHOD, method)
        .put(PATH, path)
        .put(PeerCodec.BODY, body);
  }

  /** Decodes a request; returns null if this version does not support it. */
  static PeerRequest decode(JsonNode n) {
    String member = n.path(MEMBER).asText();
    long term = n.path(TERM).asLong();
    double seconds = n.path(SECONDS).asDouble();
    String method = n.path(METHOD).asText();
    String path = n.path(PATH).asText();
    return switch (n.path(KIND).asText()) {
      case PLEDGE -> new PeerRequest.Pledge(member, term, seconds);
      case LEADERLESS_PLEDGE -> new PeerRequest.LeaderlessPledge(member, seconds);
      case LEND_WRITE_CAPACITY ->
          new PeerRequest.LendWriteCapacity(member, term, n.path(CHANGES_PER_S).asDouble());
      case HANDOVER -> new PeerRequest.Handover(member, term, n.path(SESSION_LEASE).asLong());
      case DELEGATION -> decodeDelegation(member, n);
      case IDENTIFY -> new PeerRequest.Identify(member);
      case RELAYED_HEARTBEAT -> new PeerRequest.RelayedHeartbeat(member, PeerCodec.decodeBody(n));
      case RELAYED_USER_REQUEST ->
          new PeerRequest.RelayedUserRequest(method, path, PeerCodec.decodeBody(n));
      case RELAYED_ADMIN_REQUEST ->
          new PeerRequest.RelayedAdminRequest(
              method, path, n.path(QUERY).asText(), PeerCodec.decodeBody(n));
      default -> null;
    };
  }

  private static PeerRequest.Delegation decodeDelegation(String member, JsonNode n) {
    return new PeerRequest.Delegation(
        member,
        n.path(INCARNATION).asText(),
        n.path(SEQUENCE_NUMBER).asLong(),
        n.path(GRANTOR_TERM).asLong(),
        n.path(LEADER_TIME).asDouble(),
        n.path(SINCE_AUTONOMOUS_RESPONSE_S).asDouble());
  }
}
