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
 * their keys. This class is the front of the codecs that know each record's fields: {@link
 * ElectionRecordCodec}, {@link FinalStateCodec}, {@link JobRecordCodec}, {@link
 * TaskBatchRecordCodec} and {@link LeaderHintCodec}. Records of feature levels and of quotas are
 * below {@link #TERM} and have {@link FeatureCodec} and {@link QuotaCodec}.
 */
public final class StateCodec {
  /** Everything that one watch should follow. */
  public static final String ROOT = "g/";

  /** Who leads ("owner"), until elections are sealed: {@link LeaderRecord}. */
  public static final String LEADER = "g/owner";

  /** The counter of terms and who won the last one. */
  public static final String TERM = "g/term";

  /** The operators' settings, one record. */
  public static final String SETTINGS = "g/settings";

  /** The recent demand, a hint for the next leader. */
  public static final String DEMAND = "g/demand";

  /** The jobs' records, by id. */
  public static final String JOBS = "g/job/";

  /** The task batches ("slices") of jobs, by job and index. */
  public static final String TASK_BATCHES = "g/slice/";

  /** Which images machines have, in parts; a hint for the next leader. */
  public static final String IMAGES = "g/images/";

  /** Grants that lease delegates ("deputies") have released. */
  public static final String DELEGATE_RELEASES = "g/deputy/";

  /**
   * Controllers that the leader has suspended ("bars"): they can't win an election for the time.
   */
  public static final String SUSPENSIONS = "g/bar/";

  /** Final states ("ends") of jobs; kept for good and never listed. */
  public static final String FINAL_STATES = "g/end/";

  private StateCodec() {}

  /** The key of job {@code id}'s record. */
  public static String jobKey(String id) {
    return JOBS + id;
  }

  /** The key of job {@code id}'s final state. */
  public static String finalStateKey(String id) {
    return FINAL_STATES + id;
  }

  /** The key of a task batch's record. */
  public static String taskBatchKey(TaskBatchKey batch) {
    return TASK_BATCHES + batch.job() + "/" + batch.index();
  }

  /** The task batch that a key below {@link #TASK_BATCHES} names. */
  public static TaskBatchKey parseTaskBatchKey(String key) {
    int slash = key.lastIndexOf('/');
    return new TaskBatchKey(
        key.substring(TASK_BATCHES.length(), slash), Integer.parseInt(key.substring(slash + 1)));
  }

  // ---------------------------------------------------------------- election records

  /**
   * Who leads the cluster.
   *
   * @param member the leader's name
   * @param term the fencing token of its commands
   * @param peerAddress the address at which its peers reach it ("mesh")
   */
  public record LeaderRecord(String member, long term, String peerAddress) {}

  /**
   * The last term that was won.
   *
   * @param member who won it
   */
  public record TermRecord(long term, String member) {}

  /**
   * A suspension ("bar") of a silent controller from election.
   *
   * @param leavingIncarnation the incarnation of it that is about to leave the suspension, or empty
   *     while it stands
   * @param revision the revision of the record
   */
  public record Suspension(String leavingIncarnation, long revision) {}

  /**
   * A lease delegate ("deputy") has released grants.
   *
   * @param incarnation tells the delegate's process from earlier ones of the same member
   * @param releasedUpTo the sequence number of its last request whose grant it has released
   * @param grantorTerm the term whose grants they were
   * @param sinceAutonomousResponseS seconds since it last answered workers by itself, or since its
   *     process began
   */
  public record DelegateRelease(
      String incarnation, long releasedUpTo, long grantorTerm, double sinceAutonomousResponseS) {}

  /** The leader's record. */
  public static ObjectNode encodeLeader(LeaderRecord leader) {
    return ElectionRecordCodec.encodeLeader(leader);
  }

  /** The leader from its record. */
  public static LeaderRecord decodeLeader(JsonNode n) {
    return ElectionRecordCodec.decodeLeader(n);
  }

  /** The counter of terms, and who won the last one. */
  public static ObjectNode encodeTerm(long term, String member) {
    return ElectionRecordCodec.encodeTerm(term, member);
  }

  /** The last term from its record. */
  public static TermRecord decodeTerm(JsonNode n) {
    return ElectionRecordCodec.decodeTerm(n);
  }

  /** The key of the suspension of controller {@code member}. */
  public static String suspensionKey(String member) {
    return SUSPENSIONS + member;
  }

  /** A suspension; {@code leaving} is the incarnation about to leave it, or empty. */
  public static ObjectNode encodeSuspension(String leavingIncarnation) {
    return ElectionRecordCodec.encodeSuspension(leavingIncarnation);
  }

  /** A suspension from its record and the record's revision. */
  public static Suspension decodeSuspension(JsonNode n, long revision) {
    return ElectionRecordCodec.decodeSuspension(n, revision);
  }

  /**
   * A lease delegate has released all grants up to that of its request {@code releasedUpTo} by the
   * term {@code grantedBy}; {@code aloneS} is how long ago it last acted alone, in seconds.
   */
  public static ObjectNode encodeDelegateRelease(
      String incarnation, long releasedUpTo, long grantorTerm, double sinceAutonomousResponseS) {
    return ElectionRecordCodec.encodeDelegateRelease(
        incarnation, releasedUpTo, grantorTerm, sinceAutonomousResponseS);
  }

  /** What a lease delegate has released, from its record. */
  public static DelegateRelease decodeDelegateRelease(JsonNode n) {
    return ElectionRecordCodec.decodeDelegateRelease(n);
  }

  // ---------------------------------------------------------------- final states

  /** The final state of a job, and the time of day at which it was written. */
  public static ObjectNode encodeFinalState(boolean cancelled, int tasks, long writtenAtMs) {
    return FinalStateCodec.encode(cancelled, tasks, writtenAtMs);
  }

  /** The final state of a job from its record. */
  public static FinalState decodeFinalState(JsonNode n) {
    return FinalStateCodec.decode(n);
  }

  // ---------------------------------------------------------------- jobs

  /** A job's record: its terms, and whether its user asked to stop it. */
  public static ObjectNode encodeJob(JobSpec spec, boolean stopRequested) {
    return JobRecordCodec.encode(spec, stopRequested);
  }

  /** True if the job's user asked to stop it. */
  public static boolean decodeStopRequested(JsonNode n) {
    return JobRecordCodec.decodeStopRequested(n);
  }

  /** The terms of job {@code id} from its record. */
  public static JobSpec decodeJob(String id, JsonNode n) {
    return JobRecordCodec.decode(id, n);
  }

  // ---------------------------------------------------------------- task batches

  /**
   * A task batch: attempts, the machines with their incarnations, and for each task the place in
   * that list. A task batch that is all done shrinks to its size; a packed one takes a character
   * per task.
   */
  public static ObjectNode encodeTaskBatch(TaskBatchRecord batch) {
    return TaskBatchRecordCodec.encode(batch);
  }

  /** A task batch from its record, in any of its forms. */
  public static TaskBatchRecord decodeTaskBatch(JsonNode n) {
    return TaskBatchRecordCodec.decode(n);
  }

  // ---------------------------------------------------------------- hints for the next leader

  /** The recent demand, with times of day. */
  public static ObjectNode encodeDemand(List<Action.Demand> classes, long nowMs) {
    return LeaderHintCodec.encodeDemand(classes, nowMs);
  }

  /** The same within so many bytes: the oldest arrivals are left out, then whole classes. */
  public static ObjectNode encodeDemand(List<Action.Demand> classes, long nowMs, int maxBytes) {
    return LeaderHintCodec.encodeDemand(classes, nowMs, maxBytes);
  }

  /** The recent demand, with the arrivals' ages in seconds at {@code nowMs}. */
  public static List<Action.Demand> decodeDemand(JsonNode n, long nowMs) {
    return LeaderHintCodec.decodeDemand(n, nowMs);
  }

  /** Which images machines have: each image's name once, and for each machine its bits. */
  public static ObjectNode encodeImages(Map<String, List<String>> imagesByMachine, int maxImages) {
    return LeaderHintCodec.encodeImages(imagesByMachine, maxImages);
  }

  /** The same within so many bytes; it is a hint, so some machines may be left out. */
  public static ObjectNode encodeImages(
      Map<String, List<String>> imagesByMachine, int maxImages, int maxBytes) {
    return LeaderHintCodec.encodeImages(imagesByMachine, maxImages, maxBytes);
  }

  /** The images of each machine. */
  public static Map<String, List<String>> decodeImages(JsonNode n) {
    return LeaderHintCodec.decodeImages(n);
  }
}
