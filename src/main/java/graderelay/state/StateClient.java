package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.SchedulerLimits;
import graderelay.net.Loop;
import graderelay.net.Reply;
import graderelay.net.TokenBucket.CallPriority;
import graderelay.net.Transport;
import graderelay.wire.Json;
import graderelay.wire.StoreCodec;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Client of the key-value store that keeps within this controller's share of the store's request
 * and change rates.
 */
public final class StateClient {
  /** Call timeout in seconds; responses usually take 10 ms, sometimes a few hundred. */
  public static final double CALL_TIMEOUT_S = 1.2;

  /** Delay in seconds before a failed call is retried. */
  public static final double RETRY_DELAY_S = 0.2;

  /** Records per page of a listing; each may be close to the value limit of about 16 KiB. */
  private static final int RECORDS_PER_PAGE = 200;

  private static final String TRANSACTION_PATH = "/multi";
  private static final String LEASES_PATH = "/holds";
  private static final String WATCH_PATH = "/watch";
  private static final String KEYS_PATH = "/store";

  private final Transport transport;
  private final String address;
  private final StoreRequestBudget budget;
  private final StoreHealth health;
  private final StoreCallCounters counters = new StoreCallCounters();

  /** True once the store has rejected a transaction of a size within its initial limits. */
  private boolean hasReducedLimits;

  private String fenceKey;
  private LongSupplier fenceRevision;
  private BooleanSupplier changesAllowed = () -> true;

  /**
   * Creates a client of the store at {@code address}.
   *
   * @param requestsPerS requests per second that the whole deployment may send
   * @param changesPerS puts and deletes per second that the whole deployment may make
   * @param reducedChangesPerS the same once the store's reduced limits are in force
   * @param followers number of controllers besides the leader
   */
  public StateClient(
      Loop loop,
      Transport transport,
      String address,
      double requestsPerS,
      double changesPerS,
      double reducedChangesPerS,
      int followers) {
    this.transport = transport;
    this.address = address;
    this.budget =
        new StoreRequestBudget(loop, requestsPerS, changesPerS, reducedChangesPerS, followers);
    this.health = new StoreHealth(loop);
  }

  /** This controller's share of the store's request and change rates. */
  public StoreRequestBudget budget() {
    return budget;
  }

  /** The health of the store as observed by this controller. */
  public StoreHealth health() {
    return health;
  }

  /** The number of calls by kind and status, for metrics. */
  public Map<String, Long> callCounts() {
    return counters.counts();
  }

  /** True once the store has rejected a transaction of a size within its initial limits. */
  public boolean hasReducedLimits() {
    return hasReducedLimits;
  }

  // ---------------------------------------------------------------- reads

  /** Reads one key. */
  public void get(String key, CallPriority use, Consumer<StoreResult> done) {
    call(use, "GET", KEYS_PATH + "/" + key, null, CALL_TIMEOUT_S, done);
  }

  /** Reads all records under a prefix; calls back with null if a page can't be read. */
  public void list(String prefix, CallPriority use, Consumer<Listing> done) {
    new PagedRead((afterKey, onPage) -> readPage(prefix, afterKey, use, onPage), done).start();
  }

  private void readPage(
      String prefix, String afterKey, CallPriority use, Consumer<StoreResult> done) {
    String path =
        KEYS_PATH
            + "?under="
            + encode(prefix)
            + (afterKey == null ? "" : "&after=" + encode(afterKey))
            + "&most="
            + RECORDS_PER_PAGE;
    call(use, "GET", path, null, CALL_TIMEOUT_S, done);
  }

  /**
   * Reads the changes under a prefix after a revision.
   *
   * @param blockMs maximum time in milliseconds that the store waits for a change; 0 for none
   */
  public void watch(
      String prefix,
      long afterRevision,
      int blockMs,
      CallPriority use,
      Consumer<StoreResult> done) {
    String path =
        WATCH_PATH
            + "?under="
            + encode(prefix)
            + "&after="
            + afterRevision
            + "&block_ms="
            + blockMs;
    call(use, "GET", path, null, CALL_TIMEOUT_S + blockMs / 1000.0, done);
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("%2F", "/");
  }

  // ---------------------------------------------------------------- transactions

  /**
   * Sets the fence: from now on every transaction is conditioned on the revision that {@code
   * revision} supplies for {@code key} when {@link #commit} is called. The fence uses up one of the
   * conditions that a transaction may have, but none of its changes. Transactions that change
   * anything are not executed while {@code changesAllowed} is false.
   */
  void setFence(String key, LongSupplier revision, BooleanSupplier changesAllowed) {
    fenceKey = key;
    fenceRevision = revision;
    this.changesAllowed = changesAllowed;
  }

  /** The maximum number of conditions that a transaction may have besides the fence. */
  static int maxConditions(int txnOps) {
    return Math.max(1, txnOps * SchedulerLimits.MAX_CONDITIONS_PER_CHANGE - 1);
  }

  /** Executes a transaction, with the fence as an additional condition. */
  public void commit(Transaction transaction, CallPriority use, Consumer<StoreResult> done) {
    if (!transaction.isReadOnly() && !changesAllowed.getAsBoolean()) {
      done.accept(StoreResult.notExecuted());
      return;
    }
    if (fenceKey != null) {
      // Not after waiting for tokens: the transaction was built for the present feature level.
      transaction.when(fenceKey, fenceRevision.getAsLong());
    }
    ObjectNode body = transaction.encode();
    budget.takeChanges(
        use,
        transaction.changeCount(),
        granted -> {
          if (!granted) {
            done.accept(StoreResult.notExecuted());
          } else {
            call(use, "POST", TRANSACTION_PATH, body, CALL_TIMEOUT_S, done);
          }
        });
  }

  // ---------------------------------------------------------------- session leases

  /**
   * Creates a session lease; keys that are bound to it are deleted when it expires.
   *
   * @param ttlMs time in milliseconds from creation or the last renewal to expiry
   */
  public void createSessionLease(long ttlMs, Consumer<StoreResult> done) {
    ObjectNode body = StoreCodec.encodeLeaseRequest(ttlMs);
    call(CallPriority.RENEWAL, "POST", LEASES_PATH, body, CALL_TIMEOUT_S, done);
  }

  /** Renews a session lease for its full time to live. */
  public void renewSessionLease(long lease, double timeoutS, Consumer<StoreResult> done) {
    call(
        CallPriority.RENEWAL,
        "POST",
        LEASES_PATH + "/" + lease + "/extend",
        Json.object(),
        timeoutS,
        done);
  }

  /** Revokes a session lease; the store immediately deletes the keys bound to it. */
  public void revokeSessionLease(long lease, Consumer<StoreResult> done) {
    call(CallPriority.RENEWAL, "DELETE", LEASES_PATH + "/" + lease, null, CALL_TIMEOUT_S, done);
  }

  // ---------------------------------------------------------------- calls

  private void call(
      CallPriority use,
      String method,
      String path,
      JsonNode body,
      double timeoutS,
      Consumer<StoreResult> done) {
    budget.takeRequest(
        use,
        granted -> {
          if (!granted) {
            done.accept(StoreResult.notExecuted());
            return;
          }
          byte[] bytes = body == null ? null : Json.write(body);
          long callId = health.onCallSent(timeoutS > CALL_TIMEOUT_S);
          transport.call(
              address,
              method,
              path,
              bytes,
              timeoutS,
              reply -> {
                health.onCallEnded(callId);
                done.accept(onReply(method, path, reply));
              });
        });
  }

  /** Updates budget, limits, health and counters from a reply; returns the result of the call. */
  private StoreResult onReply(String method, String path, Reply reply) {
    JsonNode body = reply.status() == 0 ? null : Json.read(reply.body());
    StoreOutcome outcome = outcomeOf(method, path, reply, body);
    if (reply.status() == 429) {
      budget.onTooManyRequests();
    }
    if (path.equals(TRANSACTION_PATH)) {
      detectReducedLimits(reply.status(), outcome);
    }
    if (reply.status() != 0 && reply.status() != 503) {
      health.onAnswered();
    } else {
      health.onFailed();
    }
    counters.count(path, reply.status());
    return new StoreResult(outcome, body);
  }

  private static StoreOutcome outcomeOf(String method, String path, Reply reply, JsonNode body) {
    return switch (reply.status()) {
      case 200 ->
          body == null && !method.equals("DELETE") ? StoreOutcome.UNKNOWN : StoreOutcome.SUCCEEDED;
      case 404, 410 -> StoreOutcome.NOT_FOUND;
      case 409 -> StoreOutcome.CONDITION_FAILED;
      case 400 ->
          StoreCodec.decodeLeaseExpired(body)
              ? StoreOutcome.LEASE_EXPIRED
              : StoreOutcome.NOT_EXECUTED;
      case 429, 503 -> StoreOutcome.NOT_EXECUTED;
      case 0 -> reply.sent() ? StoreOutcome.UNKNOWN : StoreOutcome.NOT_EXECUTED;
      case Reply.RESPONSE_TOO_LARGE -> outcomeOfTooLarge(path);
      default -> StoreOutcome.UNKNOWN;
    };
  }

  /** A watch with too many changes for one response ends as if its revision were compacted. */
  private static StoreOutcome outcomeOfTooLarge(String path) {
    return path.startsWith(WATCH_PATH) ? StoreOutcome.NOT_FOUND : StoreOutcome.UNKNOWN;
  }

  /**
   * Detects from the response to a transaction whether the store's reduced limits are in force. A
   * 429 reduces only the change rate: too many requests imply nothing about the maximum size of a
   * value, and records must not be written in the packed form before the store has rejected the
   * plain one.
   */
  private void detectReducedLimits(int status, StoreOutcome outcome) {
    hasReducedLimits |= status == 400 && outcome != StoreOutcome.LEASE_EXPIRED;
    if (hasReducedLimits || status == 429) {
      budget.applyReducedChangeRate();
    }
  }
}
