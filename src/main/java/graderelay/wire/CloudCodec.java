package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.ListedMachine;
import graderelay.core.MachineType;
import java.util.ArrayList;
import java.util.List;

/** What passes between the cloud and controllers. */
public final class CloudCodec {
  private CloudCodec() {}

  public static List<MachineType> decodeMachineTypes(JsonNode n) {
    List<MachineType> types = new ArrayList<>();
    for (JsonNode t : n.path("rigs")) {
      List<String> zones = new ArrayList<>();
      t.path("yards").forEach(z -> zones.add(z.asText()));
      types.add(
          new MachineType(
              t.path("sku").asText(),
              t.path("cpus").asDouble(),
              t.path("cards").asDouble(),
              t.path("mem_gb").asDouble(),
              t.path("pull_gb_per_s").asDouble(),
              t.path("price").asDouble(),
              t.path("market_price").asDouble(),
              t.path("ready_s").asDouble(),
              List.copyOf(zones)));
    }
    return types;
  }

  public static List<ListedMachine> decodeMachines(JsonNode n) {
    List<ListedMachine> list = new ArrayList<>();
    for (JsonNode m : n.path("saws")) {
      list.add(
          new ListedMachine(
              m.path("ref").asText(),
              m.path("address").asText(),
              m.path("rig").asText(),
              m.path("yard").asText(),
              m.path("borrowed").asBoolean(),
              m.path("stage").asText(),
              m.path("age_s").asDouble()));
    }
    return list;
  }

  public static boolean decodeTruncated(JsonNode n) {
    return n.path("truncated").asBoolean(false);
  }

  public static ObjectNode encodeScaleOut(
      String name, String type, String zone, boolean spot, int count) {
    return Json.object()
        .put("hire", name)
        .put("rig", type)
        .put("yard", zone)
        .put("borrowed", spot)
        .put("how_many", count);
  }

  public static List<String> decodeMachineNames(JsonNode n) {
    List<String> names = new ArrayList<>();
    n.path("saws").forEach(m -> names.add(m.asText()));
    return names;
  }

  public static ObjectNode encodeMachineNames(List<String> names) {
    ObjectNode n = Json.object();
    var a = n.putArray("saws");
    names.forEach(a::add);
    return n;
  }
}
