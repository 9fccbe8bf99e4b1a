package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Lists the live jobs, or shows one with the reason why it is waiting or its outcome. */
@Command(
    name = "jobs",
    mixinStandardHelpOptions = true,
    description =
        "List the live jobs, or show one with the reason why it is waiting or its outcome.")
final class JobsCommand extends ClientCommand {
  @Parameters(arity = "0..1", paramLabel = "JOB", description = "a job's id")
  private String jobId;

  @Override
  public Integer call() {
    return jobId == null
        ? requestAllPages("/admin/jobs", "jobs", "id")
        : requestWithFallback(
            "/admin/jobs/" + jobId, "/v1/jobs/" + jobId); // Details exist only for live jobs.
  }

  @Override
  void printText(JsonNode response) {
    if (response.has("jobs")) {
      TextOutput.table(
          response.get("jobs"), "id", "class", "team", "stage", "tasks", "done", "claimed");
      return;
    }
    ObjectNode job = response.deepCopy();
    JsonNode claims = job.remove("claims");
    TextOutput.fields(job);
    if (claims != null) {
      TextOutput.table(claims, "task", "attempt", "machine", "session");
    }
  }
}
