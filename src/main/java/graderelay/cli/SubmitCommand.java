package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.wire.Json;
import graderelay.wire.UserCodec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Submits the job that a JSON file describes. */
@Command(
    name = "submit",
    mixinStandardHelpOptions = true,
    description = "Submit the job that a JSON file describes.")
final class SubmitCommand extends ClientCommand {
  @Parameters(
      paramLabel = "FILE",
      description = "JSON file with the job in the format of the protocol")
  private Path jobFile;

  @Option(
      names = "--needs",
      paramLabel = "JOB",
      description = "a job that must be done before this one starts; may be repeated")
  private List<String> dependencies = new ArrayList<>();

  @Override
  public Integer call() {
    JsonNode job;
    try {
      job = Json.read(Files.readAllBytes(jobFile));
    } catch (IOException e) {
      System.err.println("graderelay: " + jobFile + " can't be read");
      return Main.USAGE_ERROR;
    }
    if (job == null) {
      System.err.println("graderelay: " + jobFile + " is not JSON");
      return Main.USAGE_ERROR;
    }
    return request(
        "POST",
        "/v1/jobs",
        job instanceof ObjectNode o && !dependencies.isEmpty()
            ? UserCodec.addDependencies(o, dependencies)
            : job);
  }

  @Override
  void printText(JsonNode response) {
    System.out.println(response.path("ref").asText() + " " + response.path("stage").asText());
  }
}
