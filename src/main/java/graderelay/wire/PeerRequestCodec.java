package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The fields of each {@link PeerRequest}; {@link PeerCodec} has the envelope around them. */
final class PeerRequestCodec {
  static final String KIND = "kind";

  /** Wire name "promise": a request for an election pledge by the leader. */
  private static final String PLEDGE = "promise";

  /** Wire name "keep": a request for an election pledge while there is no leader. */
  private static final String LEADERLESS_PLEDGE = "keep";

  private static final String SHARE = "share";
  private static final String HANDOVER = "handover";

  /** Wire name "deputy": a request to be a lease delegate. */
  private static final String DELEGATION = "deputy";

  private static final String IDENTIFY = "identify";

  /** Wire name "report": a worker's heartbeat that is passed on. */
  private static final String HEARTBEAT = "report";

  private static final String USER = "user";
  private static final String ADMIN = "admin";

  private static final String MEMBER = "member";
  private static final String TERM = "term";
  private static final String SECONDS = "seconds";
  private static final String CHANGES_PER_S = "changes";

  /** Wire name "hold": the id of the leader's session lease. */
  private static final String SESSION_LEASE = "hold";

  /** Wire name "self": tells the asking process from earlier ones of the same member. */
  private static final String INCARNATION = "self";

  /** Wire name "n": the sequence number of the request. */
  private static final String SEQUENCE_NUMBER = "n";

  /** Wire name "of": the term whose grant the asker has. */
  private static final String GRANTOR_TERM = "of";

  private static final String LEADER_TIME = "echo";
  private static final String SINCE_AUTONOMOUS_RESPONSE_S = "alone";
  private static final String METHOD = "method";
  private static final String PATH = "path";
  private static final String QUERY = "query";

  private PeerRequestCodec() {}

  /** The tree of a request. */
  static ObjectNode encode(PeerRequest request) {
    if (request instanceof PeerRequest.Pledge pledge) {
      return encodeMember(PLEDGE, pledge.member())
          .put(TERM, pledge.term())
          .put(SECONDS, pledge.seconds());
    } else if (request instanceof PeerRequest.LeaderlessPledge leaderlessPledge) {
      return encodeMember(LEADERLESS_PLEDGE, leaderlessPledge.member())
          .put(SECONDS, leaderlessPledge.seconds());
    } else if (request instanceof PeerRequest.Share share) {
      return encodeMember(SHARE, share.member())
          .put(TERM, share.term())
          .put(CHANGES_PER_S, share.changesPerS());
    } else if (request instanceof PeerRequest.Handover handover) {
      return encodeMember(HANDOVER, handover.member())
          .put(TERM, handover.term())
          .put(SESSION_LEASE, handover.sessionLease());
    } else if (request instanceof PeerRequest.Delegation delegation) {
      return encodeDelegation(delegation);
    } else if (request instanceof PeerRequest.RelayedHeartbeat heartbeat) {
      return encodeMember(HEARTBEAT, heartbeat.member()).put(PeerCodec.BODY, heartbeat.body());
    } else if (request instanceof PeerRequest.RelayedUserRequest userRequest) {
      return encodeRelayed(USER, userRequest.method(), userRequest.path(), userRequest.body());
    } else if (request instanceof PeerRequest.Identify identify) {
      return encodeMember(IDENTIFY, identify.member());
    } else if (request instanceof PeerRequest.RelayedAdminRequest adminRequest) {
      return encodeRelayed(ADMIN, adminRequest.method(), adminRequest.path(), adminRequest.body())
          .put(QUERY, adminRequest.query());
    }
    throw new IllegalArgumentException("no form for " + request);
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

  /** The request of a tree, or null if it is none that this version knows. */
  static PeerRequest decode(JsonNode n) {
    String member = n.path(MEMBER).asText();
    long term = n.path(TERM).asLong();
    double seconds = n.path(SECONDS).asDouble();
    String method = n.path(METHOD).asText();
    String path = n.path(PATH).asText();
    return switch (n.path(KIND).asText()) {
      case PLEDGE -> new PeerRequest.Pledge(member, term, seconds);
      case LEADERLESS_PLEDGE -> new PeerRequest.LeaderlessPledge(member, seconds);
      case SHARE -> new PeerRequest.Share(member, term, n.path(CHANGES_PER_S).asDouble());
      case HANDOVER -> new PeerRequest.Handover(member, term, n.path(SESSION_LEASE).asLong());
      case DELEGATION -> decodeDelegation(member, n);
      case IDENTIFY -> new PeerRequest.Identify(member);
      case HEARTBEAT -> new PeerRequest.RelayedHeartbeat(member, PeerCodec.decodeBody(n));
      case USER -> new PeerRequest.RelayedUserRequest(method, path, PeerCodec.decodeBody(n));
      case ADMIN ->
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
