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
final class SubmitTool extends Tool {
  @Parameters(paramLabel = "FILE", description = "the job as the protocol has it")
  private Path file;

  @Option(
      names = "--needs",
      paramLabel = "JOB",
      description = "a job that has to be done before this one starts; may be given several times")
  private List<String> needs = new ArrayList<>();

  @Override
  public Integer call() {
    JsonNode job;
    try {
      job = Json.read(Files.readAllBytes(file));
    } catch (IOException e) {
      System.err.println("graderelay: " + file + " can't be read");
      return Main.USAGE;
    }
    if (job == null) {
      System.err.println("graderelay: " + file + " is not JSON");
      return Main.USAGE;
    }
    return ask(
        "POST",
        "/v1/jobs",
        job instanceof ObjectNode o && !needs.isEmpty()
            ? UserCodec.addDependencies(o, needs)
            : job);
  }

  @Override
  void show(JsonNode answer) {
    System.out.println(answer.path("ref").asText() + " " + answer.path("stage").asText());
  }
}
