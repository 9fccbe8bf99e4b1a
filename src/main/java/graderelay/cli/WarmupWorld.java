package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.wire.Json;
import java.util.TreeMap;

/** A stand-in for the store and the cloud, enough for a controller to lead and place one task. */
final class WarmupWorld implements Exchange.Handler {
  /** A job of two tasks. */
  static final String JOB =
      """
      {"ref":"j-000001","lot":"w","crew":"w","cut":"array","urgency":"normal","boards":2,
       "cpus":1.0,"cards":0.0,"mem_gb":1.0,"blade":"i","pull_gb":1.0,"rigs":null,"yard":null,
       "one_zone":false,"apart":false,"borrowed":true,"expected_s":1.0,"stack_s":1.0,
       "stack_write_s":1.0,"ship_s":10.0}\
      """;

  /** The heartbeat of a machine that runs a task of another job. */
  static final String HEARTBEAT =
      """
      {"saw":"n-000001","address":"127.0.0.1:2","rig":"t","yard":"w","borrowed":false,
       "shift":1,"tally":1,"foreman":0,"recall_s":null,
       "boards":[{"board":"j-000009/0","pass":1,"stage":"running"}]}\
      """;

  /** A stored value and the revision at which it was written. */
  private record Item(JsonNode value, long revision) {}

  private final TreeMap<String, Item> items = new TreeMap<>();
  private long revision = 1;

  @Override
  public void handle(Exchange exchange) {
    String path = exchange.path();
    ObjectNode answer = Json.object();
    int status = 200;
    if (path.equals("/machine_types")) {
      addMachineType(answer);
    } else if (path.equals("/machines")) {
      answer.putArray("saws");
    } else if (path.equals("/holds")) {
      answer.put("permit", 1);
    } else if (path.equals("/multi")) {
      commit(Json.read(exchange.body()));
      answer.put("ledger", revision);
    } else if (path.startsWith("/store/")) {
      answer.put("ledger", revision);
      status = 404;
    } else if (path.equals("/store")) {
      answer.putArray("items");
      answer.put("ledger", revision);
    } else if (path.equals("/watch")) {
      addChanges(answer);
    }
    exchange.to().accept(Answer.json(status, Json.write(answer)));
  }

  private static void addMachineType(ObjectNode answer) {
    ObjectNode type = answer.putArray("rigs").addObject();
    type.put("sku", "t").put("cpus", 4).put("cards", 0).put("mem_gb", 8).put("cache_gb", 9);
    type.put("pull_gb_per_s", 1).put("price", 1).put("market_price", 1).put("ready_s", 10);
    type.putArray("yards").add("w");
  }

  /** Carries out a transaction without a look at its conditions: there is only one writer. */
  private void commit(JsonNode transaction) {
    revision++;
    for (JsonNode change : transaction.path("then")) {
      if (change.has("put")) {
        items.put(change.get("put").asText(), new Item(change.get("data"), revision));
      } else {
        items.remove(change.get("drop").asText());
      }
    }
  }

  /** Every stored item, whatever has been seen before. */
  private void addChanges(ObjectNode answer) {
    ArrayNode changes = answer.put("ledger", revision).putArray("news");
    items.forEach(
        (key, item) ->
            changes
                .addObject()
                .put("put", key)
                .put("mark", item.revision())
                .set("data", item.value()));
  }
}
