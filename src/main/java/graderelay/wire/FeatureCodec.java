package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.features.ClusterLevel;
import graderelay.features.Feature;
import graderelay.features.FeatureRange;
import graderelay.features.Member;

/**
 * The records of feature levels and their keys. They stand below {@link StateCodec#TERM}, a prefix
 * that every version lists first, so that they cost no further request at a start. Versions before
 * feature levels pass over them there and in a watch, and never write them.
 */
public final class FeatureCodec {
  /** Everything about feature levels. */
  public static final String ROOT = "g/term/feature/";

  /** The cluster's finalized level; without it the level is {@link Feature#BASE_LEVEL}. */
  public static final String LEVEL = "g/term/feature/level";

  /** Present while operators want the cluster to stay at its level. */
  public static final String HOLD = "g/term/feature/hold";

  /** What each controller has published of itself. */
  public static final String MEMBERS = "g/term/feature/member/";

  /** Who leads, in place of {@link StateCodec#LEADER}, once elections are sealed. */
  public static final String LEADER = "g/term/feature/leader";

  /**
   * Suspended controllers, in place of {@link StateCodec#SUSPENSIONS}, once elections are sealed.
   */
  public static final String SUSPENSIONS = "g/term/feature/suspension/";

  /** Hints for the next leader in their compact form. */
  public static final String HINTS = "g/hints/";

  /** The images on machines, in their compact form. */
  public static final String IMAGE_HINTS = "g/hints/images/";

  /** The recent demand, in its compact form. */
  public static final String DEMAND_HINT = "g/hints/demand";

  /** Stands in {@link StateCodec#LEADER} once elections are sealed; no controller is called so. */
  public static final String SEALED_LEADER = "sealed:feature-levels";

  private static final String LEVEL_NUMBER = "level";

  /** The level that the cluster is being lowered to; absent unless it is being lowered. */
  private static final String TARGET_LEVEL = "target";

  private static final String VERSION = "version";
  private static final String MIN_LEVEL = "min";
  private static final String MAX_LEVEL = "max";
  private static final String INCARNATION = "incarnation";

  /** Stored name "began": the time of day in milliseconds at which the process began. */
  private static final String BEGAN_MS = "began";

  /** Characters of a text in a member's record; more is a mistake. */
  private static final int LONGEST_TEXT = 128;

  private FeatureCodec() {}

  /** The cluster's level; the target is left out unless the level is being lowered. */
  public static ObjectNode encodeLevel(ClusterLevel level) {
    ObjectNode n = Json.object().put(LEVEL_NUMBER, level.level());
    return level.isLowering() ? n.put(TARGET_LEVEL, level.target()) : n;
  }

  /** Reads the record; a level that this program does not know is no mistake of the record. */
  public static ClusterLevel decodeLevel(JsonNode n) throws MalformedRecord {
    int level = count(n, LEVEL_NUMBER);
    int target = n.has(TARGET_LEVEL) ? count(n, TARGET_LEVEL) : level;
    if (target > level) {
      throw new MalformedRecord(TARGET_LEVEL, "is " + target + ", above level " + level);
    }
    return new ClusterLevel(level, target);
  }

  /** The key of what controller {@code member} has published of itself. */
  public static String memberKey(String member) {
    return MEMBERS + member;
  }

  /** What a controller publishes of itself. */
  public static ObjectNode encodeMember(Member member) {
    return Json.object()
        .put(VERSION, member.version())
        .put(MIN_LEVEL, member.range().min())
        .put(MAX_LEVEL, member.range().max())
        .put(INCARNATION, member.incarnation())
        .put(BEGAN_MS, member.startedAtMs());
  }

  /** Controller {@code name} from its record and the record's revision. */
  public static Member decodeMember(String name, JsonNode n, long revision) throws MalformedRecord {
    int min = count(n, MIN_LEVEL);
    int max = count(n, MAX_LEVEL);
    if (min > max) {
      throw new MalformedRecord(MIN_LEVEL, "is " + min + ", above max " + max);
    }
    JsonNode began = n.path(BEGAN_MS);
    if (!began.isIntegralNumber()) {
      throw new MalformedRecord(BEGAN_MS, "must be a time of day in milliseconds");
    }
    return new Member(
        name,
        text(n, VERSION),
        new FeatureRange(min, max),
        text(n, INCARNATION),
        began.longValue(),
        revision);
  }

  private static int count(JsonNode n, String field) throws MalformedRecord {
    JsonNode v = n.path(field);
    if (!v.isInt() || v.intValue() < Feature.BASE_LEVEL) {
      throw new MalformedRecord(field, "must be a feature level of at least 0");
    }
    return v.intValue();
  }

  private static String text(JsonNode n, String field) throws MalformedRecord {
    JsonNode v = n.path(field);
    if (!v.isTextual() || v.textValue().isEmpty() || v.textValue().length() > LONGEST_TEXT) {
      throw new MalformedRecord(field, "must be a text of 1 to " + LONGEST_TEXT + " characters");
    }
    return v.textValue();
  }
}
