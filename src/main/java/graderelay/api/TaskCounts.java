package graderelay.api;

import graderelay.state.JobEntry;
import graderelay.state.TaskBatchEntry;

/**
 * How far the tasks of a live job are, summed over its task batches.
 *
 * @param done tasks that are done
 * @param claimed tasks that are claimed on a machine
 */
record TaskCounts(int done, int claimed) {
  /** The counts as this controller's copy of the records has them. */
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
