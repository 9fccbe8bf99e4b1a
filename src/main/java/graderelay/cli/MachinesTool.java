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
    description = "List the machines, or keep work off one.")
final class MachinesTool extends Tool {
  /** At most one of them. */
  static final class Change {
    @Option(names = "--cordon", paramLabel = "NAME", description = "start nothing new there")
    private String cordon;

    @Option(names = "--drain", paramLabel = "NAME", description = "also stop what runs there")
    private String drain;

    @Option(names = "--uncordon", paramLabel = "NAME", description = "use it again")
    private String uncordon;
  }

  @ArgGroup private Change change;

  @Option(names = "--state", paramLabel = "STATE", description = "only those in this state")
  private String state;

  @Option(names = "--type", paramLabel = "TYPE", description = "only those of this type")
  private String type;

  @Option(names = "--zone", paramLabel = "ZONE", description = "only those in this zone")
  private String zone;

  /** The path of the list, with the filters that are given. */
  private String filteredPath() {
    Map<String, String> only = new LinkedHashMap<>();
    only.put("state", state);
    only.put("type", type);
    only.put("zone", zone);
    StringBuilder path = new StringBuilder("/admin/machines");
    only.forEach(
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
      return pages(filteredPath(), "machines", "name");
    }
    return change();
  }

  private int change() {
    String name =
        change.cordon != null
            ? change.cordon
            : change.drain != null ? change.drain : change.uncordon;
    String verb = change.cordon != null ? "cordon" : change.drain != null ? "drain" : "uncordon";
    return ask("POST", "/admin/machines/" + name + "/" + verb, null);
  }

  @Override
  void show(JsonNode answer) {
    if (answer.has("machines")) {
      TextOutput.table(
          answer.get("machines"),
          "name",
          "type",
          "zone",
          "spot",
          "state",
          "tasks",
          "cpus_used",
          "cpus");
      System.out.println(answer.path("known").asInt() + " known: " + answer.path("states"));
    } else {
      TextOutput.fields(answer.path("values"));
    }
  }
}
