package graderelay.core;

import java.util.List;

/**
 * A slice that is about to be stored.
 *
 * @param record what it will say
 * @param claimed the claims that it adds
 * @param settled the claims that it ends
 */
record SliceChange(
    Job job, Job.Slice slice, SliceRecord record, List<Claim> claimed, List<Claim> settled) {
  /** Bytes of the stored form at most. */
  int bytes() {
    return record.size() * graderelay.constants.Constants.SLICE_BYTES_PER_TASK;
  }

  Action.SlicePut put() {
    return new Action.SlicePut(slice.key, slice.mark, record, job.mark);
  }
}
