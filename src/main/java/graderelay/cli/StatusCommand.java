package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;

/** Shows the leader and the state of the contacted controller. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = "Show the leader and the state of the contacted controller.")
final class StatusCommand extends ClientCommand {
  @Override
  public Integer call() {
    return request("GET", "/admin/status", null);
  }

  @Override
  void printText(JsonNode response) {
    TextOutput.fields(response);
  }
}
