package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The protocol of the consensus-backed key-value store ("state service"): how its answers are read
 * and its requests for session leases are written. {@link TransactionCodec} writes compare-and-swap
 * transactions; {@link StateCodec} and the codecs beside it read and write the values.
 *
 * <p>Reading is lenient, as the protocol asks of receivers: unknown fields are ignored, and a
 * number that is absent reads as 0.
 */
public final class StoreCodec {
  /** Wire name of a key. */
  static final String KEY = "key";

  /** Wire name of a value. */
  static final String VALUE = "data";

  /** Wire name "mark": the revision of a key's last change. */
  static final String REVISION = "mark";

  /** Wire name "ledger": the store's own revision, which counts every change. */
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

  /** Wire name that tells whether a range has entries after this page. */
  private static final String TRUNCATED = "truncated";

  /** Wire name "news": the changes in the answer to a watch. */
  private static final String WATCHED_CHANGES = "news";

  /** Wire name "life_ms": the time to live of a session lease, in milliseconds. */
  private static final String LEASE_TTL_MS = "life_ms";

  /** Wire name of the text that says what was wrong with a request. */
  private static final String ERROR = "error";

  /** What the error text of an expired or unknown session lease contains. */
  private static final String LEASE_ERROR = "lease";

  private StoreCodec() {}

  /**
   * A key's value.
   *
   * @param key the whole key; empty if the store did not give it
   * @param value the value as it is stored
   * @param revision the revision of the key's last change
   * @param sessionLease the id of the session lease that the key is attached to, 0 for none
   */
  public record StoreEntry(String key, JsonNode value, long revision, long sessionLease) {}

  /**
   * One page of a range read.
   *
   * @param entries in the order of their keys
   * @param truncated true if the range goes on after the last of them
   * @param storeRevision the store's revision when the page was read
   */
  public record RangeResponse(List<StoreEntry> entries, boolean truncated, long storeRevision) {
    /** The key after which the next page begins, or null if this page is the last one. */
    public String nextPageAfter() {
      return truncated && !entries.isEmpty() ? entries.get(entries.size() - 1).key() : null;
    }
  }

  /** A change that a watch tells of. */
  public sealed interface StoreChange {
    /** The key that changed. */
    String key();

    /** The revision of the change. */
    long revision();

    /** The key has a new value. */
    record Put(String key, JsonNode value, long revision) implements StoreChange {}

    /** The key is gone: deleted, or its session lease expired. */
    record Delete(String key, long revision) implements StoreChange {}
  }

  /**
   * The answer to a watch.
   *
   * @param storeRevision the revision up to which all changes are told
   * @param changes in the order in which they were made
   */
  public record WatchResponse(long storeRevision, List<StoreChange> changes) {}

  /** The store's revision from any of its answers; 0 if the answer has none or is null. */
  public static long decodeStoreRevision(JsonNode response) {
    return response == null ? 0 : response.path(STORE_REVISION).asLong();
  }

  /** One key's value, from the answer to a read of that key or from an item of a page. */
  public static StoreEntry decodeEntry(JsonNode n) {
    return new StoreEntry(
        n.path(KEY).asText(),
        n.path(VALUE),
        n.path(REVISION).asLong(),
        n.path(SESSION_LEASE).asLong());
  }

  /** One page of a range read. */
  public static RangeResponse decodeRange(JsonNode n) {
    List<StoreEntry> entries = new ArrayList<>();
    for (JsonNode item : n.path(ENTRIES)) {
      entries.add(decodeEntry(item));
    }
    return new RangeResponse(entries, n.path(TRUNCATED).asBoolean(false), decodeStoreRevision(n));
  }

  /** The answer to a watch. A change that is neither a put nor a delete is left out. */
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

  /** The keys whose conditions did not hold, from the answer to a transaction that failed. */
  public static List<String> decodeFailedConditions(JsonNode response) {
    List<String> keys = new ArrayList<>();
    for (JsonNode key : response.path(FAILED_CONDITIONS)) {
      keys.add(key.asText());
    }
    return keys;
  }

  /** A request for a session lease that lives for so many milliseconds unless it is renewed. */
  public static ObjectNode encodeLeaseRequest(long ttlMs) {
    return Json.object().put(LEASE_TTL_MS, ttlMs);
  }

  /** The id of the session lease that the store has created; 0 if the answer has none. */
  public static long decodeSessionLease(JsonNode response) {
    return response.path(SESSION_LEASE).asLong();
  }

  /**
   * True if the store refused a transaction because the session lease of a put is unknown or has
   * expired. The body is that of a refusal, and null if it was no JSON.
   */
  public static boolean decodeLeaseExpired(JsonNode errorResponse) {
    return errorResponse != null && errorResponse.path(ERROR).asText().contains(LEASE_ERROR);
  }
}
