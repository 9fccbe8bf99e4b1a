package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.Action;
import graderelay.core.JobSpec;
import graderelay.core.TaskBatchKey;
import graderelay.core.TaskBatchRecord;
import java.util.List;
import java.util.Map;

/**
 * The records that controllers keep in the consensus-backed key-value store ("state service"), and
 * their keys. Election records and final states are coded here; jobs, task batches ("task batches")
 * and hints for the next leader by {@link JobRecordCodec}, {@link TaskBatchRecordCodec} and {@link
 * LeaderHintCodec}.
 */
public final class StateCodec {
  /** Everything that one watch should follow. */
  public static final String ROOT = "g/";

  /** Who leads, until elections are sealed: {@link LeaderRecord}. */
  public static final String LEADER = "g/owner";

  /** The counter of terms and who won the last one. */
  public static final String TERM = "g/term";

  /** The operators' settings, one record. */
  public static final String SETTINGS = "g/settings";

  /** The recent demand, a hint for the next leader. */
  public static final String DEMAND = "g/demand";

  /** The jobs' records, by id. */
  public static final String JOBS = "g/job/";

  /** The task batches ("task batches") of jobs, by job and index. */
  public static final String TASK_BATCHES = "g/slice/";

  /** Which images machines hold, in parts; a hint for the next leader. */
  public static final String IMAGES = "g/images/";

  /** Grants that lease delegates ("lease delegates") have given back. */
  public static final String LEASE_DELEGATES = "g/deputy/";

  /** Controllers that the leader has suspended ("bars"): they may not take over for the time. */
  public static final String BARS = "g/bar/";

  /** Final states; kept for good and never listed. */
  public static final String ENDS = "g/end/";

  private static final String MEMBER = "member";
  private static final String TERM_NUMBER = "term";
  private static final String PEER_ADDRESS = "mesh";
  private static final String LEAVING_INCARNATION = "leaving";
  private static final String DELEGATE_INCARNATION = "self";
  private static final String RETURNED_UP_TO = "n";
  private static final String RETURNED_OF = "of";
  private static final String ALONE_S = "alone";
  private static final String FINAL_STATE = "end";
  private static final String FINAL_TASKS = "tasks";
  private static final String WRITTEN_AT_MS = "at";

  private StateCodec() {}

  /** The key of job {@code id}'s record. */
  public static String jobKey(String id) {
    return JOBS + id;
  }

  /** The key of job {@code id}'s final state. */
  public static String endKey(String id) {
    return ENDS + id;
  }

  /** The key of a task batch's record. */
  public static String taskBatchKey(TaskBatchKey k) {
    return TASK_BATCHES + k.job() + "/" + k.index();
  }

  /** The task batch that a key below {@link #TASK_BATCHES} names. */
  public static TaskBatchKey batchOf(String key) {
    int slash = key.lastIndexOf('/');
    return new TaskBatchKey(
        key.substring(TASK_BATCHES.length(), slash), Integer.parseInt(key.substring(slash + 1)));
  }

  // ---------------------------------------------------------------- election records

  /** Who leads the fleet: the leader's name, its term (the fencing token) and mesh address. */
  public record LeaderRecord(String member, long term, String address) {}

  /** The leader's record. */
  public static ObjectNode leader(LeaderRecord o) {
    return Json.object()
        .put(MEMBER, o.member())
        .put(TERM_NUMBER, o.term())
        .put(PEER_ADDRESS, o.address());
  }

  /** The leader from its record. */
  public static LeaderRecord leader(JsonNode n) {
    return new LeaderRecord(
        n.path(MEMBER).asText(), n.path(TERM_NUMBER).asLong(), n.path(PEER_ADDRESS).asText());
  }

  /**
   * A suspension ("bar") of a controller that is silent.
   *
   * @param leaving the incarnation of it that is about to leave the suspension, or empty while it
   *     stands
   * @param revision the revision of the record
   */
  public record Bar(String leaving, long revision) {}

  /** The key of the suspension of controller {@code member}. */
  public static String barKey(String member) {
    return BARS + member;
  }

  /** A suspension; {@code leaving} is the incarnation about to leave it, or empty. */
  public static ObjectNode bar(String leaving) {
    return Json.object().put(LEAVING_INCARNATION, leaving);
  }

  /**
   * A lease delegate has given back all grants up to that of its question {@code n} of {@code of};
   * {@code aloneS} is how long it has acted alone, in seconds.
   */
  public static ObjectNode leaseDelegate(String self, long n, long of, double aloneS) {
    return Json.object()
        .put(DELEGATE_INCARNATION, self)
        .put(RETURNED_UP_TO, n)
        .put(RETURNED_OF, of)
        .put(ALONE_S, aloneS);
  }

  /** What a lease delegate has released, from its record. */
  public static LeaseDelegateRelease leaseDelegateRelease(JsonNode n) {
    return new LeaseDelegateRelease(
        n.path(DELEGATE_INCARNATION).asText(),
        n.path(RETURNED_UP_TO).asLong(),
        n.path(RETURNED_OF).asLong(),
        n.path(ALONE_S).asDouble());
  }

  /** The counter of terms, and who won the last one. */
  public static ObjectNode term(long term, String member) {
    return Json.object().put(TERM_NUMBER, term).put(MEMBER, member);
  }

  // ---------------------------------------------------------------- final states

  /** The final state of a job, and the time of day at which it was written. */
  public static ObjectNode end(boolean cancelled, int tasks, long nowMs) {
    return Json.object()
        .put(FINAL_STATE, cancelled ? "cancelled" : "done")
        .put(FINAL_TASKS, tasks)
        .put(WRITTEN_AT_MS, nowMs);
  }

  /** The final state of a job from its record. */
  public static FinalState finalState(JsonNode n) {
    return new FinalState(
        n.path(FINAL_STATE).asText().equals("cancelled"),
        n.path(FINAL_TASKS).asInt(),
        n.path(WRITTEN_AT_MS).asLong());
  }

  // ---------------------------------------------------------------- jobs

  /** A job's record: its terms, and whether its user asked to stop it. */
  public static ObjectNode job(JobSpec s, boolean stop) {
    return JobRecordCodec.write(s, stop);
  }

  /** True if the job's user asked to stop it. */
  public static boolean stopOf(JsonNode n) {
    return JobRecordCodec.stopRequested(n);
  }

  /** The terms of job {@code id} from its record. */
  public static JobSpec job(String id, JsonNode n) {
    return JobRecordCodec.read(id, n);
  }

  // ---------------------------------------------------------------- task batches

  /**
   * A task batch: attempts, the machines with their incarnations, and for each task the place in
   * that list. A task batch that is all done shrinks to its size; a packed one takes a character
   * per task.
   */
  public static ObjectNode taskBatch(TaskBatchRecord r) {
    return TaskBatchRecordCodec.write(r);
  }

  /** A task batch from its record, in any of its forms. */
  public static TaskBatchRecord taskBatch(JsonNode n) {
    return TaskBatchRecordCodec.read(n);
  }

  // ---------------------------------------------------------------- hints for the next leader

  /** The recent demand, with times of day. */
  public static ObjectNode demand(List<Action.Demand> classes, long nowMs) {
    return LeaderHintCodec.demand(classes, nowMs);
  }

  /** The same within so many bytes: the oldest arrivals are left out, then whole classes. */
  public static ObjectNode demand(List<Action.Demand> classes, long nowMs, int mostBytes) {
    return LeaderHintCodec.demand(classes, nowMs, mostBytes);
  }

  /** The recent demand, with the arrivals' ages in seconds at {@code nowMs}. */
  public static List<Action.Demand> demand(JsonNode n, long nowMs) {
    return LeaderHintCodec.demand(n, nowMs);
  }

  /** Which images machines have: each image's name once, and for each machine its bits. */
  public static ObjectNode images(Map<String, List<String>> machines, int most) {
    return LeaderHintCodec.images(machines, most);
  }

  /** The same within so many bytes; it is a hint, so some machines may be left out. */
  public static ObjectNode images(Map<String, List<String>> machines, int most, int mostBytes) {
    return LeaderHintCodec.images(machines, most, mostBytes);
  }

  /** The images of each machine. */
  public static Map<String, List<String>> images(JsonNode n) {
    return LeaderHintCodec.images(n);
  }
}
