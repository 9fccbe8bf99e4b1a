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

/** What passes between users and controllers: submissions and the state of jobs. */
public final class UserCodec {
  /** Jobs that a submission may name; a request has at most 64 KiB. */
  public static final int MAX_DEPENDENCIES = 2000;

  /** Tasks of one job; a limit of the protocol. */
  private static final int MAX_TASKS = 100_000;

  /** Machine types that a submission may name, for the same reason. */
  private static final int MAX_MACHINE_TYPES = 32;

  /** Wire name "awaits": the jobs that a submitted job waits for (DAG dependencies). */
  public static final String DEPENDENCIES = "awaits";

  /** Wire name "ref": the id of a job. */
  private static final String JOB_ID = "ref";

  /** Wire name "lot": the class of jobs that a job belongs to. */
  private static final String JOB_CLASS = "lot";

  /** Wire name "crew": the team whose quota applies. */
  private static final String TEAM = "crew";

  /** Wire name "cut": the kind of a job, {@link #ARRAY} or {@link #SERVICE}. */
  private static final String KIND = "cut";

  private static final String ARRAY = "array";

  /** Wire name "standing": a job whose tasks are replicas that run until it is cancelled. */
  private static final String SERVICE = "standing";

  /** Wire name "urgency": the priority. */
  private static final String PRIORITY = "urgency";

  /** Wire name "boards": the number of tasks. */
  private static final String TASKS = "boards";

  private static final String CPUS = "cpus";

  /** Wire name "cards": GPUs of a task. */
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

  /** Wire name "apart": tasks must be spread over zones. */
  private static final String SPREAD = "apart";

  /** Wire name "borrowed": spot instances are allowed. */
  private static final String SPOT = "borrowed";

  /** Wire name "expected_s": the estimated run time of a task in seconds. */
  private static final String ESTIMATE_S = "expected_s";

  /** Wire name "stack_s": the interval between checkpoints in seconds. */
  private static final String CHECKPOINT_INTERVAL_S = "stack_s";

  /** Wire name "stack_write_s": seconds that a task needs to write a checkpoint. */
  private static final String CHECKPOINT_WRITE_S = "stack_write_s";

  /** Wire name "ship_s": the deadline in seconds after the submission. */
  private static final String DEADLINE_S = "ship_s";

  private static final String STAGE = "stage";
  private static final String DONE_TASKS = "done";
  private static final String RUNNING_TASKS = "running";

  private static final Pattern JOB_ID_PATTERN = Pattern.compile("j-[0-9]{1,20}");

  private UserCodec() {}

  /** True if a text has the form of a job id, like j-000412. */
  public static boolean isJobId(String text) {
    return JOB_ID_PATTERN.matcher(text).matches();
  }

  /** Reads a submission, checking every field by the protocol's table. */
  public static JobSpec decodeSubmission(JsonNode body, long nowMs, int batchCapacity)
      throws BadRequestException {
    RequestFields fields = new RequestFields(body);
    String id = fields.text(JOB_ID);
    if (!isJobId(id)) {
      throw new BadRequestException(JOB_ID, "must look like j-000412");
    }
    // Before the other fields: of several mistakes, this one is told.
    JobKind kind = parseKind(fields.text(KIND));
    return new JobSpec(
        id,
        fields.text(JOB_CLASS),
        fields.text(TEAM),
        kind,
        parsePriority(fields.text(PRIORITY)),
        fields.count(TASKS, 1, MAX_TASKS),
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
        fields.amount(ESTIMATE_S, true),
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

  /** The jobs that this one waits for, each once. */
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
   * A submission as its user wrote it, with more jobs that it has to wait for. One whose list is no
   * list stays as it is: the controller says what is wrong with it.
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

  /** A job and its stage, the answer to a submission and to a cancellation. */
  public static ObjectNode encodeStage(String id, String stage) {
    return Json.object().put(JOB_ID, id).put(STAGE, stage);
  }

  /** A job with its stage and its numbers of done and running tasks, the answer to a poll. */
  public static ObjectNode encodeStatus(String id, String stage, int done, int running) {
    return encodeStage(id, stage).put(DONE_TASKS, done).put(RUNNING_TASKS, running);
  }
}
