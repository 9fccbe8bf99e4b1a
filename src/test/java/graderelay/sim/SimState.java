package graderelay.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.net.Loop;
import graderelay.wire.Json;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** The state service, written from the published protocol. */
public final class SimState implements Exchange.Handler {
  /** One stored key. */
  public record Item(JsonNode value, long revision, long hold) {}

  private record Change(String key, JsonNode value, long revision) {}

  private record Watcher(
      String prefix, long after, Exchange e, boolean[] over, boolean[] refused) {}

  private static final class Hold {
    double until;
    double life;
    Loop.Timer timer;
    final Set<String> keys = new HashSet<>();
  }

  private final Loop loop;
  private int txnOps;
  private int valueBytes = 16 * 1024;
  private boolean lowered;

  /** Transactions refused for their size since the limits were lowered. */
  public int tooLarge;

  public final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private final List<Watcher> watchers = new ArrayList<>();
  private long revision;
  private long nextHold = 1;
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
  public SimState(Loop loop, int txnOps) {
    this.loop = loop;
    this.txnOps = txnOps;
  }

  /** Nobody is served; at its end every hold has its full time again. */
  public void outage(boolean on) {
    outage = on;
    for (var h : new ArrayList<>(holds.entrySet())) {
      if (on) {
        h.getValue().timer.cancel();
      } else {
        arm(h.getKey(), h.getValue());
      }
    }
    if (!on) {
      wake();
    }
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
    changes.add(new Change(key, value, revision));
    wake();
  }

  /** Handler for one node, which may be refused alone. */
  public Exchange.Handler forNode(boolean[] refused) {
    return e -> {
      if (e.path().equals("/watch")) {
        watch(e, refused); // Its open watches wait, as in an outage.
      } else if (refused[0]) {
        e.to().accept(Answer.json(503, Json.error("not now")));
      } else if (slowS > 0) {
        loop.after(slowS, () -> handle(e));
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
      e.to().accept(Answer.json(503, Json.error("outage")));
    } else if (p.equals("/store")) {
      list(e);
    } else if (p.startsWith("/store/")) {
      get(e, p.substring(7));
    } else if (p.equals("/multi")) {
      JsonNode t = Json.read(e.body());
      if (delay.test(t)) {
        loop.after(delayS, () -> multi(e, t));
      } else {
        multi(e, t);
      }
    } else if (p.equals("/holds")) {
      Hold h = new Hold();
      h.life = Json.read(e.body()).path("life_ms").asLong() / 1000.0;
      long id = nextHold++;
      holds.put(id, h);
      arm(id, h);
      answer(e, 200, Json.object().put("permit", id));
    } else if (p.endsWith("/extend")) {
      long id = Long.parseLong(p.substring(7, p.length() - 7));
      Hold h = holds.get(id);
      if (h == null) {
        answer(e, 404, Json.object());
      } else {
        arm(id, h);
        answer(e, 200, Json.object());
      }
    } else if (p.startsWith("/holds/")) {
      long id = Long.parseLong(p.substring(7));
      answer(e, holds.containsKey(id) ? 200 : 404, Json.object());
      end(id);
    } else {
      answer(e, 400, Json.object());
    }
  }

  private void answer(Exchange e, int status, JsonNode n) {
    e.to().accept(Answer.json(status, Json.write(n)));
  }

  private void arm(long id, Hold h) {
    if (h.timer != null) {
      h.timer.cancel();
    }
    h.until = loop.now() + h.life;
    h.timer = loop.after(h.life, () -> end(id));
  }

  private void end(long id) {
    Hold h = holds.remove(id);
    if (h != null && h.timer != null) {
      h.timer.cancel();
    }
    if (h != null && !h.keys.isEmpty()) {
      revision++;
      for (String k : h.keys) {
        items.remove(k);
        changes.add(new Change(k, null, revision));
      }
      wake();
    }
  }

  private static Map<String, String> params(Exchange e) {
    Map<String, String> m = new HashMap<>();
    for (String s : e.query().split("&")) {
      String[] kv = s.split("=", 2);
      m.put(kv[0], kv.length > 1 ? URLDecoder.decode(kv[1], StandardCharsets.UTF_8) : "");
    }
    return m;
  }

  private static void show(ObjectNode n, String key, Item i) {
    n.put("key", key).put("mark", i.revision());
    n.set("data", i.value());
    if (i.hold() > 0) {
      n.put("permit", i.hold());
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
    Map<String, String> p = params(e);
    String under = p.getOrDefault("under", "");
    if (under.equals(refusedList)) {
      e.to().accept(Answer.json(503, Json.error("not now")));
      return;
    }
    String after = p.getOrDefault("after", "");
    int most = Math.min(1000, Integer.parseInt(p.getOrDefault("most", "1000")));
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
    for (JsonNode c : t.path("then")) {
      if (c.has("permit") && !holds.containsKey(c.get("permit").asLong())) {
        answer(e, 400, Json.object().put("error", "no such lease"));
        return;
      }
    }
    ArrayNode failed = Json.array();
    for (JsonNode c : t.path("if")) {
      Item i = items.get(c.path("key").asText());
      if (ignoredCondition.test(c.path("key").asText())) {
        continue;
      }
      if ((i == null ? 0 : i.revision()) != c.path("mark").asLong()) {
        failed.add(c.path("key").asText());
      }
    }
    if (!failed.isEmpty()) {
      conflicts += t.path("then").isEmpty() ? 0 : 1;
      ObjectNode n = Json.object().put("ledger", revision);
      n.set("failed", failed);
      answer(e, 409, n);
      return;
    }
    onCommit.accept(t);
    revision++;
    for (JsonNode c : t.path("then")) {
      String key = c.has("put") ? c.get("put").asText() : c.get("drop").asText();
      Item old = items.remove(key);
      if (old != null && old.hold() > 0 && holds.containsKey(old.hold())) {
        holds.get(old.hold()).keys.remove(key);
      }
      if (c.has("put")) {
        long hold = c.path("permit").asLong(0);
        everWritten.add(key);
        items.put(key, new Item(c.get("data"), revision, hold));
        if (hold > 0) {
          holds.get(hold).keys.add(key);
        }
      }
      changes.add(new Change(key, c.get("data"), revision));
    }
    changesMade += t.path("then").size();
    onCommitted.accept(t);
    if (!loseAnswer.test(t)) {
      answer(e, 200, Json.object().put("ledger", revision));
    }
    wake();
  }

  private void watch(Exchange e, boolean[] refused) {
    requests++;
    Map<String, String> p = params(e);
    Watcher w =
        new Watcher(
            p.get("under"), Long.parseLong(p.get("after")), e, new boolean[] {false}, refused);
    double block = Integer.parseInt(p.getOrDefault("block_ms", "0")) / 1000.0;
    if (!tell(w, block == 0)) {
      watchers.add(w);
      loop.after(
          block,
          () -> {
            if (!outage && tell(w, true)) {
              watchers.remove(w);
            }
          });
    }
  }

  private boolean tell(Watcher w, boolean anyway) {
    if (w.over[0]) {
      return true;
    }
    if (outage || holdWatches || w.refused()[0]) {
      return false;
    }
    ObjectNode n = Json.object().put("ledger", revision);
    ArrayNode news = n.putArray("news");
    for (Change c : changes) {
      if (c.revision() > w.after() && c.key().startsWith(w.prefix())) {
        if (c.value() == null) {
          news.addObject().put("drop", c.key()).put("mark", c.revision());
        } else {
          news.addObject().put("put", c.key()).put("mark", c.revision()).set("data", c.value());
        }
      }
    }
    if (news.isEmpty() && !anyway) {
      return false;
    }
    w.over[0] = true;
    answer(w.e, 200, n);
    return true;
  }

  private void wake() {
    for (Watcher w : new ArrayList<>(watchers)) {
      if (tell(w, false)) {
        watchers.remove(w);
      }
    }
  }
}
