package graderelay.api;

import graderelay.state.JobEntry;
import graderelay.wire.FinalState;

/**
 * What is true of a job now, as users are told it.
 *
 * @param stage pending, running, done or cancelled
 * @param done tasks that are done
 * @param running tasks that are claimed on a machine
 * @param live the job's live record, or null if it has ended
 */
record JobState(String stage, int done, int running, JobEntry live) {
  static final String PENDING = "pending";
  static final String RUNNING = "running";
  static final String DONE = "done";
  static final String CANCELLED = "cancelled";

  /** The state of a job that has a final state. */
  static JobState ended(FinalState end) {
    return new JobState(stageOf(end), end.cancelled() ? 0 : end.tasks(), 0, null);
  }

  /** The state of a live job, summed over its task batches. */
  static JobState live(JobEntry entry) {
    TaskCounts counts = TaskCounts.of(entry);
    if (entry.isCancelled()) {
      return new JobState(CANCELLED, counts.done(), 0, entry);
    }
    String stage = counts.claimed() > 0 ? RUNNING : PENDING;
    return new JobState(stage, counts.done(), counts.claimed(), entry);
  }

  /** The state of a live job that is cancelled with a DAG dependency of it. */
  static JobState cancelledWithDependency() {
    return new JobState(CANCELLED, 0, 0, null);
  }

  /** The stage that users are told of a job that has a final state. */
  static String stageOf(FinalState end) {
    return end.cancelled() ? CANCELLED : DONE;
  }
}
