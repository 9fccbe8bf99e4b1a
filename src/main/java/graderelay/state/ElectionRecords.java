package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.wire.FeatureCodec;
import graderelay.wire.StateCodec;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * This controller's cache of the election records: the leader, the term, and the suspensions from
 * election. The leader and the suspensions are stored under other keys once elections are sealed,
 * see {@link graderelay.features.Feature#SEALED_ELECTION}.
 */
public final class ElectionRecords {
  /** The records whose keys depend on whether elections are sealed, under one set of keys. */
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

    boolean delete(String key, long revision) {
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
  private final Layout unsealed = new Layout(StateCodec.LEADER, StateCodec.SUSPENSIONS);
  private final Layout sealed = new Layout(FeatureCodec.LEADER, FeatureCodec.SUSPENSIONS);
  private StateCodec.TermRecord terms = new StateCodec.TermRecord(0, 0, "");
  private long termRevision;

  ElectionRecords(FeatureRecords features) {
    this.features = features;
  }

  private Layout activeLayout() {
    return features.areElectionsSealed() ? sealed : unsealed;
  }

  /** The key of the leader record in the current layout. */
  public String leaderKey() {
    return activeLayout().leaderKey;
  }

  /** The key of a controller's suspension record in the current layout. */
  public String suspensionKey(String member) {
    return activeLayout().suspensionPrefix + member;
  }

  /** The leader record, or null if there is no leader. */
  public StateCodec.LeaderRecord leader() {
    return activeLayout().leader;
  }

  /** The revision of the leader record, 0 if there is none. */
  public long leaderRevision() {
    return activeLayout().leaderRevision;
  }

  /** A controller's suspension, or null if it has none. */
  public StateCodec.Suspension suspension(String member) {
    return activeLayout().suspensions.get(member);
  }

  /** True if any controller is suspended. */
  public boolean hasSuspensions() {
    return !activeLayout().suspensions.isEmpty();
  }

  /** True if versions without sealed elections find a suspension of this member. */
  public boolean isSuspendedInUnsealedLayout(String member) {
    return unsealed.suspensions.containsKey(member);
  }

  /** The highest term that any leader has ever reserved. */
  public long term() {
    return terms.lastTerm();
  }

  /**
   * The term under which worker leases may be renewed without a leader: it is higher than any that
   * the last leader may have sent commands with. Empty if that leader reserved no such term.
   */
  public OptionalLong leaderlessTerm() {
    return terms.isSingleTerm() ? OptionalLong.empty() : OptionalLong.of(terms.lastTerm());
  }

  /** True if the last leader reserved this term, or a range of terms that includes it. */
  public boolean isTermOfLastLeader(long term) {
    return terms.firstTerm() <= term && term <= terms.lastTerm();
  }

  /** The revision of the term record, 0 if there is none. */
  public long termRevision() {
    return termRevision;
  }

  /** The member that won the last term, empty if there was none. */
  public String termWinner() {
    return terms.member();
  }

  /**
   * Clears what is about to be read again.
   *
   * @param reload true if all records were read before, so that the leader record is cleared too
   * @param listedRevision the revision from which the records are read; a leader record that is not
   *     newer is among them, or was deleted
   */
  void clear(boolean reload, long listedRevision) {
    for (Layout layout : new Layout[] {unsealed, sealed}) {
      if (reload || layout.leaderRevision <= listedRevision) {
        layout.clearLeader();
      }
      layout.suspensions.clear();
    }
  }

  /** Applies a written record; returns false if it is not an election record. */
  boolean put(String key, JsonNode value, long revision) {
    if (key.equals(StateCodec.TERM)) {
      if (revision > termRevision) {
        terms = StateCodec.decodeTerm(value);
        termRevision = revision;
      }
      return true;
    }
    return unsealed.put(key, value, revision) || sealed.put(key, value, revision);
  }

  /** Applies the deletion of a record; returns false if it is not an election record. */
  boolean delete(String key, long revision) {
    return unsealed.delete(key, revision) || sealed.delete(key, revision);
  }
}
