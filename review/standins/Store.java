import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The state service, as PROTOCOL describes it. During an outage everybody gets 503. */
final class Store {
  private static final int KEPT_CHANGES = 10_000;

  private record Item(JsonNode data, long mark, long permit) {}

  private record Change(String key, JsonNode data, long mark) {}

  private static final class Hold {
    double lifeS;
    double endsAt;
    final Set<String> keys = new HashSet<>();
  }

  final int port;
  private final int txnOps;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private final Deque<Change> changes = new ArrayDeque<>();
  private long ledger;
  private long droppedUpTo;
  private long nextPermit = 7;
  private boolean outage;

  Store(int txnOps) throws Exception {
    this.txnOps = txnOps;
    port = Net.serve(this::handle);
    Net.daemon(
        () -> {
          while (true) {
            Net.sleep(0.02);
            endHolds();
          }
        });
  }

  /** After an outage every lease has its full time again. */
  synchronized void outage(boolean on) {
    outage = on;
    if (!on) {
      holds.values().forEach(hold -> hold.endsAt = Net.now() + hold.lifeS);
    }
    notifyAll();
  }

  private synchronized void endHolds() {
    if (outage) {
      return;
    }
    for (long permit : new ArrayList<>(holds.keySet())) {
      if (Net.now() > holds.get(permit).endsAt + 0.02) {
        end(permit);
      }
    }
  }

  private void end(long permit) {
    Hold hold = holds.remove(permit);
    if (hold != null && !hold.keys.isEmpty()) {
      ledger++;
      hold.keys.forEach(key -> changed(key, null));
      notifyAll();
    }
  }

  private void changed(String key, Item item) {
    if (item == null) {
      items.remove(key);
    } else {
      items.put(key, item);
    }
    changes.add(new Change(key, item == null ? null : item.data(), ledger));
    while (changes.size() > KEPT_CHANGES) {
      droppedUpTo = changes.remove().mark();
    }
  }

  private static Map<String, String> parameters(String query) {
    Map<String, String> map = new HashMap<>();
    for (String part : query.split("&")) {
      String[] pair = part.split("=", 2);
      if (pair.length == 2) {
        map.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
      }
    }
    return map;
  }

  private static Net.Answer error(int status, String text) {
    return new Net.Answer(status, Net.object().put("error", text));
  }

  private synchronized Net.Answer handle(Net.Request request) throws Exception {
    String path = request.path();
    if (path.equals("/watch") && !outage) {
      return watch(parameters(request.query()));
    } else if (outage) {
      return error(503, "trouble");
    } else if (path.equals("/store")) {
      return list(parameters(request.query()));
    } else if (path.startsWith("/store/")) {
      return get(path.substring("/store/".length()));
    } else if (path.equals("/multi")) {
      return multi(request.body());
    } else if (path.equals("/holds")) {
      Hold hold = new Hold();
      hold.lifeS = request.body().path("life_ms").asLong() / 1000.0;
      hold.endsAt = Net.now() + hold.lifeS;
      holds.put(nextPermit, hold);
      return new Net.Answer(200, Net.object().put("permit", nextPermit++));
    } else if (path.startsWith("/holds/")) {
      return hold(request.method(), path.substring("/holds/".length()));
    }
    return error(400, "malformed");
  }

  private Net.Answer hold(String method, String rest) {
    long permit = Long.parseLong(rest.split("/")[0]);
    Hold hold = holds.get(permit);
    if (hold == null) {
      return error(404, "no such lease");
    }
    if (method.equals("DELETE")) {
      end(permit);
    } else {
      hold.endsAt = Net.now() + hold.lifeS;
    }
    return new Net.Answer(200, Net.object());
  }

  private static ObjectNode show(String key, Item item) {
    ObjectNode n = Net.object().put("key", key).put("mark", item.mark());
    n.set("data", item.data());
    if (item.permit() > 0) {
      n.put("permit", item.permit());
    }
    return n;
  }

  private Net.Answer get(String key) {
    Item item = items.get(key);
    return item == null
        ? new Net.Answer(404, Net.object().put("ledger", ledger))
        : new Net.Answer(200, show(key, item));
  }

  private Net.Answer list(Map<String, String> p) throws Exception {
    String under = p.getOrDefault("under", "");
    int most = Math.min(1000, Integer.parseInt(p.getOrDefault("most", "1000")));
    ObjectNode n = Net.object();
    ArrayNode page = n.putArray("items");
    boolean truncated = false;
    int bytes = 0;
    for (var e : items.tailMap(p.getOrDefault("after", ""), false).entrySet()) {
      if (e.getKey().startsWith(under)) {
        ObjectNode item = show(e.getKey(), e.getValue());
        bytes += Net.JSON.writeValueAsBytes(item).length + 1;
        if (page.size() >= most || bytes > 512 * 1024) {
          truncated = true;
          break;
        }
        page.add(item);
      }
    }
    return new Net.Answer(200, n.put("truncated", truncated).put("ledger", ledger));
  }

  private Net.Answer multi(JsonNode txn) {
    JsonNode conditions = txn.path("if");
    JsonNode then = txn.path("then");
    if (then.size() > txnOps || conditions.size() > 4 * txnOps) {
      return error(400, "too many");
    }
    for (JsonNode change : then) {
      if (change.has("permit") && !holds.containsKey(change.get("permit").asLong())) {
        return error(400, "no such lease");
      }
    }
    List<String> failed = new ArrayList<>();
    for (JsonNode condition : conditions) {
      Item item = items.get(condition.path("key").asText());
      if ((item == null ? 0 : item.mark()) != condition.path("mark").asLong()) {
        failed.add(condition.path("key").asText());
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode n = Net.object().put("ledger", ledger);
      failed.forEach(n.putArray("failed")::add);
      return new Net.Answer(409, n);
    }
    if (then.size() > 0) {
      ledger++;
      then.forEach(this::apply);
      notifyAll();
    }
    return new Net.Answer(200, Net.object().put("ledger", ledger));
  }

  private void apply(JsonNode change) {
    String key = change.path(change.has("put") ? "put" : "drop").asText();
    holds.values().forEach(hold -> hold.keys.remove(key));
    if (change.has("put")) {
      long permit = change.path("permit").asLong(0);
      changed(key, new Item(change.path("data"), ledger, permit));
      if (permit > 0) {
        holds.get(permit).keys.add(key);
      }
    } else if (items.containsKey(key)) {
      changed(key, null);
    }
  }

  private Net.Answer watch(Map<String, String> p) throws InterruptedException {
    String under = p.getOrDefault("under", "");
    long after = Long.parseLong(p.getOrDefault("after", "0"));
    double until = Net.now() + Long.parseLong(p.getOrDefault("block_ms", "0")) / 1000.0;
    while (true) {
      if (!outage) {
        if (after < droppedUpTo) {
          return error(410, "too old");
        }
        ObjectNode n = Net.object().put("ledger", ledger);
        ArrayNode news = n.putArray("news");
        for (var all = changes.descendingIterator(); all.hasNext(); ) {
          Change change = all.next();
          if (change.mark() <= after) {
            break;
          }
          if (change.key().startsWith(under)) {
            ObjectNode entry = Net.object();
            entry.put(change.data() == null ? "drop" : "put", change.key());
            if (change.data() != null) {
              entry.set("data", change.data());
            }
            news.insert(0, entry.put("mark", change.mark()));
          }
        }
        if (!news.isEmpty() || Net.now() >= until) {
          return new Net.Answer(200, n);
        }
      }
      // During an outage, open watches stay open.
      wait(outage ? 1000 : Math.max(1, (long) ((until - Net.now()) * 1000)));
    }
  }
}
