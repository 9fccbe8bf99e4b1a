package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The fields of each {@link PeerRequest}; {@link PeerCodec} has the envelope around them. */
final class PeerRequestCodec {
  static final String KIND = "kind";

  /** Wire name "promise": a request for an election pledge by the leader. */
  private static final String PLEDGE = "promise";

  /** Wire name "keep": a request for an election pledge while there is no leader. */
  private static final String KEEP_PLEDGE = "keep";

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
  private static final String PROCESS = "self";

  /** Wire name "n": the sequence number of the request. */
  private static final String REQUEST_NUMBER = "n";

  /** Wire name "of": the term whose grant the asker has. */
  private static final String GRANTED_BY = "of";

  private static final String ECHO = "echo";
  private static final String ALONE_S = "alone";
  private static final String METHOD = "method";
  private static final String PATH = "path";
  private static final String QUERY = "query";

  private PeerRequestCodec() {}

  /** The tree of a request. */
  static ObjectNode encode(PeerRequest request) {
    if (request instanceof PeerRequest.Pledge pledge) {
      return ofMember(PLEDGE, pledge.member())
          .put(TERM, pledge.term())
          .put(SECONDS, pledge.seconds());
    } else if (request instanceof PeerRequest.KeepPledge keepPledge) {
      return ofMember(KEEP_PLEDGE, keepPledge.member()).put(SECONDS, keepPledge.seconds());
    } else if (request instanceof PeerRequest.Share share) {
      return ofMember(SHARE, share.member())
          .put(TERM, share.term())
          .put(CHANGES_PER_S, share.changesPerS());
    } else if (request instanceof PeerRequest.Handover handover) {
      return ofMember(HANDOVER, handover.member())
          .put(TERM, handover.term())
          .put(SESSION_LEASE, handover.sessionLease());
    } else if (request instanceof PeerRequest.Delegation delegation) {
      return encodeDelegation(delegation);
    } else if (request instanceof PeerRequest.RelayedReport heartbeat) {
      return ofMember(HEARTBEAT, heartbeat.member()).put(PeerCodec.BODY, heartbeat.body());
    } else if (request instanceof PeerRequest.UserRequest userRequest) {
      return relayed(USER, userRequest.method(), userRequest.path(), userRequest.body());
    } else if (request instanceof PeerRequest.Identify identify) {
      return ofMember(IDENTIFY, identify.member());
    } else if (request instanceof PeerRequest.AdminRequest adminRequest) {
      return relayed(ADMIN, adminRequest.method(), adminRequest.path(), adminRequest.body())
          .put(QUERY, adminRequest.query());
    }
    throw new IllegalArgumentException("no form for " + request);
  }

  private static ObjectNode ofMember(String kind, String member) {
    return Json.object().put(KIND, kind).put(MEMBER, member);
  }

  private static ObjectNode encodeDelegation(PeerRequest.Delegation delegation) {
    return ofMember(DELEGATION, delegation.member())
        .put(PROCESS, delegation.process())
        .put(REQUEST_NUMBER, delegation.number())
        .put(GRANTED_BY, delegation.grantedBy())
        .put(ECHO, delegation.echo())
        .put(ALONE_S, delegation.aloneS());
  }

  private static ObjectNode relayed(String kind, String method, String path, byte[] body) {
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
      case KEEP_PLEDGE -> new PeerRequest.KeepPledge(member, seconds);
      case SHARE -> new PeerRequest.Share(member, term, n.path(CHANGES_PER_S).asDouble());
      case HANDOVER -> new PeerRequest.Handover(member, term, n.path(SESSION_LEASE).asLong());
      case DELEGATION -> decodeDelegation(member, n);
      case IDENTIFY -> new PeerRequest.Identify(member);
      case HEARTBEAT -> new PeerRequest.RelayedReport(member, PeerCodec.decodeBody(n));
      case USER -> new PeerRequest.UserRequest(method, path, PeerCodec.decodeBody(n));
      case ADMIN ->
          new PeerRequest.AdminRequest(
              method, path, n.path(QUERY).asText(), PeerCodec.decodeBody(n));
      default -> null;
    };
  }

  private static PeerRequest.Delegation decodeDelegation(String member, JsonNode n) {
    return new PeerRequest.Delegation(
        member,
        n.path(PROCESS).asText(),
        n.path(REQUEST_NUMBER).asLong(),
        n.path(GRANTED_BY).asLong(),
        n.path(ECHO).asDouble(),
        n.path(ALONE_S).asDouble());
  }
}
