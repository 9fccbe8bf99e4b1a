package graderelay.core;

import graderelay.quota.Amount;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The leader's working view of a live job: its stored task batches, its claims, how it has fared so
 * far, and how urgent it is for itself and for the jobs that depend on it.
 */
final class Job {
  /** Run times left before it is due at which a job goes by the priority of its dependents. */
  private static final double URGENT_RUNS = 2;

  /** Seconds on top of those run times. */
  private static final double URGENT_S = 45;

  /** Share of its class's wanted wait after which a job goes by the priority of its dependents. */
  private static final double URGENT_WAIT_SHARE = 0.4;

  /** One stored task batch, with what is under way for it. */
  static final class TaskBatch {
    final TaskBatchKey key;

    /** Number of its first task within the job. */
    final int firstTask;

    TaskBatchRecord record;
    long revision;

    /** A transaction on it has not been answered yet, so its revision is about to change. */
    boolean inFlight;

    /** What the watch said while the transaction was unanswered, or null. */
    TaskBatchRecord newerRecord;

    long newerRevision;

    /** No more of its tasks are claimed before this time, since its record would be too large. */
    double fullUntil = Double.NEGATIVE_INFINITY;

    TaskBatch(TaskBatchKey key, int firstTask, TaskBatchRecord record, long revision) {
      this.key = key;
      this.firstTask = firstTask;
      this.record = record;
      this.revision = revision;
    }
  }

  // ---------------------------------------------------------------- records

  final JobSpec spec;

  /** What one task takes. */
  final Resources taskResources;

  /** The same, as stored limits count it. */
  final Amount taskAmount;

  /** Revision of the job's own record. */
  long revision;

  /** Its user, or the cancellation of a job that it depends on, has asked to cancel it. */
  boolean cancelRequested;

  /** The transaction that writes its final record is under way. */
  boolean ending;

  /**
   * Task batches stored or about to be; task batches that no task was ever claimed of are absent.
   */
  final TreeMap<Integer, TaskBatch> taskBatches = new TreeMap<>();

  // ---------------------------------------------------------------- tasks and claims

  /** Tasks that nobody has claimed and that are not done. */
  final BitSet openTasks;

  /** Claims by task number. */
  final Map<Integer, Claim> claims = new HashMap<>();

  /** Claims by zone, as far as their machines' zones are known. */
  final Map<String, Integer> zoneClaims = new HashMap<>();

  /** Tasks that are done. */
  int doneCount;

  /** Claims that are being preempted for a waiting task of this job. */
  int pendingPreemptions;

  // ---------------------------------------------------------------- times, on the leader's clock

  /** When its user submitted it: its deadline counts from then, all else from eligibleSince. */
  double acceptedAt;

  /** When it could begin: its submission, or the end of the last job it depended on. */
  double eligibleSince;

  /** When the queue's head began to wait; for fairness, and to tell operators why it waits. */
  double waitingSince;

  /** No task is placed before this time, after failures on several machines. */
  double notBefore;

  // ---------------------------------------------------------------- placement

  /** Why the last round placed no task of it; for logs and the administration API. */
  String waitReason = "new";

  /** {@link ClusterState#roomVersion} when a round last found no room for it. */
  long noRoomVersion = -1;

  /** When that was; what only time changes is looked at again after a while. */
  double noRoomSince;

  // ---------------------------------------------------------------- failures

  /** Machines on which a task of this job failed by itself, see {@link FailureAttribution}. */
  final Set<String> failedMachines = new HashSet<>();

  /** It failed on several machines and succeeded on none: tried one task at a time. */
  boolean suspect;

  /** When it became suspect. */
  double suspectSince;

  /** Pauses since it became suspect, each twice as long as the one before. */
  int backoffCount;

  /** A task of it was seen running for a while, or done. */
  boolean ranWell;

  /** Loaded with many attempts and no success: a few tasks first show whether it can run. */
  boolean unproven;

  // ---------------------------------------------------------------- DAG dependencies

  /**
   * Jobs that it waits for: those whose final record has not been seen to say that they are done.
   */
  final Set<String> pendingDependencies = new HashSet<>();

  /** The latest end, so far, of a job that it depended on. */
  double dependenciesEndedAt = Double.NEGATIVE_INFINITY;

  /** When it has to be done for its dependents to be in time, or infinite. */
  double dependentsDueAt = Double.POSITIVE_INFINITY;

  /** Its dependents would be late if it waited with ordinary work. */
  boolean urgentForDependents;

  /** The priority of its most urgent dependent, direct or through others, or its own. */
  private Priority priority;

  Job(JobSpec spec, long revision, boolean cancelRequested, double now) {
    this.spec = spec;
    this.taskResources = Resources.of(spec);
    this.taskAmount = taskResources.amount();
    this.revision = revision;
    this.cancelRequested = cancelRequested;
    this.waitingSince = now;
    this.priority = spec.priority();
    this.pendingDependencies.addAll(spec.dependencies());
    this.openTasks = new BitSet(spec.tasks());
    this.openTasks.set(0, spec.tasks());
  }

  /** The task batch with this number, which begins fresh if none of its tasks was claimed yet. */
  TaskBatch taskBatch(int index) {
    return taskBatches.computeIfAbsent(
        index,
        i ->
            new TaskBatch(
                new TaskBatchKey(spec.id(), i),
                i * spec.batchCapacity(),
                TaskBatchRecord.unclaimed(spec.batchSize(i)),
                0));
  }

  /** True if it has tasks to place now or as soon as there is room. */
  boolean waiting() {
    return !cancelRequested && !ending && !openTasks.isEmpty() && pendingDependencies.isEmpty();
  }

  /** True while nothing of it may be claimed; it is no demand, and its times have not begun. */
  boolean awaitsDependencies() {
    return !pendingDependencies.isEmpty();
  }

  /** True if all of its tasks are done. */
  boolean complete() {
    return doneCount == spec.tasks();
  }

  /** True while none of its tasks has ever been claimed. */
  boolean neverBegan() {
    return claims.isEmpty() && taskBatches.isEmpty();
  }

  /**
   * What its place in the queue goes by. What only its dependents make urgent waits with ordinary
   * work while there is time, and goes before it when they would be late.
   */
  Priority priority() {
    if (urgentForDependents || !priority.beats(spec.priority())) {
      return priority;
    }
    boolean low = Priority.NORMAL.beats(spec.priority());
    return low && !Priority.NORMAL.beats(priority) ? Priority.NORMAL : spec.priority();
  }

  /** The priority of its most urgent dependent, or its own, whether or not it is urgent now. */
  Priority inheritedPriority() {
    return priority;
  }

  /**
   * A dependent has this priority; live claims keep theirs.
   *
   * @return true if it is higher than the one inherited so far
   */
  boolean inheritPriority(Priority other) {
    boolean raised = other.beats(priority); // Whether or not it is urgent now.
    priority = raised ? other : priority;
    return raised;
  }

  /**
   * Updates whether its dependents leave it little time.
   *
   * @param estimateS how long a task of it takes, in seconds
   * @param wantedWaitS seconds within which its class should start, or null if none is wanted
   */
  void updateUrgency(double estimateS, Double wantedWaitS, double now) {
    double waited = now - eligibleSince;
    boolean startIsUrgent =
        wantedWaitS != null
            && pendingDependencies.isEmpty()
            && waited > wantedWaitS * URGENT_WAIT_SHARE
            && waited < wantedWaitS;
    urgentForDependents =
        dependentsDueAt == Double.POSITIVE_INFINITY
            || dependentsDueAt - now < URGENT_RUNS * estimateS + URGENT_S
            || startIsUrgent;
  }

  /** True if it, or a dependent, has a deadline. */
  boolean hasDue() {
    return dueAt() < Double.POSITIVE_INFINITY;
  }

  /** When it has to be done, in seconds on the leader's clock, or infinite. */
  double dueAt() {
    double ownDueAt =
        spec.deadlineS() == null ? Double.POSITIVE_INFINITY : acceptedAt + spec.deadlineS();
    return Math.min(ownDueAt, dependentsDueAt);
  }
}
