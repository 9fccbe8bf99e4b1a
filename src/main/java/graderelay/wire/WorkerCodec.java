package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.Heartbeat;
import graderelay.core.WorkerCommand;
import java.util.ArrayList;
import java.util.List;

/** What passes between workers and controllers. */
public final class WorkerCodec {
  private WorkerCodec() {}

  private static boolean texts(JsonNode n, String... names) {
    for (String name : names) {
      if (!n.path(name).isTextual() || n.path(name).textValue().isEmpty()) {
        return false;
      }
    }
    return true;
  }

  private static boolean counts(JsonNode n, String... names) {
    for (String name : names) {
      JsonNode v = n.path(name);
      if (!v.isIntegralNumber() || v.bigIntegerValue().signum() < 0) {
        return false;
      }
    }
    return true;
  }

  /** True if a report has what every report has; a list that is empty may be left out. */
  private static boolean wellFormed(JsonNode n) {
    JsonNode boards = n == null ? null : n.path("boards");
    if (n == null
        || !texts(n, "saw", "address", "rig", "yard")
        || !counts(n, "shift", "tally", "foreman")
        || !(boards.isArray() || boards.isMissingNode() || boards.isNull())) {
      return false;
    }
    for (JsonNode t : boards) {
      if (!texts(t, "board", "stage") || !counts(t, "pass")) {
        return false;
      }
    }
    return true;
  }

  /** Reads a report; null if it is none. */
  public static Heartbeat decodeHeartbeat(JsonNode n) {
    if (!wellFormed(n)) {
      return null;
    }
    List<Heartbeat.Entry> tasks = new ArrayList<>();
    for (JsonNode t : n.path("boards")) {
      Heartbeat.Stage stage =
          switch (t.path("stage").asText()) {
            case "running" -> Heartbeat.Stage.RUNNING;
            case "saving" -> Heartbeat.Stage.SAVING;
            case "exited" -> Heartbeat.Stage.EXITED;
            default -> Heartbeat.Stage.FETCHING;
          };
      tasks.add(
          new Heartbeat.Entry(
              t.path("board").asText(),
              t.path("pass").asInt(),
              stage,
              t.path("cause").asText(""),
              t.path("saved").asBoolean(false)));
    }
    JsonNode notice = n.path("recall_s");
    return new Heartbeat(
        n.path("saw").asText(),
        n.path("address").asText(),
        n.path("rig").asText(),
        n.path("yard").asText(),
        n.path("borrowed").asBoolean(),
        n.path("shift").asLong(),
        n.path("tally").asLong(),
        n.path("foreman").asLong(),
        notice.isNumber() ? notice.asDouble() : null,
        tasks);
  }

  private static ArrayNode orders(List<WorkerCommand> orders, int most) {
    ArrayNode a = Json.array();
    for (WorkerCommand o : orders) {
      if (a.size() >= most) {
        break; // The rest follows with the next report.
      }
      ObjectNode n = a.addObject();
      if (o instanceof WorkerCommand.Kill k) {
        n.put("order", "kill").put("board", o.task()).put("pass", o.attempt());
        n.put("wind_down_s", k.graceS());
      } else {
        n.put("order", o instanceof WorkerCommand.Launch ? "launch" : "reap");
        n.put("board", o.task()).put("pass", o.attempt());
      }
    }
    return a;
  }

  public static ObjectNode encodeHeartbeatResponse(
      long term, List<WorkerCommand> orders, int most) {
    ObjectNode n = Json.object().put("foreman", term);
    n.set("orders", orders(orders, most));
    return n;
  }

  public static ObjectNode encodeCommands(long term, long session, List<WorkerCommand> orders) {
    ObjectNode n = Json.object().put("foreman", term).put("shift", session);
    n.set("orders", orders(orders, Integer.MAX_VALUE));
    return n;
  }

  public static ObjectNode encodeRedirect(String member) {
    ObjectNode n = Json.object();
    return member == null ? n : n.put("foreman_at", member);
  }
}
