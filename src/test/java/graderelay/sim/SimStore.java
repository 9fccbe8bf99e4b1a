package graderelay.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
import graderelay.net.Loop;
import graderelay.wire.Json;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** The key-value store of a simulated world, written from the published protocol. */
public final class SimStore implements Exchange.Handler {
  /** One stored key; {@code lease} is 0 for a key that stays. */
  public record Item(JsonNode value, long revision, long lease) {}

  private static final int LIST_ENTRIES = 1000;

  private final Loop loop;
  private int txnOps;
  private int valueBytes = 16 * 1024;
  private boolean lowered;

  /** Transactions refused for their size since the limits were lowered. */
  public int tooLarge;

  public final TreeMap<String, Item> items = new TreeMap<>();
  private final StoreLeases leases;
  private final StoreWatches watches;
  private long revision;
  private boolean outage;

  /** Transactions for which this is true commit, but their answer is lost. */
  public Predicate<JsonNode> loseAnswer = t -> false;

  /** Transactions for which this is true are carried out only after so many seconds. */
  public Predicate<JsonNode> delay = t -> false;

  public double delayS = 5;

  /** Watches and catch-up reads get no answer, everything else does. */
  public boolean holdWatches;

  /** Seconds that every answer takes longer than usual. */
  public double slowS;

  /** Lists under this prefix are refused for now, or null. */
  public String refusedList;

  /** Hears of each transaction that is about to commit. */
  public Consumer<JsonNode> onCommit = t -> {};

  /** Hears of each transaction that has committed. */
  public Consumer<JsonNode> onCommitted = t -> {};

  /** Conditions on keys for which this is true are taken for met, against the protocol. */
  public Predicate<String> ignoredCondition = key -> false;

  public int requests;

  /** Puts and deletes of transactions that have committed. */
  public long changesMade;

  /** Transactions with changes whose conditions failed. */
  public int conflicts;

  /** Every key that was ever put. */
  public final Set<String> everWritten = new HashSet<>();

  /** Creates an empty store that takes at most {@code txnOps} changes in a transaction. */
  public SimStore(Loop loop, int txnOps) {
    this.loop = loop;
    this.txnOps = txnOps;
    leases = new StoreLeases(loop, this::removeAll);
    watches = new StoreWatches(this, loop);
  }

  /** Nobody is served; at its end every lease has its whole time again. */
  public void outage(boolean on) {
    outage = on;
    if (on) {
      leases.pause();
    } else {
      leases.resume();
      watches.wake();
    }
  }

  boolean isOut() {
    return outage;
  }

  /** From now on less is allowed; what is stored stays readable. */
  public void lower(double valueKb, int ops) {
    lowered = true;
    txnOps = ops;
    valueBytes = (int) (valueKb * 1024);
  }

  private boolean fits(JsonNode t) {
    for (JsonNode c : t.path("then")) {
      if (c.has("data") && Json.write(c.get("data")).length > valueBytes) {
        return false;
      }
    }
    return t.path("then").size() <= txnOps && t.path("if").size() <= 4 * txnOps;
  }

  /** Returns the revision of the newest change. */
  public long revision() {
    return revision;
  }

  /** Returns what is stored under a key, or null. */
  public JsonNode value(String key) {
    Item i = items.get(key);
    return i == null ? null : i.value();
  }

  /** Somebody changes a record by hand. */
  public void overwrite(String key, JsonNode value) {
    revision++;
    items.put(key, new Item(value, revision, 0));
    watches.changed(key, value, revision);
    watches.wake();
  }

  /** Somebody deletes a record by hand. */
  public void delete(String key) {
    revision++;
    items.remove(key);
    watches.changed(key, null, revision);
    watches.wake();
  }

  /** Handler for one controller, which may be refused alone. */
  public Exchange.Handler forNode(boolean[] refused) {
    return forNode(refused, new boolean[1]);
  }

  /** Handler for one controller, which may be refused alone, or only its lists. */
  public Exchange.Handler forNode(boolean[] refused, boolean[] listsRefused) {
    return e -> {
      if (e.path().equals("/watch")) {
        requests++;
        watches.open(e, refused); // Its open watches wait, as in an outage.
      } else if (refused[0] || (listsRefused[0] && e.path().equals("/store"))) {
        e.responder().accept(Response.json(503, Json.errorBody("not now")));
      } else if (slowS > 0) {
        loop.schedule(slowS, () -> handle(e));
      } else {
        handle(e);
      }
    };
  }

  @Override
  public void handle(Exchange e) {
    requests++;
    String p = e.path();
    if (outage) {
      e.responder().accept(Response.json(503, Json.errorBody("outage")));
    } else if (p.equals("/store")) {
      list(e);
    } else if (p.startsWith("/store/")) {
      get(e, p.substring(7));
    } else if (p.equals("/multi")) {
      JsonNode t = Json.read(e.body());
      if (delay.test(t)) {
        loop.schedule(delayS, () -> multi(e, t));
      } else {
        multi(e, t);
      }
    } else if (p.equals("/holds") || p.startsWith("/holds/")) {
      lease(e, p);
    } else {
      answer(e, 400, Json.object());
    }
  }

  private void answer(Exchange e, int status, JsonNode n) {
    e.responder().accept(Response.json(status, Json.write(n)));
  }

  /** Creates, renews or revokes a lease. */
  private void lease(Exchange e, String path) {
    if (path.equals("/holds")) {
      double lifeS = Json.read(e.body()).path("life_ms").asLong() / 1000.0;
      answer(e, 200, Json.object().put("permit", leases.create(lifeS)));
    } else if (path.endsWith("/extend")) {
      long id = Long.parseLong(path.substring(7, path.length() - 7));
      answer(e, leases.renew(id) ? 200 : 404, Json.object());
    } else {
      long id = Long.parseLong(path.substring(7));
      answer(e, leases.isLive(id) ? 200 : 404, Json.object());
      leases.revoke(id);
    }
  }

  /** Deletes the keys of a lease that has ended, as one change of the store. */
  private void removeAll(Set<String> keys) {
    revision++;
    for (String key : keys) {
      items.remove(key);
      watches.changed(key, null, revision);
    }
    watches.wake();
  }

  private static void show(ObjectNode n, String key, Item i) {
    n.put("key", key).put("mark", i.revision());
    n.set("data", i.value());
    if (i.lease() > 0) {
      n.put("permit", i.lease());
    }
  }

  private void get(Exchange e, String key) {
    Item i = items.get(key);
    ObjectNode n = Json.object();
    if (i == null) {
      answer(e, 404, n.put("ledger", revision));
    } else {
      show(n, key, i);
      answer(e, 200, n);
    }
  }

  private void list(Exchange e) {
    Map<String, String> p = StoreQuery.parameters(e);
    String under = p.getOrDefault("under", "");
    if (under.equals(refusedList)) {
      e.responder().accept(Response.json(503, Json.errorBody("not now")));
      return;
    }
    String after = p.getOrDefault("after", "");
    int most = Math.min(LIST_ENTRIES, Integer.parseInt(p.getOrDefault("most", "" + LIST_ENTRIES)));
    ObjectNode n = Json.object();
    ArrayNode a = n.putArray("items");
    boolean more = false;
    for (var x : items.tailMap(after, false).entrySet()) {
      if (!x.getKey().startsWith(under)) {
        continue;
      }
      if (a.size() == most) {
        more = true;
        break;
      }
      show(a.addObject(), x.getKey(), x.getValue());
    }
    answer(e, 200, n.put("truncated", more).put("ledger", revision));
  }

  private void multi(Exchange e, JsonNode t) {
    if (!fits(t)) {
      tooLarge++;
      answer(e, 400, Json.object().put("error", "too large"));
      if (!lowered) {
        throw new AssertionError("a transaction beyond the limits: " + t);
      }
      return;
    }
    if (!leasesAreLive(t)) {
      answer(e, 400, Json.object().put("error", "no such lease"));
      return;
    }
    ArrayNode failed = failedConditions(t);
    if (!failed.isEmpty()) {
      conflicts += t.path("then").isEmpty() ? 0 : 1;
      ObjectNode n = Json.object().put("ledger", revision);
      n.set("failed", failed);
      answer(e, 409, n);
      return;
    }
    commit(t);
    if (!loseAnswer.test(t)) {
      answer(e, 200, Json.object().put("ledger", revision));
    }
    watches.wake();
  }

  private boolean leasesAreLive(JsonNode t) {
    for (JsonNode change : t.path("then")) {
      if (change.has("permit") && !leases.isLive(change.get("permit").asLong())) {
        return false;
      }
    }
    return true;
  }

  /** Returns the keys whose revision is not the one that the transaction asks for. */
  private ArrayNode failedConditions(JsonNode t) {
    ArrayNode failed = Json.array();
    for (JsonNode condition : t.path("if")) {
      String key = condition.path("key").asText();
      if (ignoredCondition.test(key)) {
        continue;
      }
      Item item = items.get(key);
      if ((item == null ? 0 : item.revision()) != condition.path("mark").asLong()) {
        failed.add(key);
      }
    }
    return failed;
  }

  private void commit(JsonNode t) {
    onCommit.accept(t);
    revision++;
    for (JsonNode change : t.path("then")) {
      apply(change);
    }
    changesMade += t.path("then").size();
    onCommitted.accept(t);
  }

  /** Puts or deletes one key. */
  private void apply(JsonNode change) {
    String key = change.has("put") ? change.get("put").asText() : change.get("drop").asText();
    Item old = items.remove(key);
    if (old != null && old.lease() > 0) {
      leases.detach(old.lease(), key);
    }
    if (change.has("put")) {
      long lease = change.path("permit").asLong(0);
      everWritten.add(key);
      items.put(key, new Item(change.get("data"), revision, lease));
      if (lease > 0) {
        leases.attach(lease, key);
      }
    }
    watches.changed(key, change.get("data"), revision);
  }
}
