package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.features.ClusterLevel;
import graderelay.features.Feature;
import graderelay.features.FeatureGate;
import graderelay.features.Member;
import graderelay.wire.FeatureCodec;
import graderelay.wire.MalformedRecordException;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** This controller's cache of the feature level records; passes the level on to the gate. */
public final class FeatureRecords {
  private static final Logger LOG = LoggerFactory.getLogger("features");

  private final FeatureGate gate;
  private long levelRevision;
  private long holdRevision;
  private final Map<String, Member> members = new HashMap<>();
  private final Map<String, Long> memberRevisions = new HashMap<>();

  FeatureRecords(FeatureGate gate) {
    this.gate = gate;
  }

  /** The gate that receives the cluster's feature level from this cache. */
  public FeatureGate gate() {
    return gate;
  }

  /** The revision of the level record, 0 if there is none; all transactions depend on it. */
  public long levelRevision() {
    return levelRevision;
  }

  /** True if an operator has put changes of the feature level on hold. */
  public boolean isOnHold() {
    return holdRevision != 0;
  }

  /** The revision of the hold record, 0 if there is none. */
  public long holdRevision() {
    return holdRevision;
  }

  /** The valid records that controllers have published, by member. */
  public Map<String, Member> members() {
    return Map.copyOf(members);
  }

  /** The revision of the record that a controller has published, 0 if there is none. */
  public long memberRevision(String member) {
    return memberRevisions.getOrDefault(member, 0L);
  }

  /** Clears what is about to be read again. The level is kept, as it is never deleted. */
  void clear() {
    members.clear();
    memberRevisions.clear();
    holdRevision = 0;
  }

  /** The records were read; if there is no level record, the cluster is at the base level. */
  void onRecordsRead() {
    if (levelRevision == 0) {
      gate.onLevel(ClusterLevel.BASE);
    }
  }

  /** Applies a written record; returns false if it does not concern feature levels. */
  boolean put(String key, JsonNode value, long revision) {
    if (key.equals(FeatureCodec.LEVEL)) {
      putLevel(value, revision);
    } else if (key.equals(FeatureCodec.PAUSE)) {
      holdRevision = Math.max(holdRevision, revision);
    } else if (key.startsWith(FeatureCodec.MEMBERS)) {
      putMember(key.substring(FeatureCodec.MEMBERS.length()), value, revision);
    } else {
      return false;
    }
    return true;
  }

  private void putLevel(JsonNode value, long revision) {
    if (revision <= levelRevision) {
      return;
    }
    levelRevision = revision;
    try {
      gate.onLevel(FeatureCodec.decodeLevel(value));
    } catch (MalformedRecordException e) {
      gate.onMalformed(e.getMessage());
    }
  }

  private void putMember(String name, JsonNode value, long revision) {
    if (revision <= memberRevision(name)) {
      return;
    }
    memberRevisions.put(name, revision);
    try {
      members.put(name, FeatureCodec.decodeMember(name, value, revision));
    } catch (MalformedRecordException e) {
      members.remove(name); // Treated as a version without feature levels.
      LOG.warn("ignoring the malformed feature record of member {}: {}", name, e.getMessage());
    }
  }

  /** Applies the deletion of a record; returns false if it does not concern feature levels. */
  boolean delete(String key, long revision) {
    if (key.equals(FeatureCodec.PAUSE)) {
      holdRevision = revision > holdRevision ? 0 : holdRevision;
    } else if (key.startsWith(FeatureCodec.MEMBERS)) {
      String name = key.substring(FeatureCodec.MEMBERS.length());
      if (revision > memberRevision(name)) {
        members.remove(name);
        memberRevisions.remove(name);
      }
    } else {
      return false;
    }
    return true;
  }

  /** True if the election records are stored under keys that older versions never read. */
  boolean areElectionsSealed() {
    return gate.mayHaveRecords(Feature.SEALED_ELECTION);
  }
}
