package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Lists the live jobs, or shows one: why it waits, or how it ended. */
@Command(
    name = "jobs",
    mixinStandardHelpOptions = true,
    description = "List the live jobs, or show one: why it waits, or how it ended.")
final class JobsTool extends Tool {
  @Parameters(arity = "0..1", paramLabel = "JOB", description = "a job's id")
  private String id;

  @Override
  public Integer call() {
    return id == null
        ? pages("/admin/jobs", "jobs", "id")
        : askEither("/admin/jobs/" + id, "/v1/jobs/" + id); // Only live jobs have details.
  }

  @Override
  void show(JsonNode answer) {
    if (answer.has("jobs")) {
      TextOutput.table(
          answer.get("jobs"), "id", "class", "team", "stage", "tasks", "done", "claimed");
      return;
    }
    ObjectNode job = answer.deepCopy();
    JsonNode claims = job.remove("claims");
    TextOutput.fields(job);
    if (claims != null) {
      TextOutput.table(claims, "task", "attempt", "machine", "session");
    }
  }
}
