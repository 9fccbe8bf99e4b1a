package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.features.ClusterLevel;
import graderelay.features.Feature;
import graderelay.features.FeatureRange;
import graderelay.features.Member;

/**
 * Keys and records of feature levels. Most keys have the prefix {@link StateCodec#TERM}, which
 * every version lists first at startup, so loading them needs no additional request. Versions that
 * precede feature levels ignore these keys in lists and watches, and never write them.
 */
public final class FeatureCodec {
  /** Prefix of all keys of feature levels except the compact hints. */
  public static final String ROOT = "g/term/feature/";

  /** The cluster's finalized level, {@link Feature#BASE_LEVEL} if the key does not exist. */
  public static final String LEVEL = "g/term/feature/level";

  /** Exists while operators have paused changes of the feature level. */
  public static final String PAUSE = "g/term/feature/hold";

  /** Prefix of the records in which controllers publish their version and supported levels. */
  public static final String MEMBERS = "g/term/feature/member/";

  /** The leader, in place of {@link StateCodec#LEADER} once elections are sealed. */
  public static final String LEADER = "g/term/feature/leader";

  /**
   * Prefix of suspensions, in place of {@link StateCodec#SUSPENSIONS} once elections are sealed.
   */
  public static final String SUSPENSIONS = "g/term/feature/suspension/";

  /** Prefix of the hints for the next leader in compact form. */
  public static final String HINTS = "g/hints/";

  /** Prefix of the records of which images machines have, in compact form. */
  public static final String IMAGE_HINTS = "g/hints/images/";

  /** The recent demand, in compact form. */
  public static final String DEMAND_HINT = "g/hints/demand";

  /** Value of {@link StateCodec#LEADER} once elections are sealed; not a valid controller name. */
  public static final String SEALED_LEADER = "sealed:feature-levels";

  private static final String LEVEL_NUMBER = "level";

  /** Target level of a downgrade; absent unless a downgrade is in progress. */
  private static final String TARGET_LEVEL = "target";

  private static final String VERSION = "version";
  private static final String MIN_LEVEL = "min";
  private static final String MAX_LEVEL = "max";
  private static final String INCARNATION = "incarnation";

  /** Stored name "began": start time of the process in milliseconds since the epoch. */
  private static final String STARTED_MS = "began";

  /** Maximum number of characters of a text in a member's record; a longer one is malformed. */
  private static final int MAX_TEXT_LENGTH = 128;

  private FeatureCodec() {}

  /** Encodes the cluster's level; the target is omitted unless a downgrade is in progress. */
  public static ObjectNode encodeLevel(ClusterLevel level) {
    ObjectNode n = Json.object().put(LEVEL_NUMBER, level.level());
    return level.isLowering() ? n.put(TARGET_LEVEL, level.target()) : n;
  }

  /**
   * Decodes the cluster's level. A level that this version does not support is not an error here.
   */
  public static ClusterLevel decodeLevel(JsonNode n) throws MalformedRecordException {
    int level = decodeFeatureLevel(n, LEVEL_NUMBER);
    int target = n.has(TARGET_LEVEL) ? decodeFeatureLevel(n, TARGET_LEVEL) : level;
    if (target > level) {
      throw new MalformedRecordException(TARGET_LEVEL, "is " + target + ", above level " + level);
    }
    return new ClusterLevel(level, target);
  }

  /** Returns the key of the record that controller {@code member} publishes. */
  public static String memberKey(String member) {
    return MEMBERS + member;
  }

  /** Encodes the record that a controller publishes. */
  public static ObjectNode encodeMember(Member member) {
    return Json.object()
        .put(VERSION, member.version())
        .put(MIN_LEVEL, member.range().min())
        .put(MAX_LEVEL, member.range().max())
        .put(INCARNATION, member.incarnation())
        .put(STARTED_MS, member.startedAtMs());
  }

  /** Decodes the record that controller {@code name} published, with the record's revision. */
  public static Member decodeMember(String name, JsonNode n, long revision)
      throws MalformedRecordException {
    int min = decodeFeatureLevel(n, MIN_LEVEL);
    int max = decodeFeatureLevel(n, MAX_LEVEL);
    if (min > max) {
      throw new MalformedRecordException(MIN_LEVEL, "is " + min + ", above max " + max);
    }
    JsonNode startedMs = n.path(STARTED_MS);
    if (!startedMs.isIntegralNumber()) {
      throw new MalformedRecordException(
          STARTED_MS, "must be a time in milliseconds since the epoch");
    }
    return new Member(
        name,
        decodeText(n, VERSION),
        new FeatureRange(min, max),
        decodeText(n, INCARNATION),
        startedMs.longValue(),
        revision);
  }

  private static int decodeFeatureLevel(JsonNode n, String field) throws MalformedRecordException {
    JsonNode v = n.path(field);
    if (!v.isInt() || v.intValue() < Feature.BASE_LEVEL) {
      throw new MalformedRecordException(field, "must be a feature level of at least 0");
    }
    return v.intValue();
  }

  private static String decodeText(JsonNode n, String field) throws MalformedRecordException {
    JsonNode v = n.path(field);
    if (!v.isTextual() || v.textValue().isEmpty() || v.textValue().length() > MAX_TEXT_LENGTH) {
      throw new MalformedRecordException(
          field, "must be a text of 1 to " + MAX_TEXT_LENGTH + " characters");
    }
    return v.textValue();
  }
}
