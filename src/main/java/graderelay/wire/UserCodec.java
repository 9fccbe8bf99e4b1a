package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.JobKind;
import graderelay.core.JobSpec;
import graderelay.core.Priority;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Decodes submissions of users and encodes responses with the state of jobs. */
public final class UserCodec {
  /** Maximum number of dependencies of a submission; a request body has at most 64 KiB. */
  public static final int MAX_DEPENDENCIES = 2000;

  /** Maximum number of tasks of a job, a limit of the protocol. */
  private static final int MAX_TASKS = 100_000;

  /** Maximum number of machine types in a submission; a request body has at most 64 KiB. */
  private static final int MAX_MACHINE_TYPES = 32;

  /** Wire name "awaits": ids of the jobs that a job depends on. */
  public static final String DEPENDENCIES = "awaits";

  /** Wire name "ref": the id of a job. */
  private static final String JOB_ID = "ref";

  /** Wire name "lot": the class of a job. */
  private static final String JOB_CLASS = "lot";

  /** Wire name "crew": the team whose quota a job counts against. */
  private static final String TEAM = "crew";

  /** Wire name "cut": the kind of a job, {@link #ARRAY} or {@link #SERVICE}. */
  private static final String KIND = "cut";

  private static final String ARRAY = "array";

  /** Wire name "standing": a job whose tasks are replicas that run until it is cancelled. */
  private static final String SERVICE = "standing";

  /** Wire name "urgency": the priority. */
  private static final String PRIORITY = "urgency";

  /** Wire name "boards": the number of tasks. */
  private static final String TASK_COUNT = "boards";

  private static final String CPUS = "cpus";

  /** Wire name "cards": GPUs of each task. */
  private static final String GPUS = "cards";

  private static final String MEMORY_GB = "mem_gb";

  /** Wire name "blade": the image of the tasks. */
  private static final String IMAGE = "blade";

  /** Wire name "pull_gb": the size of the image. */
  private static final String IMAGE_GB = "pull_gb";

  /** Wire name "rigs": the allowed machine types. */
  private static final String MACHINE_TYPES = "rigs";

  /** Wire name "yard": the only allowed zone. */
  private static final String ZONE = "yard";

  private static final String ONE_ZONE = "one_zone";

  /** Wire name "apart": whether tasks must be spread over zones. */
  private static final String SPREAD = "apart";

  /** Wire name "borrowed": whether spot instances are allowed. */
  private static final String SPOT = "borrowed";

  /** Wire name "expected_s": the estimated run time of a task in seconds. */
  private static final String ESTIMATED_RUN_TIME_S = "expected_s";

  /** Wire name "stack_s": the interval between checkpoints in seconds. */
  private static final String CHECKPOINT_INTERVAL_S = "stack_s";

  /** Wire name "stack_write_s": the time in seconds to write a checkpoint. */
  private static final String CHECKPOINT_WRITE_S = "stack_write_s";

  /** Wire name "ship_s": the deadline in seconds after the submission. */
  private static final String DEADLINE_S = "ship_s";

  private static final String STAGE = "stage";
  private static final String DONE_TASK_COUNT = "done";
  private static final String RUNNING_TASK_COUNT = "running";

  private static final Pattern JOB_ID_PATTERN = Pattern.compile("j-[0-9]{1,20}");

  private UserCodec() {}

  /** Whether a text has the form of a job id, for example j-000412. */
  public static boolean isJobId(String text) {
    return JOB_ID_PATTERN.matcher(text).matches();
  }

  /** Decodes a submission and validates every field. */
  public static JobSpec decodeSubmission(JsonNode body, long nowMs, int batchCapacity)
      throws BadRequestException {
    RequestFields fields = new RequestFields(body);
    String id = fields.text(JOB_ID);
    if (!isJobId(id)) {
      throw new BadRequestException(JOB_ID, "must look like j-000412");
    }
    // Validated before the other fields, so that this error takes precedence over theirs.
    JobKind kind = parseKind(fields.text(KIND));
    return new JobSpec(
        id,
        fields.text(JOB_CLASS),
        fields.text(TEAM),
        kind,
        parsePriority(fields.text(PRIORITY)),
        fields.count(TASK_COUNT, 1, MAX_TASKS),
        fields.amount(CPUS, false),
        fields.amount(GPUS, true),
        fields.amount(MEMORY_GB, true),
        fields.text(IMAGE),
        fields.amount(IMAGE_GB, true),
        decodeMachineTypes(fields.raw(MACHINE_TYPES)),
        fields.textOrNull(ZONE),
        fields.flag(ONE_ZONE),
        fields.flag(SPREAD),
        fields.flag(SPOT),
        fields.amount(ESTIMATED_RUN_TIME_S, true),
        fields.amount(CHECKPOINT_INTERVAL_S, true),
        fields.amount(CHECKPOINT_WRITE_S, true),
        fields.amountOrNull(DEADLINE_S),
        nowMs,
        batchCapacity,
        decodeDependencies(fields.raw(DEPENDENCIES), id));
  }

  private static JobKind parseKind(String text) throws BadRequestException {
    return switch (text) {
      case ARRAY -> JobKind.ARRAY;
      case SERVICE -> JobKind.SERVICE;
      default -> throw new BadRequestException(KIND, "must be array or standing");
    };
  }

  /** Returns the distinct ids of the dependencies. */
  private static List<String> decodeDependencies(JsonNode n, String id) throws BadRequestException {
    if (n == null) {
      return List.of();
    }
    if (!n.isArray()) {
      throw new BadRequestException(DEPENDENCIES, "must be null or a list of job ids");
    }
    if (n.size() > MAX_DEPENDENCIES) {
      throw new BadRequestException(DEPENDENCIES, "has more than " + MAX_DEPENDENCIES + " entries");
    }
    Set<String> ids = new LinkedHashSet<>();
    for (JsonNode dependency : n) {
      if (!dependency.isTextual() || !isJobId(dependency.textValue())) {
        throw new BadRequestException(DEPENDENCIES, "must hold ids like j-000412");
      }
      if (dependency.textValue().equals(id)) {
        throw new BadRequestException(DEPENDENCIES, "must not name the job itself");
      }
      ids.add(dependency.textValue());
    }
    return List.copyOf(ids);
  }

  /**
   * Adds dependencies to a submission and returns it. If its dependencies are not a list, they
   * remain unchanged, and the controller rejects the submission with an error.
   */
  public static ObjectNode addDependencies(ObjectNode submission, List<String> ids) {
    JsonNode dependencies = submission.get(DEPENDENCIES);
    if (dependencies == null || dependencies.isNull()) {
      dependencies = submission.putArray(DEPENDENCIES);
    }
    if (dependencies instanceof ArrayNode list) {
      ids.forEach(list::add);
    }
    return submission;
  }

  private static Priority parsePriority(String text) throws BadRequestException {
    return switch (text) {
      case "prod" -> Priority.PROD;
      case "urgent" -> Priority.URGENT;
      case "normal" -> Priority.NORMAL;
      case "low" -> Priority.LOW;
      default -> throw new BadRequestException(PRIORITY, "must be prod, urgent, normal or low");
    };
  }

  private static List<String> decodeMachineTypes(JsonNode n) throws BadRequestException {
    if (n == null) {
      return null;
    }
    if (!n.isArray()) {
      throw new BadRequestException(MACHINE_TYPES, "must be null or a list of machine types");
    }
    if (n.size() > MAX_MACHINE_TYPES) {
      throw new BadRequestException(
          MACHINE_TYPES, "has more than " + MAX_MACHINE_TYPES + " entries");
    }
    List<String> types = new ArrayList<>();
    for (JsonNode type : n) {
      if (!type.isTextual() || type.textValue().length() > RequestFields.MAX_NAME_LENGTH) {
        throw new BadRequestException(
            MACHINE_TYPES, "must hold strings of at most " + RequestFields.MAX_NAME_LENGTH);
      }
      types.add(type.textValue());
    }
    return List.copyOf(types);
  }

  /** Encodes the stage of a job, the response to a submission and to a cancellation. */
  public static ObjectNode encodeStage(String id, String stage) {
    return Json.object().put(JOB_ID, id).put(STAGE, stage);
  }

  /**
   * Encodes the stage of a job and its numbers of completed and running tasks, the response to a
   * status request.
   */
  public static ObjectNode encodeStatus(String id, String stage, int done, int running) {
    return encodeStage(id, stage).put(DONE_TASK_COUNT, done).put(RUNNING_TASK_COUNT, running);
  }
}
