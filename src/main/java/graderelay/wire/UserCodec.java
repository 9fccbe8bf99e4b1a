package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.JobSpec;
import graderelay.core.Kind;
import graderelay.core.Priority;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** What passes between users and controllers. */
public final class UserCodec {
  /** Jobs that a submission may name; a request has at most 64 KiB. */
  public static final int MOST_DEPENDENCIES = 2000;

  /** Tasks of one job; a limit of the protocol. */
  private static final int MOST_TASKS = 100_000;

  /** Machine types that a submission may name, for the same reason. */
  private static final int MOST_TYPES = 32;

  /** The field of a submission that names the jobs it waits for. */
  public static final String DEPENDENCIES = "awaits";

  private static final Pattern ID = Pattern.compile("j-[0-9]{1,20}");

  private UserCodec() {}

  public static boolean isId(String s) {
    return ID.matcher(s).matches();
  }

  /** Reads a submission, checking every field by the protocol's table. */
  public static JobSpec decodeSubmission(JsonNode body, long nowMs, int batchCapacity)
      throws BadRequest {
    Fields f = new Fields(body);
    String id = f.text("ref");
    if (!isId(id)) {
      throw new BadRequest("ref must look like j-000412");
    }
    String cut = f.text("cut");
    Kind kind =
        switch (cut) {
          case "array" -> Kind.ARRAY;
          case "standing" -> Kind.SERVICE;
          default -> throw new BadRequest("cut must be array or standing");
        };
    return new JobSpec(
        id,
        f.text("lot"),
        f.text("crew"),
        kind,
        priority(f.text("urgency")),
        f.count("boards", 1, MOST_TASKS),
        f.amount("cpus", false),
        f.amount("cards", true),
        f.amount("mem_gb", true),
        f.text("blade"),
        f.amount("pull_gb", true),
        types(f.raw("rigs")),
        f.textOrNull("yard"),
        f.flag("one_zone"),
        f.flag("apart"),
        f.flag("borrowed"),
        f.amount("expected_s", true),
        f.amount("stack_s", true),
        f.amount("stack_write_s", true),
        f.amountOrNull("ship_s"),
        nowMs,
        batchCapacity,
        needs(f.raw(DEPENDENCIES), id));
  }

  /** The jobs that this one waits for, each once. */
  private static List<String> needs(JsonNode n, String id) throws BadRequest {
    if (n == null) {
      return List.of();
    }
    if (!n.isArray()) {
      throw new BadRequest(DEPENDENCIES + " must be null or a list of job ids");
    }
    if (n.size() > MOST_DEPENDENCIES) {
      throw new BadRequest(DEPENDENCIES + " has more than " + MOST_DEPENDENCIES + " entries");
    }
    Set<String> needs = new LinkedHashSet<>();
    for (JsonNode need : n) {
      if (!need.isTextual() || !isId(need.textValue())) {
        throw new BadRequest(DEPENDENCIES + " must hold ids like j-000412");
      }
      if (need.textValue().equals(id)) {
        throw new BadRequest(DEPENDENCIES + " must not name the job itself");
      }
      needs.add(need.textValue());
    }
    return List.copyOf(needs);
  }

  /**
   * A submission as its user wrote it, with more jobs that it has to wait for. One whose list is no
   * list stays as it is: the controller says what is wrong with it.
   */
  public static ObjectNode withDependencies(ObjectNode submission, List<String> ids) {
    JsonNode named = submission.get(DEPENDENCIES);
    if (named == null || named.isNull()) {
      named = submission.putArray(DEPENDENCIES);
    }
    if (named instanceof ArrayNode all) {
      ids.forEach(all::add);
    }
    return submission;
  }

  private static Priority priority(String s) throws BadRequest {
    return switch (s) {
      case "prod" -> Priority.PROD;
      case "urgent" -> Priority.URGENT;
      case "normal" -> Priority.NORMAL;
      case "low" -> Priority.LOW;
      default -> throw new BadRequest("urgency must be prod, urgent, normal or low");
    };
  }

  private static List<String> types(JsonNode n) throws BadRequest {
    if (n == null) {
      return null;
    }
    if (!n.isArray()) {
      throw new BadRequest("rigs must be null or a list of machine types");
    }
    if (n.size() > MOST_TYPES) {
      throw new BadRequest("rigs has more than " + MOST_TYPES + " entries");
    }
    List<String> types = new ArrayList<>();
    for (JsonNode t : n) {
      if (!t.isTextual() || t.textValue().length() > Fields.MOST_NAME) {
        throw new BadRequest("rigs must hold strings of at most " + Fields.MOST_NAME);
      }
      types.add(t.textValue());
    }
    return List.copyOf(types);
  }

  public static ObjectNode encodeStage(String id, String stage) {
    return Json.object().put("ref", id).put("stage", stage);
  }

  public static ObjectNode encodeStatus(String id, String stage, int done, int running) {
    return encodeStage(id, stage).put("done", done).put("running", running);
  }
}
