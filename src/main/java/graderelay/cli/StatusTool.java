package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;

/** Shows the leader and the state of the asked controller. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = "Show who owns the fleet and how this controller is.")
final class StatusTool extends Tool {
  @Override
  public Integer call() {
    return ask("GET", "/admin/status", null);
  }

  @Override
  void show(JsonNode answer) {
    TextOutput.fields(answer);
  }
}
