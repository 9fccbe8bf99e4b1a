package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Cancels a job. */
@Command(name = "cancel", mixinStandardHelpOptions = true, description = "Cancel a job.")
final class CancelTool extends Tool {
  @Parameters(paramLabel = "JOB", description = "the job's id")
  private String id;

  @Override
  public Integer call() {
    return ask("POST", "/v1/jobs/" + id + "/withdraw", null);
  }

  @Override
  void show(JsonNode answer) {
    System.out.println(answer.path("ref").asText() + " " + answer.path("stage").asText());
  }
}
