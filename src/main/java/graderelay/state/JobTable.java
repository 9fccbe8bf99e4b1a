package graderelay.state;

import graderelay.core.JobSpec;
import graderelay.core.TaskBatchKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The live jobs and their task batches in the cache. Changes may arrive in any order; each is
 * applied only if its revision is newer than that of the entry.
 */
final class JobTable {
  private final RecordListener listener;
  private final Map<String, JobEntry> jobs = new HashMap<>();
  private final Map<TaskBatchKey, TaskBatchEntry> orphanedTaskBatches = new HashMap<>();
  private final Set<String> cancelledJobs = new HashSet<>();

  JobTable(RecordListener listener) {
    this.listener = listener;
  }

  /** The job with an id, or null. */
  JobEntry job(String id) {
    return jobs.get(id);
  }

  /** All live jobs, by id. */
  Map<String, JobEntry> jobs() {
    return jobs;
  }

  /** Task batches whose job has no record in the cache. */
  Map<TaskBatchKey, TaskBatchEntry> orphanedTaskBatches() {
    return orphanedTaskBatches;
  }

  /** Ids of live jobs whose cancellation is recorded. */
  Set<String> cancelledJobs() {
    return cancelledJobs;
  }

  /** Removes all jobs and task batches, and notifies the listener of the removed jobs. */
  void clear() {
    for (String id : new ArrayList<>(jobs.keySet())) {
      deleteJob(id, Long.MAX_VALUE);
    }
    orphanedTaskBatches.clear();
  }

  /** Adds or updates a job. */
  void putJob(JobSpec spec, boolean isCancelled, long revision) {
    JobEntry job = jobs.get(spec.id());
    if (job != null && revision <= job.revision()) {
      return;
    }
    if (job == null) {
      job = new JobEntry(spec);
      jobs.put(spec.id(), job);
      attachOrphanedTaskBatches(job);
    }
    job.update(revision, isCancelled);
    if (isCancelled) {
      cancelledJobs.add(spec.id());
    }
    listener.onJobChanged(job);
  }

  private void attachOrphanedTaskBatches(JobEntry job) {
    for (TaskBatchKey key : new ArrayList<>(orphanedTaskBatches.keySet())) {
      if (key.job().equals(job.spec.id())) {
        job.taskBatches.put(key.index(), orphanedTaskBatches.remove(key));
      }
    }
  }

  /** Removes a job; its task batches stay, as orphans, until their records are deleted too. */
  void deleteJob(String id, long revision) {
    JobEntry job = jobs.get(id);
    if (job == null || job.revision() >= revision) {
      return;
    }
    jobs.remove(id);
    cancelledJobs.remove(id);
    job.taskBatches.forEach(
        (index, taskBatch) -> orphanedTaskBatches.put(new TaskBatchKey(id, index), taskBatch));
    listener.onJobDeleted(id);
  }

  private TaskBatchEntry taskBatch(TaskBatchKey key) {
    JobEntry job = jobs.get(key.job());
    return job == null ? orphanedTaskBatches.get(key) : job.taskBatches.get(key.index());
  }

  /** Adds or updates a task batch. */
  void putTaskBatch(TaskBatchKey key, TaskBatchEntry taskBatch) {
    TaskBatchEntry existing = taskBatch(key);
    if (existing != null && taskBatch.revision() <= existing.revision()) {
      return;
    }
    JobEntry job = jobs.get(key.job());
    if (job == null) {
      orphanedTaskBatches.put(key, taskBatch);
    } else {
      job.taskBatches.put(key.index(), taskBatch);
    }
    listener.onTaskBatchChanged(key, taskBatch);
  }

  /** Removes a task batch. */
  void deleteTaskBatch(TaskBatchKey key, long revision) {
    TaskBatchEntry existing = taskBatch(key);
    if (existing == null || existing.revision() >= revision) {
      return;
    }
    JobEntry job = jobs.get(key.job());
    if (job == null) {
      orphanedTaskBatches.remove(key);
    } else {
      job.taskBatches.remove(key.index());
    }
    listener.onTaskBatchDeleted(key);
  }
}
