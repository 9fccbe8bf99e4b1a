package graderelay.core;

import graderelay.quota.Amount;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The leader's in-memory state of a live job: its stored task batches, its claims, its failures,
 * and its urgency, which includes that of the jobs that depend on it.
 */
final class Job {
  /**
   * A job takes its dependents' priority when fewer than this many of its expected run times, plus
   * {@link #URGENT_MARGIN_S}, are left until they need it.
   */
  private static final double URGENT_RUN_TIMES = 2;

  /** Seconds added to those run times. */
  private static final double URGENT_MARGIN_S = 45;

  /**
   * Share of its class's start objective after which a waiting job takes its dependents' priority.
   */
  private static final double URGENT_START_OBJECTIVE_SHARE = 0.4;

  /** One stored task batch and the transaction on it that is in flight, if any. */
  static final class TaskBatch {
    final TaskBatchKey key;

    /** Index of its first task within the job. */
    final int firstTask;

    TaskBatchRecord record;
    long revision;

    /** True while a transaction on it is in flight, so that its revision is about to change. */
    boolean inFlight;

    /** The newer record that the watch delivered while the transaction was in flight, or null. */
    TaskBatchRecord newerRecord;

    long newerRevision;

    /**
     * Time before which no more of its tasks are claimed, because its record would exceed the value
     * size limit of the store.
     */
    double recordFullUntil = Double.NEGATIVE_INFINITY;

    TaskBatch(TaskBatchKey key, int firstTask, TaskBatchRecord record, long revision) {
      this.key = key;
      this.firstTask = firstTask;
      this.record = record;
      this.revision = revision;
    }
  }

  // ---------------------------------------------------------------- records

  final JobSpec spec;

  /** Resources that one task takes. */
  final Resources taskResources;

  /** The same as an exact amount, in which stored limits are counted. */
  final Amount taskAmount;

  /** Revision of the job's own record. */
  long revision;

  /**
   * True once its user has requested its cancellation, or a job that it depends on was cancelled.
   */
  boolean cancelRequested;

  /** True while the transaction that writes its final record is in flight. */
  boolean endInFlight;

  /** Task batches by index. A batch is absent while none of its tasks has ever been claimed. */
  final TreeMap<Integer, TaskBatch> taskBatches = new TreeMap<>();

  // ---------------------------------------------------------------- tasks and claims

  /** Tasks that are neither claimed nor done. */
  final BitSet openTasks;

  /** Claims by task index. */
  final Map<Integer, Claim> claims = new HashMap<>();

  /** Number of claims by zone, without those on machines whose zone is not known yet. */
  final Map<String, Integer> zoneClaims = new HashMap<>();

  /** Number of tasks that are done. */
  int doneCount;

  /** Number of preemptions in progress that make room for a waiting task of this job. */
  int pendingPreemptions;

  // ---------------------------------------------------------------- times, on the leader's clock

  /**
   * When its user submitted it. Its deadline counts from then, everything else from eligibleSince.
   */
  double acceptedAt;

  /**
   * When its tasks could first be placed: its submission, or the end of the last job that it
   * depends on.
   */
  double eligibleSince;

  /** Since when its next open task has been waiting. Used for fairness and shown to operators. */
  double waitingSince;

  /** Time before which no task of it is placed: the backoff after failures on several machines. */
  double notBefore;

  // ---------------------------------------------------------------- placement

  /** Why the last placement round placed no task of it; for logs and the administration API. */
  WaitReason waitReason = WaitReason.NEW;

  /** When its wait was last logged, see {@link JobPlacer}. */
  double waitLoggedAt = Double.NEGATIVE_INFINITY;

  /** {@link ClusterState#roomVersion} when a placement round last found no room for it. */
  long noRoomAtVersion = -1;

  /**
   * Time of that round. The job is retried after a while even if no room was freed, since some
   * conditions change with time alone.
   */
  double noRoomSince;

  // ---------------------------------------------------------------- failures

  /** Machines on which a task of this job failed on its own, see {@link FailureAttribution}. */
  final FailedMachines failedMachines = new FailedMachines();

  /**
   * True if it failed on several machines and succeeded on none; then one task is tried at a time.
   */
  boolean suspect;

  /** When it became suspect. */
  double suspectSince;

  /** Number of backoffs since it became suspect; each is twice as long as the one before. */
  int backoffCount;

  /** True once a task of it was seen running for a while, or done. */
  boolean ranSuccessfully;

  /**
   * True if it was loaded from the store with many attempts and no success; then only a few tasks
   * are claimed until one of them runs.
   */
  boolean unproven;

  // ---------------------------------------------------------------- DAG dependencies

  /**
   * Ids of the dependencies that are not known to be done: no final record with that state has been
   * seen yet.
   */
  final Set<String> pendingDependencies = new HashSet<>();

  /** The latest end so far of a job that it depends on. */
  double dependenciesEndedAt = Double.NEGATIVE_INFINITY;

  /** When it has to be done so that its dependents can meet their deadlines, or infinite. */
  double dependentsDueAt = Double.POSITIVE_INFINITY;

  /**
   * True if it is queued with its dependents' priority now: they would otherwise be late, or none
   * of them has a deadline.
   */
  boolean urgentForDependents;

  /** The highest priority among its own and those of its direct and indirect dependents. */
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

  /** The task batch at this index, created empty if none of its tasks has been claimed yet. */
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

  /** True if it has tasks that can be placed as soon as there is room. */
  boolean isWaiting() {
    return !cancelRequested
        && !endInFlight
        && !openTasks.isEmpty()
        && pendingDependencies.isEmpty();
  }

  /**
   * True while no task of it may be claimed. Until then it adds no demand and its waiting time does
   * not count.
   */
  boolean awaitsDependencies() {
    return !pendingDependencies.isEmpty();
  }

  /** True if all of its tasks are done. */
  boolean isComplete() {
    return doneCount == spec.tasks();
  }

  /** True while none of its tasks has ever been claimed. */
  boolean neverClaimed() {
    return claims.isEmpty() && taskBatches.isEmpty();
  }

  /**
   * The priority by which it is queued. Dependents of higher priority raise it to normal at most
   * while there is time; once they would otherwise be late, it is queued with theirs.
   */
  Priority priority() {
    if (urgentForDependents || !priority.isHigherThan(spec.priority())) {
      return priority;
    }
    boolean low = Priority.NORMAL.isHigherThan(spec.priority());
    return low && !Priority.NORMAL.isHigherThan(priority) ? Priority.NORMAL : spec.priority();
  }

  /**
   * The highest priority among its own and those of its dependents, whether or not it is urgent for
   * them now.
   */
  Priority inheritedPriority() {
    return priority;
  }

  /**
   * Raises the inherited priority to that of a dependent. Claims that already exist keep the
   * priority that they were made with.
   *
   * @return true if it is higher than the one inherited so far
   */
  boolean inheritPriority(Priority dependentPriority) {
    boolean raised =
        dependentPriority.isHigherThan(priority); // Independent of urgentForDependents.
    priority = raised ? dependentPriority : priority;
    return raised;
  }

  /**
   * Updates whether its dependents need it so soon that it takes their priority.
   *
   * @param estimateS expected run time of a task, in seconds
   * @param startObjectiveS seconds from submission within which jobs of its class should start, or
   *     null if there is no such objective
   */
  void updateUrgency(double estimateS, Double startObjectiveS, double now) {
    double waitedS = now - eligibleSince;
    boolean startIsUrgent =
        startObjectiveS != null
            && pendingDependencies.isEmpty()
            && waitedS > startObjectiveS * URGENT_START_OBJECTIVE_SHARE
            && waitedS < startObjectiveS;
    urgentForDependents =
        dependentsDueAt == Double.POSITIVE_INFINITY
            || dependentsDueAt - now < URGENT_RUN_TIMES * estimateS + URGENT_MARGIN_S
            || startIsUrgent;
  }

  /** True if it or one of its dependents has a deadline. */
  boolean hasDueTime() {
    return dueAt() < Double.POSITIVE_INFINITY;
  }

  /**
   * When it has to be done for its own deadline and those of its dependents, in seconds on the
   * leader's clock, or infinite.
   */
  double dueAt() {
    double ownDueAt =
        spec.deadlineS() == null ? Double.POSITIVE_INFINITY : acceptedAt + spec.deadlineS();
    return Math.min(ownDueAt, dependentsDueAt);
  }
}
