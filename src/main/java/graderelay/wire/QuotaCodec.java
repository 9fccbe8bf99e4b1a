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
 * Keys and records of stored limits and accounts. The keys have the prefix {@link StateCodec#TERM},
 * which is listed before the task batches, so that a loaded account is never newer than the task
 * batches loaded with it.
 */
public final class QuotaCodec {
  /** Prefix of all keys of stored limits and accounts. */
  public static final String ROOT = "g/term/quota/";

  /** Prefix of the records of each team's guarantee and limit. */
  public static final String LIMITS = "g/term/quota/limit/";

  /**
   * Prefix of the accounts, which hold the resources that the committed claims of each team use.
   */
  public static final String ACCOUNTS = "g/term/quota/account/";

  /** Exists once all limits of the settings have been stored. */
  public static final String SEEDED = "g/term/quota/seeded";

  /** Stored name "cpus": thousandths of CPUs of a guarantee or of an account. */
  private static final String CPU_MILLIS = "cpus";

  private static final String CPU_LIMIT_MILLIS = "cpus_max";

  /** Stored name "gpus": thousandths of GPUs of a guarantee or of an account. */
  private static final String GPU_MILLIS = "gpus";

  private static final String GPU_LIMIT_MILLIS = "gpus_max";

  /** Stored name "by": author of the last change of the limits. */
  private static final String CHANGED_BY = "by";

  /** Stored name "at": time of the change in milliseconds since the epoch. */
  private static final String CHANGED_AT_MS = "at";

  /** Identifies the process and the write that stored an account. */
  private static final String WRITER = "writer";

  /** Maximum stored amount in thousandths; sums of millions of such amounts still fit in a long. */
  private static final long MAX_MILLIS = 1_000_000_000_000L;

  private QuotaCodec() {}

  /** Returns the key of a team's guarantee and limit. */
  public static String limitKey(String team) {
    return LIMITS + urlEncode(team);
  }

  /** Returns the key of a team's account. */
  public static String accountKey(String team) {
    return ACCOUNTS + urlEncode(team);
  }

  /** URL-encodes a team name, which may contain spaces while keys may not. */
  private static String urlEncode(String team) {
    return URLEncoder.encode(team, StandardCharsets.UTF_8);
  }

  /** Returns the team name in a key with the given prefix. */
  public static String parseTeam(String key, String prefix) {
    return URLDecoder.decode(key.substring(prefix.length()), StandardCharsets.UTF_8);
  }

  /** Encodes a team's guarantee and limit, with the author and time of the change. */
  public static ObjectNode encodeLimits(TeamQuota quota, String changedBy, long changedAtMs) {
    return Json.object()
        .put(CPU_MILLIS, quota.guarantee().cpuMillis())
        .put(CPU_LIMIT_MILLIS, quota.limit().cpuMillis())
        .put(GPU_MILLIS, quota.guarantee().gpuMillis())
        .put(GPU_LIMIT_MILLIS, quota.limit().gpuMillis())
        .put(CHANGED_BY, changedBy)
        .put(CHANGED_AT_MS, changedAtMs);
  }

  /** Decodes a team's limits. A malformed record blocks only its own team. */
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

  /**
   * Encodes the resources that the committed claims of a team use, with the identity of the write.
   */
  public static ObjectNode encodeAccount(Amount use, String writer) {
    return Json.object()
        .put(CPU_MILLIS, use.cpuMillis())
        .put(GPU_MILLIS, use.gpuMillis())
        .put(WRITER, writer);
  }

  /** Decodes a team's account. A malformed record blocks only its own team. */
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
    boolean isWholeNumber = v.isIntegralNumber() && v.canConvertToLong();
    if (!isWholeNumber || v.longValue() < 0 || v.longValue() > MAX_MILLIS) {
      throw new MalformedRecordException(field, "must be a number of thousandths of at least 0");
    }
    return v.longValue();
  }
}
