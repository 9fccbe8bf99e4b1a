package graderelay.api;

import graderelay.state.JobEntry;
import graderelay.wire.FinalState;

/**
 * The state of a job as returned to users.
 *
 * @param stage pending, running, done or cancelled
 * @param done number of tasks that are done
 * @param running number of tasks that are claimed on a machine
 * @param liveJob the job's live record, or null if the job has ended
 */
record JobState(String stage, int done, int running, JobEntry liveJob) {
  static final String PENDING = "pending";
  static final String RUNNING = "running";
  static final String DONE = "done";
  static final String CANCELLED = "cancelled";

  /** The state of a job that has a final state. */
  static JobState finished(FinalState finalState) {
    return new JobState(
        stageOf(finalState), finalState.cancelled() ? 0 : finalState.tasks(), 0, null);
  }

  /** The state of a live job, summed over its task batches. */
  static JobState liveJob(JobEntry job) {
    TaskCounts counts = TaskCounts.of(job);
    if (job.isCancelled()) {
      return new JobState(CANCELLED, counts.done(), 0, job);
    }
    String stage = counts.claimed() > 0 ? RUNNING : PENDING;
    return new JobState(stage, counts.done(), counts.claimed(), job);
  }

  /** The state of a live job that is cancelled because one of its DAG dependencies was. */
  static JobState cancelledByDependency() {
    return new JobState(CANCELLED, 0, 0, null);
  }

  /** The stage of a job that has a final state. */
  static String stageOf(FinalState finalState) {
    return finalState.cancelled() ? CANCELLED : DONE;
  }
}
