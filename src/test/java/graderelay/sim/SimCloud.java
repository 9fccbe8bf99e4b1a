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
  private static final double LAG_S = 3;

  /** One machine type. */
  public record Type(String name, double cpus, double memGb, double price, double spotPrice) {}

  private record Machine(String name, String type, String zone, boolean spot, double at) {}

  private record Snapshot(double at, List<ObjectNode> machines) {}

  private final SimWorld world;
  private final List<Type> types;
  private final List<String> zones;
  private final Map<String, ArrayNode> scaleOuts = new HashMap<>();
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final List<Snapshot> snapshots = new ArrayList<>();
  private int next = 1;
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
    snap();
  }

  private void snap() {
    List<ObjectNode> list = new ArrayList<>();
    for (Machine machine : machines.values()) {
      ObjectNode n =
          Json.object().put("ref", machine.name()).put("address", machine.name() + ":9000");
      n.put("rig", machine.type()).put("yard", machine.zone()).put("borrowed", machine.spot());
      n.put("stage", world.workers.containsKey(machine.name()) ? "running" : "booting");
      n.put("age_s", world.loop.now() - machine.at());
      list.add(n);
    }
    snapshots.add(new Snapshot(world.loop.now(), list));
    if (snapshots.size() > 20) {
      snapshots.remove(0);
    }
    world.loop.after(1, this::snap);
  }

  @Override
  public void handle(Exchange e) {
    if (outage) {
      refuse(e, "trouble");
      return;
    }
    ObjectNode out = Json.object();
    switch (e.path()) {
      case "/machine_types" -> {
        if (noTypes) {
          refuse(e, "trouble");
          return;
        }
        ArrayNode a = out.putArray("rigs");
        for (Type t : types) {
          ObjectNode n = a.addObject().put("sku", t.name()).put("cpus", t.cpus());
          n.put("cards", 0).put("mem_gb", t.memGb()).put("cache_gb", 10).put("pull_gb_per_s", 1);
          n.put("price", t.price()).put("market_price", t.spotPrice()).put("ready_s", BOOT_S);
          ArrayNode z = n.putArray("yards");
          zones.forEach(z::add);
        }
      }
      case "/machines" -> {
        if (e.method().equals("GET")) {
          page(out, QueryString.parse(e.query()));
        } else {
          scaleOut(e, Json.read(e.body()));
          return;
        }
      }
      case "/machines/delete" -> {
        for (JsonNode n : Json.read(e.body()).path("saws")) {
          take(n.asText());
        }
      }
      default -> throw new AssertionError(e.path());
    }
    e.responder().accept(Response.json(200, Json.write(out)));
  }

  private static void refuse(Exchange e, String error) {
    e.responder().accept(Response.json(503, Json.errorBody(error)));
  }

  private void page(ObjectNode out, Map<String, String> query) {
    List<ObjectNode> listed = List.of();
    for (Snapshot s : snapshots) {
      listed = s.at() <= world.loop.now() - LAG_S ? s.machines() : listed;
    }
    int most = Integer.parseInt(query.get("most"));
    ArrayNode page = out.putArray("saws");
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
    out.put("truncated", truncated);
  }

  private void scaleOut(Exchange e, JsonNode n) {
    String name = n.path("hire").asText();
    ArrayNode names = scaleOuts.get(name);
    if (names == null) {
      names = Json.array();
      int want = n.path("how_many").asInt();
      boolean spot = n.path("borrowed").asBoolean();
      for (int i = 0; i < want && hasCapacity(spot); i++) {
        names.add(add(n.path("rig").asText(), n.path("yard").asText(), spot));
      }
      if (names.isEmpty()) {
        refuse(e, "no capacity");
        return;
      }
      scaleOuts.put(name, names);
    }
    ObjectNode out = Json.object();
    out.set("saws", names);
    e.responder().accept(Response.json(200, Json.write(out)));
  }

  private boolean hasCapacity(boolean spot) {
    return machines.size() < capacity
        && (!spot || machines.values().stream().filter(Machine::spot).count() < spotCapacity);
  }

  private String add(String type, String zone, boolean spot) {
    String m = String.format("n-%06d", next++);
    machines.put(m, new Machine(m, type, zone, spot, world.loop.now()));
    if (bootFail > 0 && world.random.nextDouble() < bootFail) {
      return m;
    }
    world.loop.after(
        BOOT_S * bootFactor,
        () -> {
          if (machines.containsKey(m)) {
            world.boot(m, type, zone, spot);
          }
        });
    return m;
  }

  /** The machine is gone, by deletion or because the cloud took it. */
  public void take(String name) {
    machines.remove(name);
    SimWorker w = world.workers.remove(name);
    if (w != null) {
      w.kill();
    }
  }

  /** Returns the names of all machines that are scaled out, in order. */
  public List<String> names() {
    return new ArrayList<>(machines.keySet());
  }
}
