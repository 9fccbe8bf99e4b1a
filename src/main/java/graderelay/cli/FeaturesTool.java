package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.wire.Json;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shows the cluster's feature level and what a higher one waits for, or changes it. */
@Command(
    name = "features",
    mixinStandardHelpOptions = true,
    description = "Show the cluster's feature level, or raise, hold or lower it.")
final class FeaturesTool extends Tool {
  private static final String PATH = "/admin/features";

  /** At most one of them. */
  static final class Change {
    @Option(
        names = "--finalize",
        paramLabel = "LEVEL",
        description = "go to this level, which all controllers must support")
    private Integer finalizeLevel;

    @Option(
        names = "--downgrade",
        paramLabel = "LEVEL",
        description = "go down to this level, and stay there")
    private Integer downgradeLevel;

    @Option(names = "--hold", description = "stay at the present level")
    private boolean hold;

    @Option(names = "--release", description = "take --hold back")
    private boolean release;
  }

  @ArgGroup private Change change;

  @Override
  public Integer call() {
    if (change == null) {
      return ask("GET", PATH, null);
    }
    if (change.finalizeLevel != null) {
      return ask("POST", PATH + "/finalize", level(change.finalizeLevel));
    }
    if (change.downgradeLevel != null) {
      return ask("POST", PATH + "/downgrade", level(change.downgradeLevel));
    }
    return ask("POST", PATH + (change.hold ? "/hold" : "/release"), Json.object());
  }

  private static ObjectNode level(int level) {
    return Json.object().put("level", level);
  }

  @Override
  void show(JsonNode answer) {
    if (answer.has("message")) {
      System.out.println(answer.get("message").asText());
      return;
    }
    ObjectNode rest = answer.deepCopy();
    final JsonNode features = rest.remove("features");
    final JsonNode members = rest.remove("members");
    final JsonNode waits = rest.remove("waits_for");
    TextOutput.fields(rest);
    TextOutput.table(features, "name", "level", "used");
    TextOutput.table(members, "member", "version", "min", "max");
    if (waits != null) {
      TextOutput.table(waits, "member", "reason");
    }
  }
}
