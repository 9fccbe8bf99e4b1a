package graderelay.state;

import graderelay.core.JobSpec;
import graderelay.core.TaskBatchKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The live jobs and their task batches in the copy of the records. Records come in any order: each
 * change is taken only if its revision is newer than what is here.
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

  /** Task batches whose job has no record. */
  Map<TaskBatchKey, TaskBatchEntry> orphanedTaskBatches() {
    return orphanedTaskBatches;
  }

  /** Ids of live jobs whose cancellation is recorded. */
  Set<String> cancelledJobs() {
    return cancelledJobs;
  }

  /** Forgets everything. */
  void clear() {
    for (String id : new ArrayList<>(jobs.keySet())) {
      deleteJob(id, Long.MAX_VALUE);
    }
    orphanedTaskBatches.clear();
  }

  /** Takes a job's record. */
  void putJob(JobSpec spec, boolean isCancelled, long revision) {
    JobEntry job = jobs.get(spec.id());
    if (job != null && revision <= job.revision()) {
      return;
    }
    if (job == null) {
      job = new JobEntry(spec);
      jobs.put(spec.id(), job);
      adoptTaskBatches(job);
    }
    job.update(revision, isCancelled);
    if (isCancelled) {
      cancelledJobs.add(spec.id());
    }
    listener.onJob(job);
  }

  private void adoptTaskBatches(JobEntry job) {
    for (TaskBatchKey key : new ArrayList<>(orphanedTaskBatches.keySet())) {
      if (key.job().equals(job.spec.id())) {
        job.taskBatches.put(key.index(), orphanedTaskBatches.remove(key));
      }
    }
  }

  /** Takes the deletion of a job's record; its task batches stay until they are deleted too. */
  void deleteJob(String id, long revision) {
    JobEntry job = jobs.get(id);
    if (job == null || job.revision() >= revision) {
      return;
    }
    jobs.remove(id);
    cancelledJobs.remove(id);
    job.taskBatches.forEach(
        (index, taskBatch) -> orphanedTaskBatches.put(new TaskBatchKey(id, index), taskBatch));
    listener.onJobGone(id);
  }

  private TaskBatchEntry taskBatch(TaskBatchKey key) {
    JobEntry job = jobs.get(key.job());
    return job == null ? orphanedTaskBatches.get(key) : job.taskBatches.get(key.index());
  }

  /** Takes a task batch's record. */
  void putTaskBatch(TaskBatchKey key, TaskBatchEntry taskBatch) {
    TaskBatchEntry before = taskBatch(key);
    if (before != null && taskBatch.revision() <= before.revision()) {
      return;
    }
    JobEntry job = jobs.get(key.job());
    if (job == null) {
      orphanedTaskBatches.put(key, taskBatch);
    } else {
      job.taskBatches.put(key.index(), taskBatch);
    }
    listener.onTaskBatch(key, taskBatch);
  }

  /** Takes the deletion of a task batch's record. */
  void deleteTaskBatch(TaskBatchKey key, long revision) {
    TaskBatchEntry before = taskBatch(key);
    if (before == null || before.revision() >= revision) {
      return;
    }
    JobEntry job = jobs.get(key.job());
    if (job == null) {
      orphanedTaskBatches.remove(key);
    } else {
      job.taskBatches.remove(key.index());
    }
    listener.onTaskBatchGone(key);
  }
}
