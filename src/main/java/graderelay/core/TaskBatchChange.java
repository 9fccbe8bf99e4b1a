package graderelay.core;

import java.util.List;

/**
 * A task batch's record that is about to be written by a compare-and-swap.
 *
 * @param record what it will say
 * @param claimed the claims that it adds
 * @param ended the claims that it ends
 */
record TaskBatchChange(
    Job job,
    Job.TaskBatch taskBatch,
    TaskBatchRecord record,
    List<Claim> claimed,
    List<Claim> ended) {
  /** Bytes of the stored form at most. */
  int bytes() {
    return record.size() * TaskBatchRecord.BATCH_BYTES_PER_TASK;
  }

  /** The write of this change, conditioned on the revisions of the batch and of its job. */
  Action.TaskBatchPut put() {
    return new Action.TaskBatchPut(taskBatch.key, taskBatch.revision, record, job.revision);
  }
}
