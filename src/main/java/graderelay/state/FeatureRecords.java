package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.features.ClusterLevel;
import graderelay.features.Feature;
import graderelay.features.FeatureGate;
import graderelay.features.Member;
import graderelay.wire.FeatureCodec;
import graderelay.wire.MalformedRecord;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** This controller's copy of the records of feature levels; it tells the gate what they say. */
public final class FeatureRecords {
  private static final Logger LOG = LoggerFactory.getLogger("features");

  private final FeatureGate gate;
  private long levelRevision;
  private long pauseRevision;
  private final Map<String, Member> members = new HashMap<>();
  private final Map<String, Long> memberRevisions = new HashMap<>();

  FeatureRecords(FeatureGate gate) {
    this.gate = gate;
  }

  /** The gate that this copy feeds. */
  public FeatureGate gate() {
    return gate;
  }

  /** The revision of the level's record, 0 if there is none: the condition of transactions. */
  public long levelRevision() {
    return levelRevision;
  }

  /** True if operators have paused changes of the feature level. */
  public boolean held() {
    return pauseRevision != 0;
  }

  /** The revision of the record of that pause, 0 if there is none. */
  public long holdRevision() {
    return pauseRevision;
  }

  /** What controllers have published in a form that can be read, by name. */
  public Map<String, Member> members() {
    return Map.copyOf(members);
  }

  /** The revision of a controller's record, 0 if there is none. */
  public long memberRevision(String member) {
    return memberRevisions.getOrDefault(member, 0L);
  }

  /** Forgets what will be read anew. The level is never removed, so it stays. */
  void clear() {
    members.clear();
    memberRevisions.clear();
    pauseRevision = 0;
  }

  /** All records were read; without a record of a level it is the one before all others. */
  void read() {
    if (levelRevision == 0) {
      gate.onLevel(ClusterLevel.BASE);
    }
  }

  /** Takes a record and returns true if it is one of these. */
  boolean put(String key, JsonNode value, long revision) {
    if (key.equals(FeatureCodec.LEVEL)) {
      putLevel(value, revision);
    } else if (key.equals(FeatureCodec.HOLD)) {
      pauseRevision = Math.max(pauseRevision, revision);
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
    } catch (MalformedRecord e) {
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
    } catch (MalformedRecord e) {
      members.remove(name); // It counts as of a version before feature levels.
      LOG.warn("what {} has published can't be read: {}", name, e.getMessage());
    }
  }

  /** Takes the deletion of a record and returns true if it is one of these. */
  boolean delete(String key, long revision) {
    if (key.equals(FeatureCodec.HOLD)) {
      pauseRevision = revision > pauseRevision ? 0 : pauseRevision;
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

  /** True if elections are recorded under the keys that older versions never read. */
  boolean sealed() {
    return gate.present(Feature.SEALED_ELECTION);
  }
}
