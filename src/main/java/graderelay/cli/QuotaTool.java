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

/** Shows what teams are guaranteed, may use and use, or changes their stored limits. */
@Command(
    name = "quota",
    mixinStandardHelpOptions = true,
    description = "Show guarantee, limit and use of teams, or change stored limits.")
final class QuotaTool extends Tool {
  private static final String PATH = "/admin/quota";

  @Parameters(
      arity = "0..1",
      paramLabel = "TEAM",
      description = "the team; without one all are shown")
  private String team;

  /** At most one of them. */
  static final class Action {
    @Option(names = "--add", description = "add the team, with the values of --set")
    private boolean add;

    @Option(names = "--remove", description = "remove the team, which must have no work")
    private boolean remove;

    @Option(
        names = "--recompute",
        description = "write the team's account anew from its claims, if it can't be read")
    private boolean recompute;
  }

  @ArgGroup private Action action;

  @Option(
      names = "--set",
      paramLabel = "NAME=VALUE",
      description = "a new value of cpus, cpus-max, gpus or gpus-max; 0 for none")
  private Map<String, String> set = new LinkedHashMap<>();

  @Option(
      names = "--if-version",
      paramLabel = "VERSION",
      description = "change nothing unless this is the version of the team's limits")
  private Long version;

  @Override
  public Integer call() {
    if (team == null) {
      if (action != null || !set.isEmpty()) {
        System.err.println("graderelay: a change has to name its team");
        return Main.USAGE;
      }
      return ask("GET", PATH, null);
    }
    String path = PATH + "/" + URLEncoder.encode(team, StandardCharsets.UTF_8);
    if (action != null && action.remove) {
      return ask("DELETE", path, null);
    }
    if (action != null && action.recompute) {
      return ask("POST", path + "/recompute", null);
    }
    if (action != null) {
      return ask("POST", path, change());
    }
    return set.isEmpty() ? ask("GET", path, null) : ask("PUT", path, change());
  }

  /** The body of a change, unchecked: the server names the field that is wrong. */
  private ObjectNode change() {
    ObjectNode body = Json.object().put("by", System.getProperty("user.name", "operator"));
    set.forEach((name, value) -> body.set(name.replace('-', '_'), value(value)));
    if (version != null) {
      body.put("version", version);
    }
    return body;
  }

  private static JsonNode value(String text) {
    JsonNode parsed = Json.read(text.getBytes(StandardCharsets.UTF_8));
    return parsed == null ? TextNode.valueOf(text) : parsed;
  }

  @Override
  void show(JsonNode answer) {
    if (answer.has("message")) {
      System.out.println(answer.get("message").asText());
    } else if (answer.has("teams")) {
      showTeams(answer);
    } else {
      TextOutput.fields(answer);
    }
  }

  private void showTeams(JsonNode answer) {
    JsonNode teams = answer.get("teams");
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
    teams.forEach(shown -> warn(shown.path("stopped_because")));
    answer.path("settings_differ").forEach(QuotaTool::warn);
    if (!answer.path("stored").asBoolean()) {
      System.out.println("limits are not stored; those of the settings count");
    }
  }

  private static void warn(JsonNode text) {
    if (text.isTextual()) {
      System.out.println("warning: " + text.asText());
    }
  }
}
