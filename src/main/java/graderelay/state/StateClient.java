package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.SchedulerLimits;
import graderelay.net.Loop;
import graderelay.net.Reply;
import graderelay.net.TokenBucket.Use;
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
 * Client of the key-value store, which keeps within this controller's part of the store's rates.
 */
public final class StateClient {
  /** Seconds to wait for an ordinary answer: usually 10 ms, at times a few hundred. */
  public static final double STATE_TIMEOUT_S = 1.2;

  /** Seconds before a failed call to the store is repeated. */
  public static final double STATE_RETRY_S = 0.2;

  /** Records in one page of a listing: each may be near the value limit of some 16 KiB. */
  private static final int PAGE_RECORDS = 200;

  private static final String TRANSACTION_PATH = "/multi";
  private static final String LEASES_PATH = "/holds";
  private static final String WATCH_PATH = "/watch";
  private static final String KEYS_PATH = "/store";

  private final Transport transport;
  private final String address;
  private final StoreRequestBudget budget;
  private final StoreHealth health;
  private final StoreCallCounters counters = new StoreCallCounters();

  /** The store has refused a transaction for a size that its first limits allow. */
  private boolean limitsReduced;

  private String fenceKey;
  private LongSupplier fenceRevision;
  private BooleanSupplier mayChange = () -> true;

  /**
   * Makes a client of the store at {@code address}.
   *
   * @param requestsPerS requests a second that the whole deployment may send
   * @param changesPerS puts and deletes a second that the whole deployment may make
   * @param reducedChangesPerS the same once the store's reduced limits are in force
   * @param followers controllers beside the leader
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

  /** This controller's part of the store's rates. */
  public StoreRequestBudget budget() {
    return budget;
  }

  /** Whether the store serves this controller. */
  public StoreHealth health() {
    return health;
  }

  /** Calls by kind and status, for metrics. */
  public Map<String, Long> outcomes() {
    return counters.counts();
  }

  /** True once the store has refused a transaction for a size that its first limits allow. */
  public boolean limitsReduced() {
    return limitsReduced;
  }

  // ---------------------------------------------------------------- reads

  /** Reads one key. */
  public void get(String key, Use use, Consumer<StoreResult> done) {
    call(use, "GET", KEYS_PATH + "/" + key, null, STATE_TIMEOUT_S, done);
  }

  /** Reads all keys under a prefix, page by page; calls back with null if a page can't be read. */
  public void list(String prefix, Use use, Consumer<Listing> done) {
    new PagedRead((after, onPage) -> readPage(prefix, after, use, onPage), done).start();
  }

  private void readPage(String prefix, String after, Use use, Consumer<StoreResult> done) {
    String path =
        KEYS_PATH
            + "?under="
            + encode(prefix)
            + (after == null ? "" : "&after=" + encode(after))
            + "&most="
            + PAGE_RECORDS;
    call(use, "GET", path, null, STATE_TIMEOUT_S, done);
  }

  /**
   * Reads the changes under a prefix after a revision.
   *
   * @param blockMs milliseconds for which the store may wait for a change; 0 if it must not
   */
  public void watch(
      String prefix, long afterRevision, int blockMs, Use use, Consumer<StoreResult> done) {
    String path =
        WATCH_PATH
            + "?under="
            + encode(prefix)
            + "&after="
            + afterRevision
            + "&block_ms="
            + blockMs;
    call(use, "GET", path, null, STATE_TIMEOUT_S + blockMs / 1000.0, done);
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("%2F", "/");
  }

  // ---------------------------------------------------------------- transactions

  /**
   * From now on every transaction is conditioned on the revision that a key has when it is made.
   * The condition takes no change, and one place of those that a transaction may have. Nothing is
   * changed while {@code mayChange} is false.
   */
  void fenceBy(String key, LongSupplier revision, BooleanSupplier mayChange) {
    fenceKey = key;
    fenceRevision = revision;
    this.mayChange = mayChange;
  }

  /** Conditions that a transaction may have beside the fence. */
  static int mostConditions(int txnOps) {
    return Math.max(1, txnOps * SchedulerLimits.MAX_CONDITIONS_PER_CHANGE - 1);
  }

  /** Executes a transaction, with the fence as one more condition. */
  public void commit(Transaction transaction, Use use, Consumer<StoreResult> done) {
    if (!transaction.isReadOnly() && !mayChange.getAsBoolean()) {
      done.accept(StoreResult.notExecuted());
      return;
    }
    if (fenceKey != null) {
      // Now, and not when there are tokens: this is the level that the transaction was made for.
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
            call(use, "POST", TRANSACTION_PATH, body, STATE_TIMEOUT_S, done);
          }
        });
  }

  // ---------------------------------------------------------------- session leases

  /**
   * Creates a session lease; keys that are put under it are deleted when it expires.
   *
   * @param lifeMs milliseconds for which it lives after each renewal
   */
  public void createSessionLease(long lifeMs, Consumer<StoreResult> done) {
    ObjectNode body = StoreCodec.encodeLeaseRequest(lifeMs);
    call(Use.RENEWAL, "POST", LEASES_PATH, body, STATE_TIMEOUT_S, done);
  }

  /** Renews a session lease for its whole life. */
  public void renewSessionLease(long lease, double timeoutS, Consumer<StoreResult> done) {
    call(Use.RENEWAL, "POST", LEASES_PATH + "/" + lease + "/extend", Json.object(), timeoutS, done);
  }

  /** Revokes a session lease; the store deletes what was put under it at once. */
  public void revokeSessionLease(long lease, Consumer<StoreResult> done) {
    call(Use.RENEWAL, "DELETE", LEASES_PATH + "/" + lease, null, STATE_TIMEOUT_S, done);
  }

  // ---------------------------------------------------------------- calls

  private void call(
      Use use,
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
          long call = health.callSent(timeoutS > STATE_TIMEOUT_S);
          transport.call(
              address,
              method,
              path,
              bytes,
              timeoutS,
              reply -> {
                health.callEnded(call);
                done.accept(onReply(method, path, reply));
              });
        });
  }

  /** Takes note of what a reply shows of the store, and returns the result of its call. */
  private StoreResult onReply(String method, String path, Reply reply) {
    JsonNode body = reply.status() == 0 ? null : Json.read(reply.body());
    StoreOutcome outcome = outcomeOf(method, path, reply, body);
    if (reply.status() == 429) {
      budget.onTooManyRequests();
    }
    if (path.equals(TRANSACTION_PATH)) {
      noteLimits(reply.status(), outcome);
    }
    if (reply.status() != 0 && reply.status() != 503) {
      health.answered();
    } else {
      health.failed();
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
      case Reply.TOO_LARGE -> outcomeOfTooLarge(path);
      default -> StoreOutcome.UNKNOWN;
    };
  }

  /** A watch whose changes are too many for one answer ends as if its revision were too old. */
  private static StoreOutcome outcomeOfTooLarge(String path) {
    return path.startsWith(WATCH_PATH) ? StoreOutcome.NOT_FOUND : StoreOutcome.UNKNOWN;
  }

  /**
   * Sees from the answer to a transaction whether the store's reduced limits are in force. Too many
   * changes at once say nothing of the size that a value may have: the smaller form of a record
   * must not be written before the store has shown that it takes no other.
   */
  private void noteLimits(int status, StoreOutcome outcome) {
    limitsReduced |= status == 400 && outcome != StoreOutcome.LEASE_EXPIRED;
    if (limitsReduced || status == 429) {
      budget.reduceChangeRate();
    }
  }
}
