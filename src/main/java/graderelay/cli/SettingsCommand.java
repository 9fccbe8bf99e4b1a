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
final class SettingsCommand extends ClientCommand {
  @Option(
      names = "--set",
      paramLabel = "NAME=VALUE",
      description = "a new value; 'default' resets the setting to its default")
  private Map<String, String> newValues = new LinkedHashMap<>();

  @Override
  public Integer call() {
    if (newValues.isEmpty()) {
      return request("GET", "/admin/settings", null);
    }
    ObjectNode values = Json.object();
    newValues.forEach((name, text) -> values.set(name, parseValue(text)));
    ObjectNode body = Json.object();
    body.set("values", values);
    return request("PUT", "/admin/settings", body);
  }

  /**
   * Returns valid JSON as it is, and any other text as a string. The server validates the value.
   */
  private static JsonNode parseValue(String text) {
    if (text.equals("default")) {
      return Json.object().nullNode();
    }
    JsonNode parsed = Json.read(text.getBytes(StandardCharsets.UTF_8));
    return parsed == null ? TextNode.valueOf(text) : parsed;
  }

  @Override
  void printText(JsonNode response) {
    TextOutput.fields(response.path("values"));
  }
}
