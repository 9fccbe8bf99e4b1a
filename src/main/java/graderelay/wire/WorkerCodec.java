package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.Heartbeat;
import graderelay.core.WorkerCommand;
import java.util.ArrayList;
import java.util.List;

/** Decodes heartbeats of workers ("checkins") and encodes responses and worker commands. */
public final class WorkerCodec {
  /** Wire name "saw": the machine that a worker runs on. */
  private static final String MACHINE = "saw";

  private static final String ADDRESS = "address";

  /** Wire name "rig": the machine's type. */
  private static final String MACHINE_TYPE = "rig";

  /** Wire name "yard": the machine's zone. */
  private static final String ZONE = "yard";

  /** Wire name "borrowed": true on a spot instance. */
  private static final String SPOT = "borrowed";

  /**
   * Wire name "shift": the agent's incarnation, which increases when the worker's lease expires.
   */
  private static final String INCARNATION = "shift";

  /** Wire name "tally": the sequence number of the heartbeat within its incarnation. */
  private static final String SEQUENCE_NUMBER = "tally";

  /** Wire name "foreman": the term, which fences worker commands. */
  private static final String TERM = "foreman";

  /** Wire name "foreman_at": the controller to which the worker should send heartbeats. */
  private static final String CONTROLLER = "foreman_at";

  /** Wire name "recall_s": seconds until the cloud reclaims the spot instance. */
  private static final String INTERRUPTION_NOTICE_S = "recall_s";

  /** Wire name "boards": the task attempts on a machine. */
  private static final String TASKS = "boards";

  /** Wire name "board": the id of a task. */
  private static final String TASK = "board";

  /** Wire name "pass": the number of a task attempt. */
  private static final String ATTEMPT = "pass";

  private static final String STAGE = "stage";
  private static final String RUNNING = "running";
  private static final String SAVING = "saving";
  private static final String EXITED = "exited";

  /** Wire name "cause": why a task exited. */
  private static final String EXIT_REASON = "cause";

  /** Wire name "saved": whether a stopped task has written its checkpoint. */
  private static final String CHECKPOINT_SAVED = "saved";

  /** Wire name "orders": the worker commands. */
  private static final String COMMANDS = "orders";

  /** Wire name "order": the kind of a worker command. */
  private static final String COMMAND_KIND = "order";

  private static final String LAUNCH = "launch";
  private static final String KILL = "kill";

  /** Wire name "reap": removes an exited task attempt from the worker and its heartbeats. */
  private static final String REAP = "reap";

  /** Wire name "wind_down_s": the grace period of a kill in seconds. */
  private static final String GRACE_PERIOD_S = "wind_down_s";

  private WorkerCodec() {}

  private static boolean hasNonEmptyTexts(JsonNode n, String... names) {
    for (String name : names) {
      if (!n.path(name).isTextual() || n.path(name).textValue().isEmpty()) {
        return false;
      }
    }
    return true;
  }

  private static boolean hasNonNegativeIntegers(JsonNode n, String... names) {
    for (String name : names) {
      JsonNode v = n.path(name);
      if (!v.isIntegralNumber() || v.bigIntegerValue().signum() < 0) {
        return false;
      }
    }
    return true;
  }

  /** Whether a heartbeat has all required fields; an empty list of tasks may be omitted. */
  private static boolean isWellFormed(JsonNode n) {
    JsonNode tasks = n == null ? null : n.path(TASKS);
    if (n == null
        || !hasNonEmptyTexts(n, MACHINE, ADDRESS, MACHINE_TYPE, ZONE)
        || !hasNonNegativeIntegers(n, INCARNATION, SEQUENCE_NUMBER, TERM)
        || !(tasks.isArray() || tasks.isMissingNode() || tasks.isNull())) {
      return false;
    }
    for (JsonNode t : tasks) {
      if (!hasNonEmptyTexts(t, TASK, STAGE) || !hasNonNegativeIntegers(t, ATTEMPT)) {
        return false;
      }
    }
    return true;
  }

  /** Decodes a heartbeat; returns null if the body is not a valid heartbeat. */
  public static Heartbeat decodeHeartbeat(JsonNode n) {
    if (!isWellFormed(n)) {
      return null;
    }
    List<Heartbeat.TaskStatus> tasks = new ArrayList<>();
    for (JsonNode task : n.path(TASKS)) {
      tasks.add(decodeTask(task));
    }
    JsonNode interruptionNotice = n.path(INTERRUPTION_NOTICE_S);
    return new Heartbeat(
        n.path(MACHINE).asText(),
        n.path(ADDRESS).asText(),
        n.path(MACHINE_TYPE).asText(),
        n.path(ZONE).asText(),
        n.path(SPOT).asBoolean(),
        n.path(INCARNATION).asLong(),
        n.path(SEQUENCE_NUMBER).asLong(),
        n.path(TERM).asLong(),
        interruptionNotice.isNumber() ? interruptionNotice.asDouble() : null,
        tasks);
  }

  private static Heartbeat.TaskStatus decodeTask(JsonNode task) {
    return new Heartbeat.TaskStatus(
        task.path(TASK).asText(),
        task.path(ATTEMPT).asInt(),
        decodeStage(task.path(STAGE).asText()),
        task.path(EXIT_REASON).asText(""),
        task.path(CHECKPOINT_SAVED).asBoolean(false));
  }

  /**
   * Decodes a stage. Unknown stages count as fetching, in which a task already occupies its
   * resources.
   */
  private static Heartbeat.Stage decodeStage(String stage) {
    return switch (stage) {
      case RUNNING -> Heartbeat.Stage.RUNNING;
      case SAVING -> Heartbeat.Stage.SAVING;
      case EXITED -> Heartbeat.Stage.EXITED;
      default -> Heartbeat.Stage.FETCHING;
    };
  }

  private static ArrayNode encodeCommandList(List<WorkerCommand> commands, int maxCommands) {
    ArrayNode list = Json.array();
    for (WorkerCommand command : commands) {
      if (list.size() >= maxCommands) {
        break; // The remaining commands are sent with the response to the next heartbeat.
      }
      ObjectNode n = list.addObject().put(COMMAND_KIND, kindOf(command));
      n.put(TASK, command.task()).put(ATTEMPT, command.attempt());
      if (command instanceof WorkerCommand.Kill kill) {
        n.put(GRACE_PERIOD_S, kill.graceS());
      }
    }
    return list;
  }

  private static String kindOf(WorkerCommand command) {
    if (command instanceof WorkerCommand.Kill) {
      return KILL;
    }
    return command instanceof WorkerCommand.Launch ? LAUNCH : REAP;
  }

  /**
   * Encodes the response to a heartbeat, with at most {@code maxCommands} commands. Workers discard
   * a response whose term is lower than the highest term they have seen.
   */
  public static ObjectNode encodeHeartbeatResponse(
      long term, List<WorkerCommand> commands, int maxCommands) {
    ObjectNode n = Json.object().put(TERM, term);
    n.set(COMMANDS, encodeCommandList(commands, maxCommands));
    return n;
  }

  /**
   * Encodes commands that are sent directly to a worker. Only the given incarnation of the worker
   * executes them.
   */
  public static ObjectNode encodeCommands(
      long term, long incarnation, List<WorkerCommand> commands) {
    ObjectNode n = Json.object().put(TERM, term).put(INCARNATION, incarnation);
    n.set(COMMANDS, encodeCommandList(commands, Integer.MAX_VALUE));
    return n;
  }

  /**
   * Encodes a redirect of a worker to another controller, to any other if {@code member} is null.
   */
  public static ObjectNode encodeRedirect(String member) {
    ObjectNode n = Json.object();
    return member == null ? n : n.put(CONTROLLER, member);
  }
}
