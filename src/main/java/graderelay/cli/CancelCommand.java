package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Cancels a job. */
@Command(name = "cancel", mixinStandardHelpOptions = true, description = "Cancel a job.")
final class CancelCommand extends ClientCommand {
  @Parameters(paramLabel = "JOB", description = "the job's id")
  private String jobId;

  @Override
  public Integer call() {
    return request("POST", "/v1/jobs/" + jobId + "/withdraw", null);
  }

  @Override
  void printText(JsonNode response) {
    System.out.println(response.path("ref").asText() + " " + response.path("stage").asText());
  }
}
