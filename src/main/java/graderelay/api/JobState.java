package graderelay.api;

import graderelay.core.TaskBatchRecord;
import graderelay.state.JobEntry;
import graderelay.state.TaskBatchEntry;
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
  static final String CANCELLED = "cancelled";

  /** The state of a job that has a final state. */
  static JobState ended(FinalState e) {
    return new JobState(stageOf(e), e.cancelled() ? 0 : e.tasks(), 0, null);
  }

  /** The state of a live job, summed over its task batches. */
  static JobState live(JobEntry e) {
    int done = 0;
    int claimed = 0;
    for (TaskBatchEntry s : e.taskBatches.values()) {
      TaskBatchRecord r = s.record();
      done += r.doneCount();
      claimed += r.claimedCount();
    }
    String stage = e.isCancelled() ? CANCELLED : claimed > 0 ? "running" : "pending";
    return new JobState(stage, done, e.isCancelled() ? 0 : claimed, e);
  }

  static String stageOf(FinalState end) {
    return end.cancelled() ? CANCELLED : "done";
  }
}
