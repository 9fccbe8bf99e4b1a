package graderelay.api;

import graderelay.state.JobEntry;
import graderelay.state.TaskBatchEntry;

/**
 * Task counts of a live job, summed over its task batches.
 *
 * @param done number of tasks that are done
 * @param claimed number of tasks that are claimed on a machine
 */
record TaskCounts(int done, int claimed) {
  /** The counts according to the cached records. */
  static TaskCounts of(JobEntry job) {
    int done = 0;
    int claimed = 0;
    for (TaskBatchEntry batch : job.taskBatches.values()) {
      done += batch.record().doneCount();
      claimed += batch.record().claimedCount();
    }
    return new TaskCounts(done, claimed);
  }
}
