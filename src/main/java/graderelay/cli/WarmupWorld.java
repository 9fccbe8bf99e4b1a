package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.wire.Json;
import java.util.TreeMap;

/** Just enough of an outside world for a controller to take over and place one task. */
final class WarmupWorld implements Exchange.Handler {
  static final String JOB =
      """
      {"ref":"j-000001","lot":"w","crew":"w","cut":"array","urgency":"normal","boards":2,
       "cpus":1.0,"cards":0.0,"mem_gb":1.0,"blade":"i","pull_gb":1.0,"rigs":null,"yard":null,
       "one_zone":false,"apart":false,"borrowed":true,"expected_s":1.0,"stack_s":1.0,
       "stack_write_s":1.0,"ship_s":10.0}""";
  static final String REPORT =
      """
      {"saw":"n-000001","address":"127.0.0.1:2","rig":"t","yard":"w","borrowed":false,
       "shift":1,"tally":%d,"foreman":0,"recall_s":null,
       "boards":[{"board":"j-000009/0","pass":1,"stage":"running"}]}"""
          .formatted(1);

  private record Item(JsonNode value, long revision) {}

  private final TreeMap<String, Item> items = new TreeMap<>();
  private long revision = 1;

  @Override
  public void handle(Exchange e) {
    String p = e.path();
    ObjectNode out = Json.object();
    if (p.equals("/machine_types")) {
      ObjectNode t = out.putArray("rigs").addObject();
      t.put("sku", "t").put("cpus", 4).put("cards", 0).put("mem_gb", 8).put("cache_gb", 9);
      t.put("pull_gb_per_s", 1).put("price", 1).put("market_price", 1).put("ready_s", 10);
      t.putArray("yards").add("w");
    } else if (p.equals("/machines")) {
      out.putArray("saws");
    } else if (p.equals("/holds")) {
      out.put("permit", 1);
    } else if (p.equals("/multi")) {
      JsonNode body = Json.read(e.body());
      revision++;
      for (JsonNode c : body.path("then")) {
        if (c.has("put")) {
          items.put(c.get("put").asText(), new Item(c.get("data"), revision));
        } else {
          items.remove(c.get("drop").asText());
        }
      }
      out.put("ledger", revision);
    } else if (p.startsWith("/store/")) {
      e.to().accept(Answer.json(404, Json.write(out.put("ledger", revision))));
      return;
    } else if (p.equals("/store")) {
      out.putArray("items");
      out.put("ledger", revision);
    } else if (p.equals("/watch")) {
      var news = out.put("ledger", revision).putArray("news");
      items.forEach(
          (k, i) ->
              news.addObject().put("put", k).put("mark", i.revision()).set("data", i.value()));
    }
    e.to().accept(Answer.json(200, Json.write(out)));
  }
}
