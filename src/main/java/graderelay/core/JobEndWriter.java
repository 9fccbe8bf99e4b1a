package graderelay.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Writes the final records of jobs that have ended, and deletes the records of task batches that no
 * longer have a job.
 */
final class JobEndWriter {
  private final ClusterState cluster;
  private final StoredRecords records;
  private final TransactionsInFlight inFlight;

  JobEndWriter(ClusterState cluster, StoredRecords records, TransactionsInFlight inFlight) {
    this.cluster = cluster;
    this.records = records;
    this.inFlight = inFlight;
  }

  /** True if the job is neither cancelled nor ending, and each task is done or proven done. */
  static boolean isProvenDone(Job job) {
    if (job.cancelRequested || job.endInFlight || !job.openTasks.isEmpty()) {
      return false;
    }
    for (Claim claim : job.claims.values()) {
      if (claim.phase != Claim.Phase.ENDING || !claim.taskDone) {
        return false;
      }
    }
    return true;
  }

  /**
   * Ends jobs that are complete, and cancelled jobs without claims; deletes task batches without a
   * job.
   */
  void endJobs() {
    List<Job> cancelled = new ArrayList<>();
    for (Job job : new ArrayList<>(cluster.possiblyEndedJobs)) {
      boolean hasEnded = job.cancelRequested ? job.claims.isEmpty() : isProvenDone(job);
      if (!hasEnded) {
        cluster.possiblyEndedJobs.remove(job);
      } else if (job.endInFlight
          || job.taskBatches.values().stream().anyMatch(batch -> batch.inFlight)) {
        continue;
      } else if (job.cancelRequested) {
        cancelled.add(job);
      } else {
        endJob(job);
      }
    }
    // The records of cancelled jobs already show the cancellation, so no user waits for their final
    // records. Cancelling one job may cancel hundreds of dependents, whose ends must not delay the
    // claims of other jobs.
    for (Job job : cancelled) {
      if (inFlight.cancelledEndsInFlight() > 0
          && inFlight.remainingChanges() <= inFlight.maxChangesInFlight() / 2) {
        break;
      }
      endJob(job);
    }
    dropOrphans();
  }

  /** Replaces the job's record with its final record. */
  private void endJob(Job job) {
    // Users wait for the final record but not for the deletion of the task batches, which for many
    // single-task jobs would double the number of changes. The remaining batches are deleted later
    // as orphans.
    int maxDrops = Math.min(cluster.policy.txnOps() - 2, inFlight.remainingChanges() - 2);
    List<Action.TaskBatchDelete> drops = new ArrayList<>();
    for (Job.TaskBatch batch : job.taskBatches.values()) {
      if (batch.revision > 0 && drops.size() < maxDrops) {
        drops.add(new Action.TaskBatchDelete(batch.key, batch.revision));
      }
    }
    job.endInFlight = true;
    Action.JobEnd end =
        new Action.JobEnd(
            job.spec.id(), job.revision, job.cancelRequested, job.spec.tasks(), List.copyOf(drops));
    inFlight.send(
        new Action.Write(inFlight.nextId(), List.of(), List.of(end), List.of(), List.of()));
  }

  /** Deletes as many records without a job as one transaction and the rate allow. */
  private void dropOrphans() {
    int maxDrops = Math.min(cluster.policy.txnOps(), inFlight.remainingChanges());
    if (records.orphanRevisions.isEmpty() || maxDrops <= 0 || inFlight.isOrphanWriteInFlight()) {
      return;
    }
    List<Action.TaskBatchDelete> drops = new ArrayList<>();
    for (var iterator = records.orphanRevisions.entrySet().iterator();
        iterator.hasNext() && drops.size() < maxDrops; ) {
      var orphan = iterator.next();
      drops.add(new Action.TaskBatchDelete(orphan.getKey(), orphan.getValue()));
      iterator.remove();
    }
    inFlight.send(new Action.Write(inFlight.nextId(), List.of(), List.of(), drops, List.of()));
  }
}
