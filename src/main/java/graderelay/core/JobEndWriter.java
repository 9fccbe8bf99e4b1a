package graderelay.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Writes the final records of jobs that are over, and drops the records of task batches that no
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

  /** True if the job is not cancelled or ending, and each task is done or proven done. */
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
   * Ends jobs that are complete or cancelled with nothing left, and drops task batches without a
   * job.
   */
  void endJobs() {
    List<Job> cancelled = new ArrayList<>();
    for (Job job : new ArrayList<>(cluster.possiblyEndedJobs)) {
      boolean over = job.cancelRequested ? job.claims.isEmpty() : isProvenDone(job);
      if (!over) {
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
    // Their records say already that they are cancelled, and nobody waits for their ends: hundreds
    // that go with one job that they depend on must not delay the claims of others.
    for (Job job : cancelled) {
      if (inFlight.cancelledEndsOut() > 0
          && inFlight.changesLeft() <= inFlight.mostChangesOut() / 2) {
        break;
      }
      endJob(job);
    }
    dropOrphans();
  }

  /** Replaces the job by its final record. */
  private void endJob(Job job) {
    // Users wait for the end, nobody for the task batches to go: in a swarm of single tasks they
    // would take as many changes again. What is left goes as soon as there is time.
    int most = Math.min(cluster.policy.txnOps() - 2, inFlight.changesLeft() - 2);
    List<Action.TaskBatchDelete> drops = new ArrayList<>();
    for (Job.TaskBatch batch : job.taskBatches.values()) {
      if (batch.revision > 0 && drops.size() < most) {
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

  /** Drops as many records without a job as one transaction and the rate allow. */
  private void dropOrphans() {
    int most = Math.min(cluster.policy.txnOps(), inFlight.changesLeft());
    if (records.orphans.isEmpty() || most <= 0 || inFlight.orphanWriteOpen()) {
      return;
    }
    List<Action.TaskBatchDelete> drops = new ArrayList<>();
    for (var it = records.orphans.entrySet().iterator(); it.hasNext() && drops.size() < most; ) {
      var orphan = it.next();
      drops.add(new Action.TaskBatchDelete(orphan.getKey(), orphan.getValue()));
      it.remove();
    }
    inFlight.send(new Action.Write(inFlight.nextId(), List.of(), List.of(), drops, List.of()));
  }
}
