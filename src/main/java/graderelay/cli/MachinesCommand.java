package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Lists the machines, or cordons, drains or uncordons one. */
@Command(
    name = "machines",
    mixinStandardHelpOptions = true,
    description = "List the machines, or cordon, drain or uncordon one.")
final class MachinesCommand extends ClientCommand {
  /** Mutually exclusive options. */
  static final class Change {
    @Option(
        names = "--cordon",
        paramLabel = "NAME",
        description = "place no new tasks on this machine")
    private String cordon;

    @Option(
        names = "--drain",
        paramLabel = "NAME",
        description = "cordon this machine and stop its tasks")
    private String drain;

    @Option(
        names = "--uncordon",
        paramLabel = "NAME",
        description = "place tasks on this machine again")
    private String uncordon;
  }

  @ArgGroup private Change change;

  @Option(names = "--state", paramLabel = "STATE", description = "list only machines in this state")
  private String state;

  @Option(names = "--type", paramLabel = "TYPE", description = "list only machines of this type")
  private String type;

  @Option(names = "--zone", paramLabel = "ZONE", description = "list only machines in this zone")
  private String zone;

  /** Returns the path of the list with the given filters as its query string. */
  private String filteredPath() {
    Map<String, String> filters = new LinkedHashMap<>();
    filters.put("state", state);
    filters.put("type", type);
    filters.put("zone", zone);
    StringBuilder path = new StringBuilder("/admin/machines");
    filters.forEach(
        (name, value) -> {
          if (value != null) {
            path.append(path.indexOf("?") < 0 ? '?' : '&').append(name).append('=');
            path.append(URLEncoder.encode(value, StandardCharsets.UTF_8));
          }
        });
    return path.toString();
  }

  @Override
  public Integer call() {
    if (change == null) {
      return requestAllPages(filteredPath(), "machines", "name");
    }
    return change();
  }

  private int change() {
    String name =
        change.cordon != null
            ? change.cordon
            : change.drain != null ? change.drain : change.uncordon;
    String action = change.cordon != null ? "cordon" : change.drain != null ? "drain" : "uncordon";
    return request("POST", "/admin/machines/" + name + "/" + action, null);
  }

  @Override
  void printText(JsonNode response) {
    if (response.has("machines")) {
      TextOutput.table(
          response.get("machines"),
          "name",
          "type",
          "zone",
          "spot",
          "state",
          "tasks",
          "cpus_used",
          "cpus");
      System.out.println(response.path("known").asInt() + " known: " + response.path("states"));
    } else {
      TextOutput.fields(response.path("values"));
    }
  }
}
