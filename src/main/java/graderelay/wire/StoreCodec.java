package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes responses of the consensus-backed key-value store ("state service") and encodes requests
 * for session leases. {@link TransactionCodec} encodes compare-and-swap transactions; {@link
 * StateCodec} and its related codecs handle the stored values.
 *
 * <p>As the protocol requires of receivers, unknown fields are ignored and an absent number is 0.
 */
public final class StoreCodec {
  /** Wire name of a key. */
  static final String KEY = "key";

  /** Wire name of a value. */
  static final String VALUE = "data";

  /** Wire name "mark": the revision of a key's last change. */
  static final String REVISION = "mark";

  /** Wire name "ledger": the revision of the store, which increases with every change. */
  static final String STORE_REVISION = "ledger";

  /** Wire name "permit": the id of the session lease that a key is attached to. */
  static final String SESSION_LEASE = "permit";

  /** Wire name of a put in a transaction or a watch; its value is the key. */
  static final String PUT = "put";

  /** Wire name "drop": a delete in a transaction or a watch; its value is the key. */
  static final String DELETE = "drop";

  /** Wire name "if": the conditions of a transaction. */
  static final String CONDITIONS = "if";

  /** Wire name "then": the changes of a transaction. */
  static final String CHANGES = "then";

  /** Wire name of the keys whose conditions did not hold. */
  private static final String FAILED_CONDITIONS = "failed";

  /** Wire name of the entries in a page of a range read. */
  private static final String ENTRIES = "items";

  /** Whether the range continues after this page. */
  private static final String TRUNCATED = "truncated";

  /** Wire name "news": the changes in the response to a watch. */
  private static final String WATCHED_CHANGES = "news";

  /** Wire name "life_ms": the time to live of a session lease, in milliseconds. */
  private static final String LEASE_TTL_MS = "life_ms";

  /** Wire name of the error message. */
  private static final String ERROR = "error";

  /** Part of every error message about an expired or unknown session lease. */
  private static final String LEASE_ERROR = "lease";

  private StoreCodec() {}

  /**
   * A key with its value.
   *
   * @param key the full key; empty if absent in the response
   * @param value the stored value
   * @param revision the revision of the key's last change
   * @param sessionLease the id of the session lease that the key is attached to, 0 for none
   */
  public record StoreEntry(String key, JsonNode value, long revision, long sessionLease) {}

  /**
   * One page of a range read.
   *
   * @param entries in the order of their keys
   * @param truncated true if the range continues after the last entry
   * @param storeRevision the store's revision at which the page was read
   */
  public record RangeResponse(List<StoreEntry> entries, boolean truncated, long storeRevision) {
    /** Returns the key after which the next page starts, or null if this is the last page. */
    public String nextPageAfter() {
      return truncated && !entries.isEmpty() ? entries.get(entries.size() - 1).key() : null;
    }
  }

  /** A change reported by a watch. */
  public sealed interface StoreChange {
    /** Returns the key that changed. */
    String key();

    /** Returns the revision of the change. */
    long revision();

    /** A key was created or its value was changed. */
    record Put(String key, JsonNode value, long revision) implements StoreChange {}

    /** A key was deleted, or its session lease expired. */
    record Delete(String key, long revision) implements StoreChange {}
  }

  /**
   * The response to a watch.
   *
   * @param storeRevision the revision up to which all changes are included
   * @param changes in the order in which they were made
   */
  public record WatchResponse(long storeRevision, List<StoreChange> changes) {}

  /** Decodes the store's revision in any response; 0 if the response has none or is null. */
  public static long decodeStoreRevision(JsonNode response) {
    return response == null ? 0 : response.path(STORE_REVISION).asLong();
  }

  /** Decodes the response to a read of one key, or one entry of a page. */
  public static StoreEntry decodeEntry(JsonNode n) {
    return new StoreEntry(
        n.path(KEY).asText(),
        n.path(VALUE),
        n.path(REVISION).asLong(),
        n.path(SESSION_LEASE).asLong());
  }

  /** Decodes one page of a range read. */
  public static RangeResponse decodeRange(JsonNode n) {
    List<StoreEntry> entries = new ArrayList<>();
    for (JsonNode item : n.path(ENTRIES)) {
      entries.add(decodeEntry(item));
    }
    return new RangeResponse(entries, n.path(TRUNCATED).asBoolean(false), decodeStoreRevision(n));
  }

  /** Decodes the response to a watch. Changes other than puts and deletes are ignored. */
  public static WatchResponse decodeWatch(JsonNode n) {
    List<StoreChange> changes = new ArrayList<>();
    for (JsonNode change : n.path(WATCHED_CHANGES)) {
      long revision = change.path(REVISION).asLong();
      if (change.has(PUT)) {
        changes.add(new StoreChange.Put(change.get(PUT).asText(), change.path(VALUE), revision));
      } else if (change.has(DELETE)) {
        changes.add(new StoreChange.Delete(change.get(DELETE).asText(), revision));
      }
    }
    return new WatchResponse(decodeStoreRevision(n), changes);
  }

  /** Decodes the keys whose conditions did not hold, from the response to a failed transaction. */
  public static List<String> decodeFailedConditions(JsonNode response) {
    List<String> keys = new ArrayList<>();
    for (JsonNode key : response.path(FAILED_CONDITIONS)) {
      keys.add(key.asText());
    }
    return keys;
  }

  /**
   * Encodes a request for a session lease that expires after {@code ttlMs} unless it is renewed.
   */
  public static ObjectNode encodeLeaseRequest(long ttlMs) {
    return Json.object().put(LEASE_TTL_MS, ttlMs);
  }

  /** Decodes the id of a new session lease; 0 if the response has none. */
  public static long decodeSessionLease(JsonNode response) {
    return response.path(SESSION_LEASE).asLong();
  }

  /**
   * Whether the store rejected a transaction because the session lease of a put is unknown or has
   * expired.
   *
   * @param errorResponse body of the error response, or null if it is not JSON
   */
  public static boolean decodeLeaseExpired(JsonNode errorResponse) {
    return errorResponse != null && errorResponse.path(ERROR).asText().contains(LEASE_ERROR);
  }
}
