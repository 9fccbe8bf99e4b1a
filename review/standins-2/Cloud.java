package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A stand-in of the cloud, from its published protocol: one machine type, all machines boot. */
final class Cloud {
  private final Record record;
  private final Bench bench;
  private final double listLagS;
  private final double bootS;
  private final Map<String, ArrayNode> hires = new LinkedHashMap<>();
  private final TreeMap<String, Worker> machines = new TreeMap<>();
  private final Map<String, Double> hiredAt = new LinkedHashMap<>();
  /** A request of a controller to delete machines. */
  record Deletion(double at, int controller, int leader, int busyMachines) {}

  final List<Deletion> deletions = new java.util.concurrent.CopyOnWriteArrayList<>();
  /** How many spot machines the cloud has to give. */
  volatile int spotCapacity = Integer.MAX_VALUE;
  /** The cloud is out: it answers every request with 503. */
  private volatile boolean outage;
  private int nextName = 1;
  private int capacity;

  Cloud(Record record, Bench bench, double listLagS, double bootS, int capacity) {
    this.record = record;
    this.bench = bench;
    this.listLagS = listLagS;
    this.bootS = bootS;
    this.capacity = capacity;
  }

  /** Opens the address for one controller. */
  String listen(int controller) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
    server.setExecutor(Executors.newCachedThreadPool(Bench.daemons()));
    server.createContext("/", exchange -> handle(controller, exchange));
    server.start();
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Adds a machine that is up from the beginning. */
  synchronized Worker addRunning(String zone, boolean spot) throws IOException {
    Worker worker = add(zone, spot);
    hiredAt.put(worker.name, record.now() - 1000);
    worker.start(0);
    return worker;
  }

  private Worker add(String zone, boolean spot) throws IOException {
    String name = String.format(Locale.ROOT, "n-%06d", nextName++);
    Worker worker = new Worker(record, bench, name, zone, spot);
    machines.put(name, worker);
    hiredAt.put(name, record.now());
    return worker;
  }

  /** Begins or ends an outage. */
  void setOutage(boolean isOut) {
    outage = isOut;
    record.line("cloud: " + (isOut ? "it is out" : "it is up"));
  }

  synchronized List<Worker> machines() {
    return new ArrayList<>(machines.values());
  }

  private void handle(int controller, HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    JsonNode body = Json.body(exchange);
    Bench.sleep(0.02);
    ObjectNode answer = Json.object();
    int status = 200;
    if (outage) {
      answer.put("error", "trouble");
      Json.answer(exchange, 503, answer);
      return;
    }
    synchronized (this) {
      if (path.equals("/machine_types")) {
        ObjectNode rig = answer.putArray("rigs").addObject();
        rig.put("sku", Bench.RIG).put("cpus", bench.rigCpus).put("cards", 0).put("mem_gb", 64);
        rig.put("cache_gb", 40).put("pull_gb_per_s", 1.0).put("price", 0.71);
        rig.put("market_price", 0.22).put("ready_s", bootS);
        ArrayNode yards = rig.putArray("yards");
        bench.zones.forEach(yards::add);
      } else if (path.equals("/machines/delete")) {
        int leader = bench.leader();
        int busy = 0;
        for (JsonNode name : body.path("saws")) {
          Worker worker = machines.get(name.asText());
          busy += worker != null && worker.load() > 0 ? 1 : 0;
        }
        record.line(
            "cloud: m-" + controller + " deletes " + body.path("saws") + ", tasks run on " + busy
                + " of them; by the stored record m-" + leader + " leads");
        deletions.add(new Deletion(record.now(), controller, leader, busy));
        for (JsonNode name : body.path("saws")) {
          Worker worker = machines.remove(name.asText());
          if (worker != null) {
            worker.end("deleted");
          }
        }
      } else if (exchange.getRequestMethod().equals("POST")) {
        status = hire(controller, body, answer);
      } else {
        list(answer);
      }
    }
    Json.answer(exchange, status, answer);
  }

  private int hire(int controller, JsonNode body, ObjectNode answer) throws IOException {
    String name = body.path("hire").asText();
    ArrayNode names = hires.get(name);
    if (names == null) {
      names = Json.object().putArray("saws");
      boolean spot = body.path("borrowed").asBoolean();
      long spotsLeft = spotCapacity - machines.values().stream().filter(w -> w.spot).count();
      int wanted = (int) Math.min(body.path("how_many").asInt(), spot ? spotsLeft : 50);
      for (int i = 0; i < wanted && machines.size() < capacity; i++) {
        Worker worker = add(body.path("yard").asText(), body.path("borrowed").asBoolean());
        names.add(worker.name);
        worker.start(bootS);
      }
      if (names.isEmpty()) {
        record.line("cloud: m-" + controller + " hires " + body + ": no capacity");
        answer.put("error", "no capacity");
        return 503;
      }
      hires.put(name, names);
      record.line("cloud: m-" + controller + " hires " + names + " as " + name);
    }
    answer.set("saws", names);
    return 200;
  }

  private void list(ObjectNode answer) {
    ArrayNode list = answer.putArray("saws");
    double now = record.now();
    for (Worker worker : machines.values()) {
      double ageS = now - hiredAt.get(worker.name) - listLagS;
      if (ageS >= 0) {
        ObjectNode item = list.addObject().put("ref", worker.name).put("address", worker.address);
        item.put("rig", Bench.RIG).put("yard", worker.zone).put("borrowed", worker.spot);
        item.put("stage", ageS >= bootS ? "running" : "booting").put("age_s", ageS);
      }
    }
    answer.put("truncated", false);
  }
}
