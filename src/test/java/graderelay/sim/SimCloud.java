package graderelay.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
import graderelay.net.QueryString;
import graderelay.wire.Json;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud, written from the published protocol: two types, a late list, names that count up. */
public final class SimCloud implements Exchange.Handler {
  private static final double BOOT_S = 5;
  private static final double LIST_LAG_S = 3;
  private static final int MAX_SNAPSHOTS = 20;

  /** One machine type. */
  public record Type(String name, double cpus, double memGb, double price, double spotPrice) {}

  private record Machine(String name, String type, String zone, boolean spot, double requestedAt) {}

  private record Snapshot(double at, List<ObjectNode> machines) {}

  private final SimWorld world;
  private final List<Type> types;
  private final List<String> zones;
  private final Map<String, ArrayNode> scaleOuts = new HashMap<>();
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final List<Snapshot> snapshots = new ArrayList<>();
  private int nextNumber = 1;
  public int capacity = 8;

  /** The most spot machines that there may be at a time, within that. */
  public int spotCapacity = Integer.MAX_VALUE;

  /** Every request is answered with 503. */
  public boolean outage;

  /** Times its usual time that a machine scaled out now takes to boot. */
  public double bootFactor = 1;

  /** Chance that a machine scaled out now never comes up. */
  public double bootFail;

  public boolean noTypes;

  SimCloud(SimWorld world, List<Type> types, List<String> zones) {
    this.world = world;
    this.types = types;
    this.zones = zones;
    takeSnapshot();
  }

  /** Takes a snapshot of all machines every second, for late lists. */
  private void takeSnapshot() {
    List<ObjectNode> list = new ArrayList<>();
    for (Machine machine : machines.values()) {
      list.add(describe(machine));
    }
    snapshots.add(new Snapshot(world.loop.now(), list));
    if (snapshots.size() > MAX_SNAPSHOTS) {
      snapshots.remove(0);
    }
    world.loop.after(1, this::takeSnapshot);
  }

  private ObjectNode describe(Machine machine) {
    return Json.object()
        .put("ref", machine.name())
        .put("address", machine.name() + ":9000")
        .put("rig", machine.type())
        .put("yard", machine.zone())
        .put("borrowed", machine.spot())
        .put("stage", world.workers.containsKey(machine.name()) ? "running" : "booting")
        .put("age_s", world.loop.now() - machine.requestedAt());
  }

  @Override
  public void handle(Exchange exchange) {
    if (outage) {
      refuse(exchange, "trouble");
      return;
    }
    switch (exchange.path()) {
      case "/machine_types" -> listTypes(exchange);
      case "/machines" -> {
        if (exchange.method().equals("GET")) {
          listMachines(exchange);
        } else {
          scaleOut(exchange);
        }
      }
      case "/machines/delete" -> deleteMachines(exchange);
      default -> throw new AssertionError(exchange.path());
    }
  }

  private void listTypes(Exchange exchange) {
    if (noTypes) {
      refuse(exchange, "trouble");
      return;
    }
    ObjectNode body = Json.object();
    ArrayNode list = body.putArray("rigs");
    for (Type type : types) {
      ObjectNode listed = list.addObject().put("sku", type.name()).put("cpus", type.cpus());
      listed.put("cards", 0).put("mem_gb", type.memGb());
      listed.put("cache_gb", 10).put("pull_gb_per_s", 1);
      listed.put("price", type.price()).put("market_price", type.spotPrice());
      listed.put("ready_s", BOOT_S);
      zones.forEach(listed.putArray("yards")::add);
    }
    accept(exchange, body);
  }

  private void deleteMachines(Exchange exchange) {
    for (JsonNode name : Json.read(exchange.body()).path("saws")) {
      take(name.asText());
    }
    accept(exchange, Json.object());
  }

  private static void accept(Exchange exchange, ObjectNode body) {
    exchange.responder().accept(Response.json(200, Json.write(body)));
  }

  private static void refuse(Exchange exchange, String error) {
    exchange.responder().accept(Response.json(503, Json.errorBody(error)));
  }

  /** Answers with a page of a list that is as old as the list lags. */
  private void listMachines(Exchange exchange) {
    List<ObjectNode> listed = List.of();
    for (Snapshot snapshot : snapshots) {
      listed = snapshot.at() <= world.loop.now() - LIST_LAG_S ? snapshot.machines() : listed;
    }
    Map<String, String> query = QueryString.parse(exchange.query());
    int most = Integer.parseInt(query.get("most"));
    ObjectNode body = Json.object();
    ArrayNode page = body.putArray("saws");
    boolean truncated = false;
    for (ObjectNode machine : listed) {
      if (machine.path("ref").asText().compareTo(query.get("after")) > 0) {
        truncated = page.size() == most;
        if (truncated) {
          break;
        }
        page.add(machine);
      }
    }
    accept(exchange, body.put("truncated", truncated));
  }

  private void scaleOut(Exchange exchange) {
    JsonNode request = Json.read(exchange.body());
    String requestName = request.path("hire").asText();
    ArrayNode names = scaleOuts.get(requestName);
    if (names == null) {
      names = addMachines(request);
      if (names.isEmpty()) {
        refuse(exchange, "no capacity");
        return;
      }
      scaleOuts.put(requestName, names);
    }
    ObjectNode body = Json.object();
    body.set("saws", names);
    accept(exchange, body);
  }

  private ArrayNode addMachines(JsonNode request) {
    ArrayNode names = Json.array();
    int count = request.path("how_many").asInt();
    boolean spot = request.path("borrowed").asBoolean();
    for (int i = 0; i < count && hasCapacity(spot); i++) {
      names.add(add(request.path("rig").asText(), request.path("yard").asText(), spot));
    }
    return names;
  }

  private boolean hasCapacity(boolean spot) {
    return machines.size() < capacity
        && (!spot || machines.values().stream().filter(Machine::spot).count() < spotCapacity);
  }

  private String add(String type, String zone, boolean spot) {
    String name = String.format("n-%06d", nextNumber++);
    machines.put(name, new Machine(name, type, zone, spot, world.loop.now()));
    if (bootFail > 0 && world.random.nextDouble() < bootFail) {
      return name;
    }
    world.loop.after(
        BOOT_S * bootFactor,
        () -> {
          if (machines.containsKey(name)) {
            world.boot(name, type, zone, spot);
          }
        });
    return name;
  }

  /** The machine is gone, by deletion or because the cloud took it. */
  public void take(String name) {
    machines.remove(name);
    SimWorker worker = world.workers.remove(name);
    if (worker != null) {
      worker.kill();
    }
  }

  /** Returns the names of all machines that are scaled out, in order. */
  public List<String> names() {
    return new ArrayList<>(machines.keySet());
  }
}
