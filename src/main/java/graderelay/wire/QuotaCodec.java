package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.quota.Account;
import graderelay.quota.Amount;
import graderelay.quota.LimitRecord;
import graderelay.quota.TeamQuota;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * The records of stored limits and accounts, and their keys. They stand below {@link
 * StateCodec#TERM}, which is listed before the task batches: an account that was read is never
 * newer than the task batches that were read with it.
 */
public final class QuotaCodec {
  /** Everything about stored limits. */
  public static final String ROOT = "g/term/quota/";

  /** Guarantee and limit of each team. */
  public static final String LIMITS = "g/term/quota/limit/";

  /** What the committed claims of each team take. */
  public static final String ACCOUNTS = "g/term/quota/account/";

  /** Present once the limits of the settings have been stored as a whole. */
  public static final String SEEDED = "g/term/quota/seeded";

  /** Stored name "cpus": thousandths of CPUs of a guarantee or of an account. */
  private static final String CPU_MILLIS = "cpus";

  private static final String CPU_LIMIT_MILLIS = "cpus_max";

  /** Stored name "gpus": thousandths of GPUs of a guarantee or of an account. */
  private static final String GPU_MILLIS = "gpus";

  private static final String GPU_LIMIT_MILLIS = "gpus_max";

  /** Stored name "by": who changed the limits. */
  private static final String CHANGED_BY = "by";

  /** Stored name "at": the time of day of the change in milliseconds. */
  private static final String CHANGED_AT_MS = "at";

  /** Tells which write of which process an account comes from. */
  private static final String WRITER = "writer";

  /** Thousandths; a sum of some billions of them is still exact. */
  private static final long MAX_MILLIS = 1_000_000_000_000L;

  private QuotaCodec() {}

  /** The key of a team's guarantee and limit. */
  public static String limitKey(String team) {
    return LIMITS + urlEncode(team);
  }

  /** The key of a team's account. */
  public static String accountKey(String team) {
    return ACCOUNTS + urlEncode(team);
  }

  /** Keys have no spaces, names of teams may. */
  private static String urlEncode(String team) {
    return URLEncoder.encode(team, StandardCharsets.UTF_8);
  }

  /** The team that a key below a prefix is about. */
  public static String parseTeam(String key, String prefix) {
    return URLDecoder.decode(key.substring(prefix.length()), StandardCharsets.UTF_8);
  }

  /** A team's guarantee and limit, with who changed them and when. */
  public static ObjectNode encodeLimits(TeamQuota quota, String changedBy, long nowMs) {
    return Json.object()
        .put(CPU_MILLIS, quota.guarantee().cpuMillis())
        .put(CPU_LIMIT_MILLIS, quota.limit().cpuMillis())
        .put(GPU_MILLIS, quota.guarantee().gpuMillis())
        .put(GPU_LIMIT_MILLIS, quota.limit().gpuMillis())
        .put(CHANGED_BY, changedBy)
        .put(CHANGED_AT_MS, nowMs);
  }

  /** Reads the record; one that can't be read stops its team and nobody else. */
  public static LimitRecord decodeLimits(JsonNode n, long revision) {
    try {
      TeamQuota quota =
          new TeamQuota(
              new Amount(decodeMillis(n, CPU_MILLIS), decodeMillis(n, GPU_MILLIS)),
              new Amount(decodeMillis(n, CPU_LIMIT_MILLIS), decodeMillis(n, GPU_LIMIT_MILLIS)));
      if (!quota.isConsistent()) {
        throw new MalformedRecordException("the guarantee is above the limit");
      }
      return LimitRecord.of(
          quota, revision, n.path(CHANGED_BY).asText(), n.path(CHANGED_AT_MS).asLong());
    } catch (MalformedRecordException e) {
      return LimitRecord.malformed(e.getMessage(), revision);
    }
  }

  /** What the committed claims of a team take, and which write this is. */
  public static ObjectNode encodeAccount(Amount use, String writer) {
    return Json.object()
        .put(CPU_MILLIS, use.cpuMillis())
        .put(GPU_MILLIS, use.gpuMillis())
        .put(WRITER, writer);
  }

  /** Reads the record; one that can't be read stops its team and nobody else. */
  public static Account decodeAccount(JsonNode n, long revision) {
    try {
      Amount use = new Amount(decodeMillis(n, CPU_MILLIS), decodeMillis(n, GPU_MILLIS));
      return Account.of(use, n.path(WRITER).asText(), revision);
    } catch (MalformedRecordException e) {
      return Account.malformed(e.getMessage(), revision);
    }
  }

  private static long decodeMillis(JsonNode n, String field) throws MalformedRecordException {
    JsonNode v = n.path(field);
    boolean whole = v.isIntegralNumber() && v.canConvertToLong();
    if (!whole || v.longValue() < 0 || v.longValue() > MAX_MILLIS) {
      throw new MalformedRecordException(field, "must be a number of thousandths of at least 0");
    }
    return v.longValue();
  }
}
