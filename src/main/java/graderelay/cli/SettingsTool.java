package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import graderelay.wire.Json;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shows the operators' settings, or changes some. */
@Command(
    name = "settings",
    mixinStandardHelpOptions = true,
    description = "Show the operators' settings, or change some.")
final class SettingsTool extends Tool {
  @Option(
      names = "--set",
      paramLabel = "NAME=VALUE",
      description = "a new value; 'default' takes a setting back")
  private Map<String, String> set = new LinkedHashMap<>();

  @Override
  public Integer call() {
    if (set.isEmpty()) {
      return ask("GET", "/admin/settings", null);
    }
    ObjectNode values = Json.object();
    set.forEach((name, text) -> values.set(name, value(text)));
    ObjectNode body = Json.object();
    body.set("values", values);
    return ask("PUT", "/admin/settings", body);
  }

  /** JSON as it is, and anything else as a string; the server says what is wrong with it. */
  private static JsonNode value(String text) {
    if (text.equals("default")) {
      return Json.object().nullNode();
    }
    JsonNode parsed = Json.read(text.getBytes(StandardCharsets.UTF_8));
    return parsed == null ? TextNode.valueOf(text) : parsed;
  }

  @Override
  void show(JsonNode answer) {
    TextOutput.fields(answer.path("values"));
  }
}
