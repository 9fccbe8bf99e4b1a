package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import graderelay.wire.Json;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Shows the guarantee, limit and usage of teams, or changes their stored limits. */
@Command(
    name = "quota",
    mixinStandardHelpOptions = true,
    description = "Show the guarantee, limit and usage of teams, or change their stored limits.")
final class QuotaCommand extends ClientCommand {
  private static final String PATH = "/admin/quota";

  @Parameters(arity = "0..1", paramLabel = "TEAM", description = "the team; all teams if omitted")
  private String team;

  /** Mutually exclusive options. */
  static final class Action {
    @Option(names = "--add", description = "add the team with the values of --set")
    private boolean add;

    @Option(names = "--remove", description = "remove the team, which must have no work")
    private boolean remove;

    @Option(
        names = "--recompute",
        description = "recompute the team's account from its claims, if its record can't be read")
    private boolean recompute;
  }

  @ArgGroup private Action action;

  @Option(
      names = "--set",
      paramLabel = "NAME=VALUE",
      description = "a new value of cpus, cpus-max, gpus or gpus-max; 0 for no guarantee or limit")
  private Map<String, String> newValues = new LinkedHashMap<>();

  @Option(
      names = "--if-version",
      paramLabel = "VERSION",
      description = "apply the change only if this is the current version of the team's limits")
  private Long expectedVersion;

  @Override
  public Integer call() {
    if (team == null) {
      if (action != null || !newValues.isEmpty()) {
        System.err.println("graderelay: a change requires the TEAM argument");
        return Main.USAGE_ERROR;
      }
      return request("GET", PATH, null);
    }
    String path = PATH + "/" + URLEncoder.encode(team, StandardCharsets.UTF_8);
    if (action != null && action.remove) {
      return request("DELETE", path, null);
    }
    if (action != null && action.recompute) {
      return request("POST", path + "/recompute", null);
    }
    if (action != null) {
      return request("POST", path, changeBody());
    }
    return newValues.isEmpty() ? request("GET", path, null) : request("PUT", path, changeBody());
  }

  /**
   * Returns the request body of a change. The values are validated by the server, which names the
   * invalid field.
   */
  private ObjectNode changeBody() {
    ObjectNode body = Json.object().put("by", System.getProperty("user.name", "operator"));
    newValues.forEach((name, value) -> body.set(name.replace('-', '_'), parseValue(value)));
    if (expectedVersion != null) {
      body.put("version", expectedVersion);
    }
    return body;
  }

  private static JsonNode parseValue(String text) {
    JsonNode parsed = Json.read(text.getBytes(StandardCharsets.UTF_8));
    return parsed == null ? TextNode.valueOf(text) : parsed;
  }

  @Override
  void printText(JsonNode response) {
    if (response.has("message")) {
      System.out.println(response.get("message").asText());
    } else if (response.has("teams")) {
      printTeams(response);
    } else {
      TextOutput.fields(response);
    }
  }

  private void printTeams(JsonNode response) {
    JsonNode teams = response.get("teams");
    if (team != null && teams.size() == 1) {
      TextOutput.fields(teams.get(0));
    } else {
      TextOutput.table(
          teams,
          "team",
          "cpus",
          "cpus_max",
          "cpus_used",
          "cpus_reserved",
          "cpus_beyond",
          "tasks_waiting",
          "gpus_max",
          "gpus_used",
          "version",
          "changed_by");
    }
    teams.forEach(row -> printWarning(row.path("stopped_because")));
    response.path("settings_differ").forEach(QuotaCommand::printWarning);
    if (!response.path("stored").asBoolean()) {
      System.out.println("limits are not stored; the limits of the settings files apply");
    }
  }

  private static void printWarning(JsonNode text) {
    if (text.isTextual()) {
      System.out.println("warning: " + text.asText());
    }
  }
}
