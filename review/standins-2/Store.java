package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A stand-in of the state service, from its published protocol. One address per controller. */
final class Store {
  /** What happens to one request. */
  enum Fate {
    NORMAL,
    /** 503, not executed. */
    REFUSE,
    /** Executed at once; the connection is closed without an answer. */
    LOSE_ANSWER
  }

  /** Decides what happens to a request of a controller. */
  interface Faults {
    Fate fate(int controller, String method, String path, JsonNode body);
  }

  private static final int KEPT_CHANGES = 10_000;
  private static final int MAX_LIST_BYTES = 512 * 1024;

  private record Entry(JsonNode data, long mark, long permit) {}

  private record Change(String key, JsonNode data, long mark) {}

  private static final class Hold {
    final double lifeS;
    double endsAt;

    Hold(double lifeS, double endsAt) {
      this.lifeS = lifeS;
      this.endsAt = endsAt;
    }
  }

  private final Record record;
  private final double rps;
  private final double writeRps;
  private final int txnOps;
  private final int valueBytes;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final Deque<Change> changes = new ArrayDeque<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private final List<HttpServer> servers = new ArrayList<>();
  private long ledger = 1;
  private long droppedUpTo;
  private long nextPermit = 1;
  private double requestTokens;
  private double writeTokens;
  private double refilledAt;
  private long failedTransactions;
  private boolean outage;
  volatile Faults faults = (controller, method, path, body) -> Fate.NORMAL;

  Store(Record record, double rps, double writeRps, int txnOps, double valueKb) {
    this.record = record;
    this.rps = rps;
    this.writeRps = writeRps;
    this.txnOps = txnOps;
    this.valueBytes = (int) (valueKb * 1024);
    this.requestTokens = rps;
    this.writeTokens = writeRps;
    Thread sweeper =
        new Thread(
            () -> {
              while (true) {
                sweep();
                Bench.sleep(0.02);
              }
            });
    sweeper.setDaemon(true);
    sweeper.start();
  }

  /** Opens the address for one controller. */
  String listen(int controller) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 500);
    server.setExecutor(Executors.newCachedThreadPool(Bench.daemons()));
    server.createContext("/", exchange -> handle(controller, exchange));
    server.start();
    servers.add(server);
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Begins or ends an outage for every controller; after it every lease has its full time. */
  synchronized void setOutage(boolean isOut) {
    outage = isOut;
    if (!isOut) {
      holds.values().forEach(hold -> hold.endsAt = record.now() + hold.lifeS);
    }
    record.line("state service: outage " + (isOut ? "begins" : "ends"));
    notifyAll();
  }

  synchronized JsonNode value(String key) {
    Entry entry = entries.get(key);
    return entry == null ? null : entry.data();
  }

  /** Number of transactions whose conditions failed. */
  synchronized long failedTransactions() {
    return failedTransactions;
  }

  private synchronized void sweep() {
    if (outage) {
      return;
    }
    double now = record.now();
    for (Long permit : new ArrayList<>(holds.keySet())) {
      if (holds.get(permit).endsAt < now) {
        endHold(permit);
      }
    }
  }

  private void endHold(long permit) {
    holds.remove(permit);
    List<String> attached = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.permit() == permit) {
            attached.add(key);
          }
        });
    if (!attached.isEmpty()) {
      ledger++;
      for (String key : attached) {
        entries.remove(key);
        addChange(new Change(key, null, ledger));
      }
      notifyAll();
    }
  }

  private void addChange(Change change) {
    changes.add(change);
    if (changes.size() > KEPT_CHANGES) {
      droppedUpTo = changes.poll().mark();
    }
  }

  private void handle(int controller, HttpExchange exchange) throws IOException {
    String method = exchange.getRequestMethod();
    String path = exchange.getRequestURI().getPath();
    JsonNode body = Json.body(exchange);
    Bench.sleep(0.002);
    Fate fate = faults.fate(controller, method, path, body);
    if (path.equals("/watch")) {
      handleWatch(controller, exchange, fate);
      return;
    }
    int status;
    ObjectNode answer = Json.object();
    synchronized (this) {
      if (outage || fate == Fate.REFUSE) {
        status = 503;
      } else if (!takeRequest()) {
        status = 429;
      } else {
        status = execute(exchange, method, path, body, answer);
      }
    }
    if (fate == Fate.LOSE_ANSWER) {
      record.line(
          "state service: executed " + method + " " + path + " of m-" + controller
              + " with status " + status + ", its answer is lost");
      exchange.close();
      return;
    }
    Json.answer(exchange, status, answer);
  }

  private boolean takeRequest() {
    double now = record.now();
    requestTokens = Math.min(rps, requestTokens + (now - refilledAt) * rps);
    writeTokens = Math.min(writeRps, writeTokens + (now - refilledAt) * writeRps);
    refilledAt = now;
    if (requestTokens < 1) {
      return false;
    }
    requestTokens--;
    return true;
  }

  private int execute(
      HttpExchange exchange, String method, String path, JsonNode body, ObjectNode answer) {
    if (path.equals("/store")) {
      return list(Json.query(exchange), answer);
    }
    if (path.startsWith("/store/")) {
      return get(path.substring("/store/".length()), answer);
    }
    if (path.equals("/multi")) {
      return multi(body, answer);
    }
    if (path.equals("/holds")) {
      long permit = nextPermit++;
      double lifeS = body.path("life_ms").asDouble() / 1000;
      holds.put(permit, new Hold(lifeS, record.now() + lifeS));
      answer.put("permit", permit);
      return 200;
    }
    if (path.startsWith("/holds/")) {
      String rest = path.substring("/holds/".length());
      boolean extend = rest.endsWith("/extend");
      long permit = Long.parseLong(extend ? rest.substring(0, rest.indexOf('/')) : rest);
      Hold hold = holds.get(permit);
      if (hold == null) {
        return 404;
      }
      if (extend) {
        hold.endsAt = record.now() + hold.lifeS;
        answer.put("permit", permit);
      } else {
        endHold(permit);
      }
      return 200;
    }
    return 400;
  }

  private int get(String key, ObjectNode answer) {
    Entry entry = entries.get(key);
    if (entry == null) {
      answer.put("ledger", ledger);
      return 404;
    }
    answer.put("key", key).put("mark", entry.mark());
    answer.set("data", entry.data());
    if (entry.permit() != 0) {
      answer.put("permit", entry.permit());
    }
    return 200;
  }

  private int list(Map<String, String> query, ObjectNode answer) {
    String prefix = query.getOrDefault("under", "");
    String after = query.getOrDefault("after", "");
    int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
    ArrayNode items = answer.putArray("items");
    boolean truncated = false;
    int bytes = 0;
    String from = after.compareTo(prefix) > 0 ? after : prefix;
    for (var entry : entries.tailMap(from).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (entry.getKey().compareTo(after) <= 0) {
        continue;
      }
      if (items.size() >= most || bytes > MAX_LIST_BYTES - 20_000) {
        truncated = true;
        break;
      }
      ObjectNode item = items.addObject().put("key", entry.getKey());
      item.set("data", entry.getValue().data());
      item.put("mark", entry.getValue().mark());
      if (entry.getValue().permit() != 0) {
        item.put("permit", entry.getValue().permit());
      }
      bytes += Json.write(item).length;
    }
    answer.put("truncated", truncated).put("ledger", ledger);
    return 200;
  }

  private int multi(JsonNode body, ObjectNode answer) {
    JsonNode conditions = body.path("if");
    JsonNode operations = body.path("then");
    boolean tooLarge =
        operations.size() > txnOps
            || conditions.size() > 4 * txnOps
            || Json.write(body).length > 64 * 1024;
    for (JsonNode operation : operations) {
      tooLarge |=
          operation.has("put") && Json.write(operation.path("data")).length > valueBytes;
    }
    if (tooLarge) {
      answer.put("error", "too large");
      return 400;
    }
    if (writeTokens < operations.size()) {
      return 429;
    }
    writeTokens -= operations.size();
    for (JsonNode operation : operations) {
      if (operation.has("put")
          && operation.has("permit")
          && !operation.get("permit").isNull()
          && !holds.containsKey(operation.get("permit").asLong())) {
        answer.put("error", "no such lease");
        return 400;
      }
    }
    Set<String> failed = new HashSet<>();
    for (JsonNode condition : conditions) {
      Entry entry = entries.get(condition.path("key").asText());
      if ((entry == null ? 0 : entry.mark()) != condition.path("mark").asLong()) {
        failed.add(condition.path("key").asText());
      }
    }
    if (!failed.isEmpty()) {
      failedTransactions++;
      ArrayNode names = answer.putArray("failed");
      failed.forEach(names::add);
      answer.put("ledger", ledger);
      return 409;
    }
    if (!operations.isEmpty()) {
      ledger++;
      for (JsonNode operation : operations) {
        if (operation.has("put")) {
          String key = operation.get("put").asText();
          long permit = operation.path("permit").asLong(0);
          entries.put(key, new Entry(operation.path("data"), ledger, permit));
          addChange(new Change(key, operation.path("data"), ledger));
        } else {
          String key = operation.path("drop").asText();
          if (entries.remove(key) != null) {
            addChange(new Change(key, null, ledger));
          }
        }
      }
      notifyAll();
    }
    answer.put("ledger", ledger);
    return 200;
  }

  private void handleWatch(int controller, HttpExchange exchange, Fate fate) throws IOException {
    Map<String, String> query = Json.query(exchange);
    String prefix = query.getOrDefault("under", "");
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    double blockS = Double.parseDouble(query.getOrDefault("block_ms", "0")) / 1000;
    ObjectNode answer = Json.object();
    int status = 200;
    synchronized (this) {
      if (outage || fate == Fate.REFUSE) {
        status = 503;
      } else if (!takeRequest()) {
        status = 429;
      } else {
        double until = record.now() + blockS;
        while (true) {
          boolean refused =
              outage
                  || faults.fate(controller, "GET", "/watch-open", Json.object()) == Fate.REFUSE;
          if (!refused && after < droppedUpTo) {
            status = 410;
            break;
          }
          if (!refused && (hasChange(prefix, after) || record.now() >= until)) {
            break;
          }
          try {
            wait(refused ? 100 : Math.max(1, Math.min(200, (long) ((until - record.now()) * 1000))));
          } catch (InterruptedException e) {
            throw new IOException(e);
          }
        }
        if (status == 200) {
          answer.put("ledger", ledger);
          ArrayNode news = answer.putArray("news");
          for (Change change : changes) {
            if (change.mark() > after && change.key().startsWith(prefix)) {
              ObjectNode item = news.addObject();
              if (change.data() == null) {
                item.put("drop", change.key());
              } else {
                item.put("put", change.key()).set("data", change.data());
              }
              item.put("mark", change.mark());
            }
          }
        }
      }
    }
    if (fate == Fate.LOSE_ANSWER) {
      exchange.close();
    } else {
      Json.answer(exchange, status, answer);
    }
  }

  private boolean hasChange(String prefix, long after) {
    var newestFirst = changes.descendingIterator();
    while (newestFirst.hasNext()) {
      Change change = newestFirst.next();
      if (change.mark() <= after) {
        return false;
      }
      if (change.key().startsWith(prefix)) {
        return true;
      }
    }
    return false;
  }
}
