package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
import graderelay.wire.Json;
import java.util.TreeMap;

/** A stub of the store and the cloud that lets a controller become the leader and place a task. */
final class WarmupStubServer implements Exchange.Handler {
  /** A job of two tasks. */
  static final String JOB_JSON =
      """
      {"ref":"j-000001","lot":"w","crew":"w","cut":"array","urgency":"normal","boards":2,
       "cpus":1.0,"cards":0.0,"mem_gb":1.0,"blade":"i","pull_gb":1.0,"rigs":null,"yard":null,
       "one_zone":false,"apart":false,"borrowed":true,"expected_s":1.0,"stack_s":1.0,
       "stack_write_s":1.0,"ship_s":10.0}\
      """;

  /** The heartbeat of a machine that runs a task of another job. */
  static final String HEARTBEAT_JSON =
      """
      {"saw":"n-000001","address":"127.0.0.1:2","rig":"t","yard":"w","borrowed":false,
       "shift":1,"tally":1,"foreman":0,"recall_s":null,
       "boards":[{"board":"j-000009/0","pass":1,"stage":"running"}]}\
      """;

  /** A stored value and the revision at which it was written. */
  private record StoredItem(JsonNode value, long revision) {}

  private final TreeMap<String, StoredItem> items = new TreeMap<>();
  private long revision = 1;

  @Override
  public void handle(Exchange exchange) {
    String path = exchange.path();
    ObjectNode response = Json.object();
    int status = 200;
    if (path.equals("/machine_types")) {
      addMachineType(response);
    } else if (path.equals("/machines")) {
      response.putArray("saws");
    } else if (path.equals("/holds")) {
      response.put("permit", 1);
    } else if (path.equals("/multi")) {
      commit(Json.read(exchange.body()));
      response.put("ledger", revision);
    } else if (path.startsWith("/store/")) {
      response.put("ledger", revision);
      status = 404;
    } else if (path.equals("/store")) {
      response.putArray("items");
      response.put("ledger", revision);
    } else if (path.equals("/watch")) {
      addChanges(response);
    }
    exchange.responder().accept(Response.json(status, Json.write(response)));
  }

  private static void addMachineType(ObjectNode response) {
    ObjectNode type = response.putArray("rigs").addObject();
    type.put("sku", "t").put("cpus", 4).put("cards", 0).put("mem_gb", 8).put("cache_gb", 9);
    type.put("pull_gb_per_s", 1).put("price", 1).put("market_price", 1).put("ready_s", 10);
    type.putArray("yards").add("w");
  }

  /** Executes a transaction without checking its conditions, since there is only one writer. */
  private void commit(JsonNode transaction) {
    revision++;
    for (JsonNode change : transaction.path("then")) {
      if (change.has("put")) {
        items.put(change.get("put").asText(), new StoredItem(change.get("data"), revision));
      } else {
        items.remove(change.get("drop").asText());
      }
    }
  }

  /** Adds all stored items as changes, regardless of the revision from which the client watches. */
  private void addChanges(ObjectNode response) {
    ArrayNode changes = response.put("ledger", revision).putArray("news");
    items.forEach(
        (key, item) ->
            changes
                .addObject()
                .put("put", key)
                .put("mark", item.revision())
                .set("data", item.value()));
  }
}
