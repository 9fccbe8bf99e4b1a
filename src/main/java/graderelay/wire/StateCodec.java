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
 * Keys and records that controllers store in the consensus-backed key-value store ("state
 * service"). This class is the facade of the codecs that define the fields of each record: {@link
 * ElectionRecordCodec}, {@link FinalStateCodec}, {@link JobRecordCodec}, {@link
 * TaskBatchRecordCodec} and {@link LeaderHintCodec}. {@link FeatureCodec} and {@link QuotaCodec}
 * define the records of feature levels and of quotas.
 */
public final class StateCodec {
  /** Prefix of all keys; one watch covers it. */
  public static final String ROOT = "g/";

  /** The leader ("owner") until elections are sealed: {@link LeaderRecord}. */
  public static final String LEADER = "g/owner";

  /** The last term and its leader: {@link TermRecord}. */
  public static final String TERM = "g/term";

  /** The operators' settings, in one record. */
  public static final String SETTINGS = "g/settings";

  /** The recent demand; a hint for the next leader. */
  public static final String DEMAND = "g/demand";

  /** Prefix of the records of jobs, by id. */
  public static final String JOBS = "g/job/";

  /** Prefix of the task batches ("slices"), by job and index. */
  public static final String TASK_BATCHES = "g/slice/";

  /** Prefix of the records of which images machines have, in parts; a hint for the next leader. */
  public static final String IMAGES = "g/images/";

  /** Prefix of the records of grants that lease delegates ("deputies") have released. */
  public static final String DELEGATE_RELEASES = "g/deputy/";

  /** Prefix of the suspensions ("bars"). A suspended controller cannot win an election. */
  public static final String SUSPENSIONS = "g/bar/";

  /** Prefix of the final states ("ends") of jobs, which are never deleted and never listed. */
  public static final String FINAL_STATES = "g/end/";

  private StateCodec() {}

  /** Returns the key of job {@code id}'s record. */
  public static String jobKey(String id) {
    return JOBS + id;
  }

  /** Returns the key of job {@code id}'s final state. */
  public static String finalStateKey(String id) {
    return FINAL_STATES + id;
  }

  /** Returns the key of a task batch's record. */
  public static String taskBatchKey(TaskBatchKey batch) {
    return TASK_BATCHES + batch.job() + "/" + batch.index();
  }

  /** Parses the key of a task batch, which has the prefix {@link #TASK_BATCHES}. */
  public static TaskBatchKey parseTaskBatchKey(String key) {
    int slash = key.lastIndexOf('/');
    return new TaskBatchKey(
        key.substring(TASK_BATCHES.length(), slash), Integer.parseInt(key.substring(slash + 1)));
  }

  // ---------------------------------------------------------------- election records

  /**
   * The leader of the cluster.
   *
   * @param member the leader's name
   * @param term the fencing token of its commands
   * @param peerAddress the address at which other controllers reach it ("mesh")
   */
  public record LeaderRecord(String member, long term, String peerAddress) {}

  /**
   * The terms of the last leader, none of which any later leader uses. An earlier version of this
   * program reserves a single term.
   *
   * @param firstTerm the term in which it was elected, or to which it last raised its term here
   * @param lastTerm the last term that it has reserved
   * @param member the controller that won the election
   */
  public record TermRecord(long firstTerm, long lastTerm, String member) {
    /** True if no term is reserved beyond the first one. */
    public boolean isSingleTerm() {
      return firstTerm == lastTerm;
    }
  }

  /**
   * A suspension ("bar"), which keeps an unresponsive controller from winning an election.
   *
   * @param leavingIncarnation the incarnation whose suspension is about to end, or empty while the
   *     suspension is in force
   * @param revision the revision of the record
   */
  public record Suspension(String leavingIncarnation, long revision) {}

  /**
   * The grants that a lease delegate ("deputy") has released.
   *
   * @param incarnation identifies the delegate's process among all processes of the same member
   * @param releasedUpTo the sequence number of the last request whose grant is released
   * @param grantorTerm the first term of the leader process that made the grants
   * @param sinceAutonomousResponseS seconds since it last responded to a worker without the leader,
   *     or since its process started
   */
  public record DelegateRelease(
      String incarnation, long releasedUpTo, long grantorTerm, double sinceAutonomousResponseS) {}

  /** Encodes the leader. */
  public static ObjectNode encodeLeader(LeaderRecord leader) {
    return ElectionRecordCodec.encodeLeader(leader);
  }

  /** Decodes the leader. */
  public static LeaderRecord decodeLeader(JsonNode n) {
    return ElectionRecordCodec.decodeLeader(n);
  }

  /** Encodes the terms of the last leader. */
  public static ObjectNode encodeTerm(TermRecord terms) {
    return ElectionRecordCodec.encodeTerm(terms);
  }

  /** Decodes the terms of the last leader. */
  public static TermRecord decodeTerm(JsonNode n) {
    return ElectionRecordCodec.decodeTerm(n);
  }

  /** Returns the key of the suspension of controller {@code member}. */
  public static String suspensionKey(String member) {
    return SUSPENSIONS + member;
  }

  /**
   * Encodes a suspension; {@code leavingIncarnation} is the incarnation whose suspension is about
   * to end, or empty.
   */
  public static ObjectNode encodeSuspension(String leavingIncarnation) {
    return ElectionRecordCodec.encodeSuspension(leavingIncarnation);
  }

  /** Decodes a suspension, with the record's revision. */
  public static Suspension decodeSuspension(JsonNode n, long revision) {
    return ElectionRecordCodec.decodeSuspension(n, revision);
  }

  /**
   * Encodes that a lease delegate has released all grants that the leader process with the first
   * term {@code grantorTerm} made up to the request {@code releasedUpTo}. See {@link
   * DelegateRelease}.
   */
  public static ObjectNode encodeDelegateRelease(
      String incarnation, long releasedUpTo, long grantorTerm, double sinceAutonomousResponseS) {
    return ElectionRecordCodec.encodeDelegateRelease(
        incarnation, releasedUpTo, grantorTerm, sinceAutonomousResponseS);
  }

  /** Decodes the grants that a lease delegate has released. */
  public static DelegateRelease decodeDelegateRelease(JsonNode n) {
    return ElectionRecordCodec.decodeDelegateRelease(n);
  }

  // ---------------------------------------------------------------- final states

  /** Encodes the final state of a job and the time of the write in milliseconds since the epoch. */
  public static ObjectNode encodeFinalState(boolean cancelled, int tasks, long writtenAtMs) {
    return FinalStateCodec.encode(cancelled, tasks, writtenAtMs);
  }

  /** Decodes the final state of a job. */
  public static FinalState decodeFinalState(JsonNode n) {
    return FinalStateCodec.decode(n);
  }

  // ---------------------------------------------------------------- jobs

  /** Encodes a job's specification and whether its user requested to stop it. */
  public static ObjectNode encodeJob(JobSpec spec, boolean stopRequested) {
    return JobRecordCodec.encode(spec, stopRequested);
  }

  /** Whether the job's user requested to stop it. */
  public static boolean decodeStopRequested(JsonNode n) {
    return JobRecordCodec.decodeStopRequested(n);
  }

  /** Decodes the specification of job {@code id}. */
  public static JobSpec decodeJob(String id, JsonNode n) {
    return JobRecordCodec.decode(id, n);
  }

  // ---------------------------------------------------------------- task batches

  /**
   * Encodes a task batch: the attempts, the list of machines with their incarnations, and for each
   * task its state or its machine's index in that list. If all tasks are done, only their number is
   * stored. The packed form uses one character per task.
   */
  public static ObjectNode encodeTaskBatch(TaskBatchRecord batch) {
    return TaskBatchRecordCodec.encode(batch);
  }

  /** Decodes a task batch in any of its forms. */
  public static TaskBatchRecord decodeTaskBatch(JsonNode n) {
    return TaskBatchRecordCodec.decode(n);
  }

  // ---------------------------------------------------------------- hints for the next leader

  /** Encodes the recent demand, with arrival times in milliseconds since the epoch. */
  public static ObjectNode encodeDemand(List<Action.Demand> classes, long nowMs) {
    return LeaderHintCodec.encodeDemand(classes, nowMs);
  }

  /**
   * Encodes the recent demand in a record of at most {@code maxBytes}; omits the oldest arrivals
   * first, then whole classes.
   */
  public static ObjectNode encodeDemand(List<Action.Demand> classes, long nowMs, int maxBytes) {
    return LeaderHintCodec.encodeDemand(classes, nowMs, maxBytes);
  }

  /** Decodes the recent demand, with the arrivals' ages in seconds at {@code nowMs}. */
  public static List<Action.Demand> decodeDemand(JsonNode n, long nowMs) {
    return LeaderHintCodec.decodeDemand(n, nowMs);
  }

  /**
   * Encodes which images machines have, as a list of at most {@code maxImages} image names and a
   * bit mask over that list for each machine.
   */
  public static ObjectNode encodeImages(Map<String, List<String>> imagesByMachine, int maxImages) {
    return LeaderHintCodec.encodeImages(imagesByMachine, maxImages);
  }

  /**
   * Encodes which images machines have, in a record of at most {@code maxBytes}; omits machines if
   * necessary.
   */
  public static ObjectNode encodeImages(
      Map<String, List<String>> imagesByMachine, int maxImages, int maxBytes) {
    return LeaderHintCodec.encodeImages(imagesByMachine, maxImages, maxBytes);
  }

  /** Decodes the images of each machine. */
  public static Map<String, List<String>> decodeImages(JsonNode n) {
    return LeaderHintCodec.decodeImages(n);
  }
}
