package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.wire.StateCodec.DelegateRelease;
import graderelay.wire.StateCodec.LeaderRecord;
import graderelay.wire.StateCodec.Suspension;
import graderelay.wire.StateCodec.TermRecord;

/**
 * Encodes the stored records of leader election: the leader ("owner", {@code g/owner}), the current
 * term ({@code g/term}), suspensions from election ("bars", {@code g/bar/MEMBER}) and the grants
 * that lease delegates have released ("deputies", {@code g/deputy/MEMBER}).
 */
final class ElectionRecordCodec {
  static final String MEMBER = "member";
  static final String TERM = "term";

  /** Wire name "first": the first of the terms that are reserved up to {@link #TERM}. */
  static final String FIRST_TERM = "first";

  /** Wire name "mesh": the address at which other controllers reach the leader. */
  static final String PEER_ADDRESS = "mesh";

  /** Wire name "leaving": the incarnation whose suspension is about to end, or empty. */
  static final String LEAVING_INCARNATION = "leaving";

  /** Wire name "self": the lease delegate's incarnation. */
  static final String DELEGATE_INCARNATION = "self";

  /** Wire name "n": the sequence number of the last request whose grant was released. */
  static final String RELEASED_UP_TO = "n";

  /** Wire name "of": the first term of the leader process whose grants were released. */
  static final String GRANTOR_TERM = "of";

  /**
   * Wire name "alone": seconds since the lease delegate last responded to a worker without the
   * leader, or since its process started.
   */
  static final String SINCE_AUTONOMOUS_RESPONSE_S = "alone";

  private ElectionRecordCodec() {}

  static ObjectNode encodeLeader(LeaderRecord leader) {
    return Json.object()
        .put(MEMBER, leader.member())
        .put(TERM, leader.term())
        .put(PEER_ADDRESS, leader.peerAddress());
  }

  static LeaderRecord decodeLeader(JsonNode n) {
    return new LeaderRecord(
        n.path(MEMBER).asText(), n.path(TERM).asLong(), n.path(PEER_ADDRESS).asText());
  }

  static ObjectNode encodeTerm(TermRecord terms) {
    ObjectNode n = Json.object().put(TERM, terms.lastTerm()).put(MEMBER, terms.member());
    return terms.isSingleTerm() ? n : n.put(FIRST_TERM, terms.firstTerm());
  }

  static TermRecord decodeTerm(JsonNode n) {
    long lastTerm = n.path(TERM).asLong();
    return new TermRecord(n.path(FIRST_TERM).asLong(lastTerm), lastTerm, n.path(MEMBER).asText());
  }

  static ObjectNode encodeSuspension(String leavingIncarnation) {
    return Json.object().put(LEAVING_INCARNATION, leavingIncarnation);
  }

  static Suspension decodeSuspension(JsonNode n, long revision) {
    return new Suspension(n.path(LEAVING_INCARNATION).asText(), revision);
  }

  static ObjectNode encodeDelegateRelease(
      String incarnation, long releasedUpTo, long grantorTerm, double sinceAutonomousResponseS) {
    return Json.object()
        .put(DELEGATE_INCARNATION, incarnation)
        .put(RELEASED_UP_TO, releasedUpTo)
        .put(GRANTOR_TERM, grantorTerm)
        .put(SINCE_AUTONOMOUS_RESPONSE_S, sinceAutonomousResponseS);
  }

  static DelegateRelease decodeDelegateRelease(JsonNode n) {
    return new DelegateRelease(
        n.path(DELEGATE_INCARNATION).asText(),
        n.path(RELEASED_UP_TO).asLong(),
        n.path(GRANTOR_TERM).asLong(),
        n.path(SINCE_AUTONOMOUS_RESPONSE_S).asDouble());
  }
}
