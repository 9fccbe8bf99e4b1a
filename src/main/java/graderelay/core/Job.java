package graderelay.core;

import graderelay.quota.Amount;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The leader's working view of a live job. */
final class Job {
  /** Run times and seconds left before it is needed when a job goes by the priority of others. */
  private static final double PRESSING_RUNS = 2;

  private static final double PRESSING_S = 45;

  /** Share of its class's wanted wait after which a needed job goes by the priority of others. */
  private static final double PRESSING_WAIT = 0.4;

  /** One stored task batch, with what is under way for it. */
  static final class TaskBatch {
    final TaskBatchKey key;
    final int base;
    TaskBatchRecord record;
    long revision;

    /** A transaction on it has not been answered yet, so its revision is about to change. */
    boolean inFlight;

    /** What the watch said while the transaction was unanswered, or null. */
    TaskBatchRecord stash;

    long stashRevision;

    /** No more of its tasks are claimed before this time, since its record would be too large. */
    double fullUntil = Double.NEGATIVE_INFINITY;

    TaskBatch(TaskBatchKey key, int base, TaskBatchRecord record, long revision) {
      this.key = key;
      this.base = base;
      this.record = record;
      this.revision = revision;
    }
  }

  final JobSpec spec;

  /** What one task takes. */
  final Resources need;

  /** The same, as stored limits count it. */
  final Amount amount;

  long revision;
  boolean stop;
  boolean ending;

  /**
   * Task batches stored or about to be; task batches that no task was ever claimed of are absent.
   */
  final TreeMap<Integer, TaskBatch> taskBatches = new TreeMap<>();

  /** Tasks that nobody has claimed and that are not done. */
  final BitSet open;

  final Map<Integer, Claim> claims = new HashMap<>();

  int doneCount;

  /** When it could begin, on our clock: its submission, or the end of the last job it needed. */
  double submittedAt;

  /** When the queue's head began to wait; for fairness and for the operator's question why. */
  double waitingSince;

  /** Machines on which a task of this job failed by itself, see {@link FailureAttribution}. */
  final Set<String> failedOn = new HashSet<>();

  /** It failed on several machines and succeeded on none: tried one task at a time. */
  boolean suspect;

  double suspectSince;

  /** Pauses since it became suspect, each twice as long as the one before. */
  int tries;

  /** A task of it was seen running for a while, or done. */
  boolean ranWell;

  /** Taken over with many attempts and no success: a few tasks first show whether it can run. */
  boolean unsure;

  /** No task is placed before this time, after failures on several machines. */
  double notBefore;

  /** Why the last round placed no task of it; for logs and the administration API. */
  String waitReason = "new";

  final Map<String, Integer> zoneClaims = new HashMap<>();

  Job(JobSpec spec, long revision, boolean stop, double now) {
    this.spec = spec;
    this.need = Resources.of(spec);
    this.amount = need.amount();
    this.revision = revision;
    this.stop = stop;
    this.waitingSince = now;
    this.priority = spec.priority();
    this.needed.addAll(spec.dependencies());
    this.open = new BitSet(spec.tasks());
    this.open.set(0, spec.tasks());
  }

  TaskBatch taskBatch(int index) {
    return taskBatches.computeIfAbsent(
        index,
        i ->
            new TaskBatch(
                new TaskBatchKey(spec.id(), i),
                i * spec.batchCapacity(),
                TaskBatchRecord.fresh(spec.batchSize(i)),
                0));
  }

  boolean waiting() {
    return !stop && !ending && !open.isEmpty() && needed.isEmpty();
  }

  /**
   * Jobs that it waits for: those whose final record has not been seen to say that they are done.
   */
  final Set<String> needed = new HashSet<>();

  /** True while nothing of it may be claimed; it is no demand, and its times have not begun. */
  boolean blocked() {
    return !needed.isEmpty();
  }

  /** When its user submitted it: its deadline counts from then, all else from submittedAt. */
  double acceptedAt;

  /** When the last job that it needed ended, so far. */
  double neededUntil = Double.NEGATIVE_INFINITY;

  /** The priority of the most urgent job that needs it, directly or through others, or its own. */
  private Priority priority;

  /** When it has to be done for those that need it to be in time, or infinite. */
  double neededBy = Double.POSITIVE_INFINITY;

  /**
   * What its place in the queue goes by. What only others make urgent waits with ordinary work
   * while there is time, and goes before it when they would be late.
   */
  Priority priority() {
    if (pressing || !priority.beats(spec.priority())) {
      return priority;
    }
    boolean low = Priority.NORMAL.beats(spec.priority());
    return low && !Priority.NORMAL.beats(priority) ? Priority.NORMAL : spec.priority();
  }

  /** The priority of the most urgent job that needs it, or its own, whether or not it presses. */
  Priority wanted() {
    return priority;
  }

  /** The jobs that need it would be late if it waited with ordinary work. */
  boolean pressing;

  /**
   * Looks how much time is left, given how long a task of it takes and within what time its class
   * should start, if that is wanted.
   */
  void press(double estimateS, Double wantedWaitS, double now) {
    double waited = now - submittedAt;
    boolean startPresses =
        wantedWaitS != null
            && needed.isEmpty()
            && waited > wantedWaitS * PRESSING_WAIT
            && waited < wantedWaitS;
    pressing =
        neededBy == Double.POSITIVE_INFINITY
            || neededBy - now < PRESSING_RUNS * estimateS + PRESSING_S
            || startPresses;
  }

  /** A job that needs it has this priority; claims that stand keep theirs. */
  boolean raise(Priority other) {
    boolean raised = other.beats(priority); // Whether or not it presses now.
    priority = raised ? other : priority;
    return raised;
  }

  /** True if it, or a job that needs it, has a deadline. */
  boolean hasDue() {
    return dueAt() < Double.POSITIVE_INFINITY;
  }

  /** When it has to be done, on our clock. */
  double dueAt() {
    double own =
        spec.deadlineS() == null ? Double.POSITIVE_INFINITY : acceptedAt + spec.deadlineS();
    return Math.min(own, neededBy);
  }

  boolean complete() {
    return doneCount == spec.tasks();
  }

  /** The world's {@link ClusterState#roomVersion} when a round last found no room for it. */
  long noRoomAt = -1;

  /** When that was; what only time changes is looked at again after a while. */
  double noRoomSince;

  /** True while none of its tasks has ever been claimed. */
  boolean neverBegan() {
    return claims.isEmpty() && taskBatches.isEmpty();
  }

  /** Claims that already give their place up for a waiting task of this job. */
  int preempting;
}
