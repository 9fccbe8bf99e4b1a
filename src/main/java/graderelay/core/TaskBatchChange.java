package graderelay.core;

import java.util.List;

/**
 * A change of a task batch's record that is about to be written by a compare-and-swap.
 *
 * @param record the new record
 * @param claimed the claims that it adds
 * @param ended the claims that it ends
 */
record TaskBatchChange(
    Job job,
    Job.TaskBatch taskBatch,
    TaskBatchRecord record,
    List<Claim> claimed,
    List<Claim> ended) {
  /** Upper bound on the bytes of the stored form. */
  int maxBytes() {
    return record.size() * TaskBatchRecord.MAX_BYTES_PER_TASK;
  }

  /** The write of this change, conditioned on the revisions of the batch and of its job. */
  Action.TaskBatchPut put() {
    return new Action.TaskBatchPut(taskBatch.key, taskBatch.revision, record, job.revision);
  }
}
