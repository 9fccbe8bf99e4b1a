package graderelay.state;

import graderelay.core.JobSpec;
import java.util.TreeMap;

/** A live job in the cache, with its task batches. */
public final class JobEntry {
  public final JobSpec spec;

  /** The job's task batches, by index. */
  public final TreeMap<Integer, TaskBatchEntry> taskBatches = new TreeMap<>();

  private boolean cancelled;
  private long revision;

  JobEntry(JobSpec spec) {
    this.spec = spec;
  }

  /** True if the job's cancellation is recorded. */
  public boolean isCancelled() {
    return cancelled;
  }

  /** The revision at which the job's record was last changed. */
  public long revision() {
    return revision;
  }

  /** Updates the entry from a newer version of the job's record. */
  void update(long newRevision, boolean isCancelled) {
    revision = newRevision;
    cancelled = isCancelled;
  }
}
