package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import graderelay.wire.Json;
import graderelay.wire.UserCodec;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The operators' tools, each on the HTTP interface of a controller. */
final class Tools {
  private Tools() {}

  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = "Show who owns the fleet and how this controller is.")
  static final class Status extends Tool {
    @Override
    public Integer call() {
      return ask("GET", "/admin/status", null);
    }

    @Override
    void show(JsonNode answer) {
      fields(answer);
    }
  }

  @Command(
      name = "jobs",
      mixinStandardHelpOptions = true,
      description = "List the live jobs, or show one: why it waits, or how it ended.")
  static final class Jobs extends Tool {
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
        table(answer.get("jobs"), "id", "class", "team", "stage", "tasks", "done", "claimed");
        return;
      }
      ObjectNode job = answer.deepCopy();
      JsonNode claims = job.remove("claims");
      fields(job);
      if (claims != null) {
        table(claims, "task", "attempt", "machine", "session");
      }
    }
  }

  @Command(
      name = "submit",
      mixinStandardHelpOptions = true,
      description = "Submit the job that a JSON file describes.")
  static final class Submit extends Tool {
    @Parameters(paramLabel = "FILE", description = "the job as the protocol has it")
    private Path file;

    @Option(
        names = "--needs",
        paramLabel = "JOB",
        description =
            "a job that has to be done before this one starts; may be given several times")
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
              ? UserCodec.withDependencies(o, needs)
              : job);
    }

    @Override
    void show(JsonNode answer) {
      System.out.println(answer.path("ref").asText() + " " + answer.path("stage").asText());
    }
  }

  @Command(name = "cancel", mixinStandardHelpOptions = true, description = "Cancel a job.")
  static final class Cancel extends Tool {
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

  @Command(
      name = "machines",
      mixinStandardHelpOptions = true,
      description = "List the machines, or keep work off one.")
  static final class Machines extends Tool {
    /** At most one of them. */
    static final class What {
      @Option(names = "--cordon", paramLabel = "NAME", description = "start nothing new there")
      private String cordon;

      @Option(names = "--drain", paramLabel = "NAME", description = "also stop what runs there")
      private String drain;

      @Option(names = "--uncordon", paramLabel = "NAME", description = "use it again")
      private String uncordon;
    }

    @ArgGroup private What what;

    @Option(names = "--state", paramLabel = "STATE", description = "only those in this state")
    private String state;

    @Option(names = "--type", paramLabel = "TYPE", description = "only those of this type")
    private String type;

    @Option(names = "--zone", paramLabel = "ZONE", description = "only those in this zone")
    private String zone;

    private String filtered() {
      Map<String, String> only = new LinkedHashMap<>();
      only.put("state", state);
      only.put("type", type);
      only.put("zone", zone);
      StringBuilder path = new StringBuilder("/admin/machines");
      only.forEach(
          (k, v) -> {
            if (v != null) {
              path.append(path.indexOf("?") < 0 ? '?' : '&').append(k).append('=');
              path.append(URLEncoder.encode(v, StandardCharsets.UTF_8));
            }
          });
      return path.toString();
    }

    @Override
    public Integer call() {
      if (what == null) {
        return pages(filtered(), "machines", "name");
      }
      String name =
          what.cordon != null ? what.cordon : what.drain != null ? what.drain : what.uncordon;
      String verb = what.cordon != null ? "cordon" : what.drain != null ? "drain" : "uncordon";
      return ask("POST", "/admin/machines/" + name + "/" + verb, null);
    }

    @Override
    void show(JsonNode answer) {
      if (answer.has("machines")) {
        table(
            answer.get("machines"),
            "name",
            "type",
            "zone",
            "spot",
            "state",
            "tasks",
            "cpus_used",
            "cpus");
        System.out.println(answer.path("known").asInt() + " known: " + answer.path("states"));
      } else {
        fields(answer.path("values"));
      }
    }
  }

  @Command(
      name = "settings",
      mixinStandardHelpOptions = true,
      description = "Show the operators' settings, or change some.")
  static final class SettingsTool extends Tool {
    @Option(
        names = "--set",
        paramLabel = "NAME=VALUE",
        description = "a new value; 'default' takes a setting back")
    private Map<String, String> set = new LinkedHashMap<>();

    @Override
    public Integer call() {
      if (set.isEmpty()) {
        return ask("GET", "/admin/settings", null);
      }
      ObjectNode values = Json.object();
      set.forEach((k, v) -> values.set(k, value(v)));
      ObjectNode body = Json.object();
      body.set("values", values);
      return ask("PUT", "/admin/settings", body);
    }

    private static JsonNode value(String v) {
      if (v.equals("default")) {
        return Json.object().nullNode();
      }
      JsonNode n = Json.read(v.getBytes(java.nio.charset.StandardCharsets.UTF_8));
      return n == null ? TextNode.valueOf(v) : n;
    }

    @Override
    void show(JsonNode answer) {
      fields(answer.path("values"));
    }
  }
}
