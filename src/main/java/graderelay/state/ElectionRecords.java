package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.wire.FeatureCodec;
import graderelay.wire.StateCodec;
import java.util.HashMap;
import java.util.Map;

/**
 * This controller's copy of the records that decide who leads: the leader, the term, and who is
 * suspended from election. The leader and the suspensions have a place of their own once elections
 * are sealed, see {@link graderelay.features.Feature#SEALED_ELECTION}.
 */
public final class ElectionRecords {
  /** The records whose keys depend on whether elections are sealed, in one of the two layouts. */
  private static final class Layout {
    final String leaderKey;
    final String suspensionPrefix;
    StateCodec.LeaderRecord leader;
    long leaderRevision;
    final Map<String, StateCodec.Suspension> suspensions = new HashMap<>();

    Layout(String leaderKey, String suspensionPrefix) {
      this.leaderKey = leaderKey;
      this.suspensionPrefix = suspensionPrefix;
    }

    boolean put(String key, JsonNode value, long revision) {
      if (key.equals(leaderKey)) {
        if (revision > leaderRevision) {
          leader = StateCodec.decodeLeader(value);
          leaderRevision = revision;
        }
        return true;
      }
      if (key.startsWith(suspensionPrefix)) {
        suspensions.put(
            key.substring(suspensionPrefix.length()), StateCodec.decodeSuspension(value, revision));
        return true;
      }
      return false;
    }

    boolean drop(String key, long revision) {
      if (key.equals(leaderKey)) {
        if (revision > leaderRevision) {
          clearLeader();
        }
        return true;
      }
      if (key.startsWith(suspensionPrefix)) {
        suspensions.remove(key.substring(suspensionPrefix.length()));
        return true;
      }
      return false;
    }

    void clearLeader() {
      leader = null;
      leaderRevision = 0;
    }
  }

  private final FeatureRecords features;
  private final Layout open = new Layout(StateCodec.LEADER, StateCodec.SUSPENSIONS);
  private final Layout sealed = new Layout(FeatureCodec.LEADER, FeatureCodec.SUSPENSIONS);
  private long term;
  private long termRevision;
  private String termMember = "";

  ElectionRecords(FeatureRecords features) {
    this.features = features;
  }

  private Layout layout() {
    return features.sealed() ? sealed : open;
  }

  /** The key of the leader's record in the present layout. */
  public String leaderKey() {
    return layout().leaderKey;
  }

  /** The key of a controller's suspension in the present layout. */
  public String suspensionKey(String member) {
    return layout().suspensionPrefix + member;
  }

  /** Who leads, or null. */
  public StateCodec.LeaderRecord leader() {
    return layout().leader;
  }

  /** The revision of the leader record, 0 if there is none. */
  public long leaderRevision() {
    return layout().leaderRevision;
  }

  /** A controller's suspension, or null. */
  public StateCodec.Suspension suspension(String member) {
    return layout().suspensions.get(member);
  }

  /** True if any controller is suspended. */
  public boolean anySuspended() {
    return !layout().suspensions.isEmpty();
  }

  /** True if older versions find a suspension of this member in their own layout. */
  public boolean openlySuspended(String member) {
    return open.suspensions.containsKey(member);
  }

  /** The highest term that was ever won. */
  public long term() {
    return term;
  }

  /** The revision of the term record, 0 if there is none. */
  public long termRevision() {
    return termRevision;
  }

  /** Who won the last term. */
  public String termMember() {
    return termMember;
  }

  /** Before the records are read anew; {@code watched} if they have been before. */
  void clear(boolean watched) {
    for (Layout layout : new Layout[] {open, sealed}) {
      if (watched) {
        layout.clearLeader();
      }
      layout.suspensions.clear();
    }
  }

  /** Takes a record as it was written; false if it is none of these. */
  boolean put(String key, JsonNode value, long revision) {
    if (key.equals(StateCodec.TERM)) {
      if (revision > termRevision) {
        StateCodec.TermRecord record = StateCodec.decodeTerm(value);
        term = record.term();
        termMember = record.member();
        termRevision = revision;
      }
      return true;
    }
    return open.put(key, value, revision) || sealed.put(key, value, revision);
  }

  /** Takes note that a record was deleted; false if it is none of these. */
  boolean drop(String key, long revision) {
    return open.drop(key, revision) || sealed.drop(key, revision);
  }
}
