package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.wire.Json;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shows the cluster's feature level and what prevents a higher one, or changes it. */
@Command(
    name = "features",
    mixinStandardHelpOptions = true,
    description = "Show the cluster's feature level, or raise, hold or lower it.")
final class FeaturesCommand extends ClientCommand {
  private static final String PATH = "/admin/features";

  /** Mutually exclusive options. */
  static final class Change {
    @Option(
        names = "--finalize",
        paramLabel = "LEVEL",
        description = "raise the level to this one, which all controllers must support")
    private Integer finalizeLevel;

    @Option(
        names = "--downgrade",
        paramLabel = "LEVEL",
        description = "lower the level to this one, and hold it there")
    private Integer downgradeLevel;

    @Option(names = "--hold", description = "stay at the present level")
    private boolean hold;

    @Option(names = "--release", description = "undo --hold")
    private boolean release;
  }

  @ArgGroup private Change change;

  @Override
  public Integer call() {
    if (change == null) {
      return request("GET", PATH, null);
    }
    if (change.finalizeLevel != null) {
      return request("POST", PATH + "/finalize", levelBody(change.finalizeLevel));
    }
    if (change.downgradeLevel != null) {
      return request("POST", PATH + "/downgrade", levelBody(change.downgradeLevel));
    }
    return request("POST", PATH + (change.hold ? "/hold" : "/release"), Json.object());
  }

  private static ObjectNode levelBody(int level) {
    return Json.object().put("level", level);
  }

  @Override
  void printText(JsonNode response) {
    if (response.has("message")) {
      System.out.println(response.get("message").asText());
      return;
    }
    ObjectNode otherFields = response.deepCopy();
    final JsonNode features = otherFields.remove("features");
    final JsonNode members = otherFields.remove("members");
    final JsonNode blockers = otherFields.remove("waits_for");
    TextOutput.fields(otherFields);
    TextOutput.table(features, "name", "level", "used");
    TextOutput.table(members, "member", "version", "min", "max");
    if (blockers != null) {
      TextOutput.table(blockers, "member", "reason");
    }
  }
}
