package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.SchedulerLimits;
import graderelay.net.Loop;
import graderelay.net.Reply;
import graderelay.net.TokenBucket;
import graderelay.net.TokenBucket.Use;
import graderelay.net.Transport;
import graderelay.peer.RequestHedger;
import graderelay.wire.Json;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Speaks the state service's protocol, within this node's share of its rates. */
public final class StateClient {
  /** Seconds since its last answer for which a node says that it reaches the state service. */
  static final double REACHES_S = 1.3;

  /** Share of the deployment's request rate that the leader gives itself. */
  private static final double LEADER_REQUESTS = 0.42;

  /** Share of the request rate that the others have together; the rest is for renewals. */
  private static final double OTHERS_REQUESTS = 0.5;

  /** Share of the deployment's change rate that the leader gives itself. */
  private static final double LEADER_CHANGES = 0.7;

  /** Share of the change rate that the others have together. */
  private static final double OTHERS_CHANGES = 0.3;

  /**
   * Requests in whose time at a node's own rate one catch-up read and one watch may go: a quarter
   * each, so that half is left for what users ask and the leader writes.
   */
  private static final double READ_EVERY_REQUESTS = 4;

  /** Seconds for which a peer may use what the leader has lent it: a few of its messages. */
  private static final double LENT_S = 3.5;

  /** Seconds to wait for an ordinary answer: usually 10 ms, at times a few hundred. */
  public static final double STATE_TIMEOUT_S = 1.2;

  /** Seconds before a failed call to the state service is repeated. */
  public static final double STATE_RETRY_S = 0.2;

  /** Items in one page of a list, a batch: each may be near the value limit of some 16 KiB. */
  private static final int PAGE_ITEMS = 200;

  private final Loop loop;
  private final Transport transport;
  private final String address;
  private final double rps;
  private double changesPerS;
  private final double leastChangesPerS;

  /** The service has refused a transaction for its size that its first limits allow. */
  private boolean smaller;

  private final int others;
  private final TokenBucket requests;
  private final TokenBucket changes;
  private double lastOk = Double.NEGATIVE_INFINITY;
  private double firstFailure = Double.NaN;
  private final Map<String, Long> outcomes = new HashMap<>();

  /** When each call that nobody has answered yet was sent, by its number; watches are long. */
  private final Map<Long, Double> unanswered = new LinkedHashMap<>();

  private long nextCall;
  private String fenceKey;
  private LongSupplier fenceRevision;
  private BooleanSupplier mayChange = () -> true;
  private boolean leader;
  private double taken;
  private double borrowedUntil;

  public StateClient(
      Loop loop,
      Transport transport,
      String address,
      double rps,
      double changesPerS,
      double leastChangesPerS,
      int others) {
    this.loop = loop;
    this.transport = transport;
    this.address = address;
    this.rps = rps;
    this.changesPerS = changesPerS;
    this.leastChangesPerS = leastChangesPerS;
    this.others = Math.max(1, others);
    this.requests = new TokenBucket(loop, othersRequests(), othersRequests());
    this.changes = new TokenBucket(loop, othersChanges(), othersChanges());
  }

  private double othersRequests() {
    return rps * OTHERS_REQUESTS / others;
  }

  private double othersChanges() {
    return changesPerS * OTHERS_CHANGES / others;
  }

  /** Changes a second of a node that does not own the fleet, unless the leader lends it more. */
  double usualShare() {
    return othersChanges();
  }

  /** Changes a second that the whole deployment may make. */
  double allChanges() {
    return changesPerS;
  }

  /**
   * The leader's share is lower by what it lends to the others: what they accept must not wait
   * while it writes ends, many of which go in one change if they wait.
   */
  void lend(double lent) {
    changes.rate(leadersChanges() - lent);
  }

  /** The leader lets us make so many changes a second for the moment. */
  void borrow(double rate) {
    changes.rate(Math.max(othersChanges(), rate));
    borrowedUntil = loop.now() + LENT_S;
    loop.after(
        LENT_S,
        () -> {
          if (!leader && loop.now() >= borrowedUntil) {
            changes.rate(othersChanges());
          }
        });
  }

  /** Changes made since the last call of this, and those that wait. */
  public double wantedChanges() {
    double n = taken + changes.waiting();
    taken = 0;
    return n;
  }

  /** Changes a second that this node may make while it owns the fleet. */
  public double leadersChanges() {
    return changesPerS * LEADER_CHANGES;
  }

  /** The leader has the larger share: claims must not starve behind what the others read. */
  public void owns(boolean leader) {
    this.leader = leader;
    requests.rate(leader ? rps * LEADER_REQUESTS : othersRequests());
    changes.rate(leader ? leadersChanges() : othersChanges());
  }

  /** Seconds that should lie between reads of one kind, so that they fit this node's share. */
  public double readEveryS() {
    return READ_EVERY_REQUESTS / requests.rate();
  }

  /** When the service last answered this node properly. */
  public double lastOk() {
    return lastOk;
  }

  /** Seconds for which every call has failed, 0 if the last one did not. */
  public double failingFor() {
    return Double.isNaN(firstFailure) ? 0 : loop.now() - firstFailure;
  }

  /** True if the service serves this node: its last call went well, a moment ago. */
  public boolean reached() {
    return failingFor() == 0 && loop.now() - lastOk < REACHES_S;
  }

  /**
   * True if the service lets this node wait or refuses it. What only waits for this node's own
   * tokens is no sign of that: asking others as well would use up theirs too.
   */
  public boolean stuck() {
    return failingFor() > 0
        || (!unanswered.isEmpty()
            && loop.now() - unanswered.values().iterator().next() > RequestHedger.HEDGE_S / 2);
  }

  public TokenBucket requestTokens() {
    return requests;
  }

  public TokenBucket changeTokens() {
    return changes;
  }

  /** Calls by outcome, for the metrics. */
  public Map<String, Long> outcomes() {
    return outcomes;
  }

  public void get(String key, Use use, Consumer<StoreResult> done) {
    call(use, "GET", "/store/" + key, null, STATE_TIMEOUT_S, done);
  }

  /** Reads all keys under a prefix, page by page. The first page's revision is the list's. */
  public void list(String prefix, Use use, Consumer<List<JsonNode>> done) {
    page(prefix, null, use, new ArrayList<>(), done);
  }

  private void page(
      String prefix, String after, Use use, List<JsonNode> pages, Consumer<List<JsonNode>> done) {
    String path =
        "/store?under="
            + enc(prefix)
            + (after == null ? "" : "&after=" + enc(after))
            + "&most="
            + PAGE_ITEMS;
    call(
        use,
        "GET",
        path,
        null,
        STATE_TIMEOUT_S,
        r -> {
          if (!r.succeeded()) {
            done.accept(null);
            return;
          }
          pages.add(r.body());
          JsonNode items = r.body().path("items");
          if (r.body().path("truncated").asBoolean(false) && items.size() > 0) {
            String last = items.get(items.size() - 1).path("key").asText();
            page(prefix, last, use, pages, done);
          } else {
            done.accept(pages);
          }
        });
  }

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
    return Math.max(1, txnOps * SchedulerLimits.CONDITIONS_PER_OP - 1);
  }

  public void commit(Transaction transaction, Use use, Consumer<StoreResult> done) {
    if (!transaction.isReadOnly() && !mayChange.getAsBoolean()) {
      done.accept(StoreResult.notExecuted());
      return;
    }
    if (fenceKey != null) {
      // Now, and not when there are tokens: this is the level that the transaction was made for.
      transaction.when(fenceKey, fenceRevision.getAsLong());
    }
    ObjectNode body = transaction.toJson();
    changes.take(
        use,
        transaction.changeCount(),
        ok -> {
          if (!ok) {
            done.accept(StoreResult.notExecuted());
          } else {
            taken += transaction.changeCount();
            call(use, "POST", "/multi", body, STATE_TIMEOUT_S, done);
          }
        });
  }

  /**
   * Creates a session lease; keys that are put under it are deleted when it expires.
   *
   * @param lifeMs milliseconds for which it lives after each renewal
   */
  public void createSessionLease(long lifeMs, Consumer<StoreResult> done) {
    ObjectNode body = Json.object().put("life_ms", lifeMs);
    call(Use.RENEWAL, "POST", "/holds", body, STATE_TIMEOUT_S, done);
  }

  /** Renews a session lease for its whole life. */
  public void renewSessionLease(long lease, double timeoutS, Consumer<StoreResult> done) {
    call(Use.RENEWAL, "POST", "/holds/" + lease + "/extend", Json.object(), timeoutS, done);
  }

  /** Revokes a session lease; the store deletes what was put under it at once. */
  public void revokeSessionLease(long lease, Consumer<StoreResult> done) {
    call(Use.RENEWAL, "DELETE", "/holds/" + lease, null, STATE_TIMEOUT_S, done);
  }

  /** Changes under a prefix after a revision; with {@code blockMs} 0 it only catches up. */
  public void watch(String prefix, long after, int blockMs, Use use, Consumer<StoreResult> done) {
    String path = "/watch?under=" + enc(prefix) + "&after=" + after + "&block_ms=" + blockMs;
    call(use, "GET", path, null, STATE_TIMEOUT_S + blockMs / 1000.0, done);
  }

  private static String enc(String s) {
    return URLEncoder.encode(s, StandardCharsets.UTF_8).replace("%2F", "/");
  }

  private void call(
      Use use,
      String method,
      String path,
      JsonNode body,
      double timeoutS,
      Consumer<StoreResult> done) {
    requests.take(
        use,
        1,
        ok -> {
          if (!ok) {
            done.accept(StoreResult.notExecuted());
            return;
          }
          byte[] bytes = body == null ? null : Json.write(body);
          long call = nextCall++;
          if (timeoutS <= STATE_TIMEOUT_S) {
            unanswered.put(call, loop.now());
          }
          transport.call(
              address,
              method,
              path,
              bytes,
              timeoutS,
              r -> {
                unanswered.remove(call);
                done.accept(result(method, path, r));
              });
        });
  }

  /** True once the service has refused a transaction for a size that its first limits allow. */
  public boolean smaller() {
    return smaller;
  }

  /** The rate to come is in force: all that is sent from now on keeps it. */
  private void slowDown() {
    if (leastChangesPerS < changesPerS) {
      changesPerS = leastChangesPerS;
      changes.rate(leader ? leadersChanges() : othersChanges());
    }
  }

  private StoreResult result(String method, String path, Reply r) {
    JsonNode body = r.status() == 0 ? null : Json.read(r.body());
    StoreOutcome outcome =
        switch (r.status()) {
          case 200 ->
              body == null && !method.equals("DELETE")
                  ? StoreOutcome.UNKNOWN
                  : StoreOutcome.SUCCEEDED;
          case 404, 410 -> StoreOutcome.NOT_FOUND;
          case 409 -> StoreOutcome.CONDITION_FAILED;
          case 400 ->
              body != null && body.path("error").asText().contains("lease")
                  ? StoreOutcome.LEASE_EXPIRED
                  : StoreOutcome.NOT_EXECUTED;
          case 429, 503 -> StoreOutcome.NOT_EXECUTED;
          case 0 -> r.sent() ? StoreOutcome.UNKNOWN : StoreOutcome.NOT_EXECUTED;
            // More has changed than one answer may hold: as if the revision were too old.
          case Reply.TOO_LARGE ->
              path.startsWith("/watch") ? StoreOutcome.NOT_FOUND : StoreOutcome.UNKNOWN;
          default -> StoreOutcome.UNKNOWN;
        };
    if (r.status() == 429) {
      requests.penalty();
      changes.penalty();
    }
    if (path.equals("/multi")) {
      // Too many changes at once say nothing of the size that a value may have: the smaller form of
      // a record must not be written before the service has shown that it takes no other.
      smaller |= r.status() == 400 && outcome != StoreOutcome.LEASE_EXPIRED;
      if (smaller || r.status() == 429) {
        slowDown();
      }
    }
    boolean answered = r.status() != 0 && r.status() != 503;
    if (answered) {
      lastOk = loop.now();
      firstFailure = Double.NaN;
    } else if (Double.isNaN(firstFailure)) {
      firstFailure = loop.now();
    }
    String what = path.startsWith("/store") ? "read" : path.split("[/?]", 3)[1];
    outcomes.merge(what + " " + (r.status() == 0 ? "none" : r.status()), 1L, Long::sum);
    return new StoreResult(outcome, body);
  }
}
