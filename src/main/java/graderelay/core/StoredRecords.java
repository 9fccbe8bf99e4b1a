package graderelay.core;

import graderelay.quota.Amount;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * This leader's view of the stored records. It applies task batch records read from the
 * consensus-backed store and collects the ends of claims. The store is the source of truth: a claim
 * counts from the moment its compare-and-swap is sent until one that ends it has committed. {@link
 * CompareAndSwapWriter} writes the changes.
 */
final class StoredRecords {
  private final ClusterState cluster;

  /** Revisions of the task batch records without a job, which are to be deleted. */
  final Map<TaskBatchKey, Long> orphanRevisions = new LinkedHashMap<>();

  /** Claims whose end has yet to commit: their attempts have ended or were never launched. */
  final Set<Claim> endingClaims = new LinkedHashSet<>();

  /** Claims committed since the last call of {@link TaskLauncher#launchCommitted}. */
  final List<Claim> committedClaims = new ArrayList<>();

  StoredRecords(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Applies a task batch record read from the store at {@code revision}. */
  void onTaskBatch(TaskBatchKey key, TaskBatchRecord record, long revision, double now) {
    Job job = cluster.jobs.get(key.job());
    if (job == null) {
      orphanRevisions.put(key, revision);
      return;
    }
    if (record.size() != job.spec.batchSize(key.index())) {
      return;
    }
    Job.TaskBatch batch = job.taskBatch(key.index());
    if (revision <= batch.revision) {
      return;
    }
    trackUsage(job, batch.key, record, revision);
    if (batch.inFlight) {
      batch.newerRecord = record;
      batch.newerRevision = revision;
      return;
    }
    adoptRecord(job, batch, record, revision, now);
  }

  /** Handles the deletion of a task batch record from the store. */
  void onTaskBatchDeleted(TaskBatchKey key) {
    orphanRevisions.remove(key);
  }

  /** Handles a job's record that was read after its task batches, which are no longer orphans. */
  void onJobRecord(String id) {
    orphanRevisions.keySet().removeIf(key -> key.job().equals(id));
  }

  /** Adopts a record written by another leader, or by this one in a write without a response. */
  void adoptRecord(
      Job job, Job.TaskBatch batch, TaskBatchRecord record, long revision, double now) {
    batch.record = record;
    batch.revision = revision;
    for (int index = 0; index < record.size(); index++) {
      adoptTask(job, batch.firstTask + index, record, index, now);
    }
    cluster.possiblyEndedJobs.add(job);
    job.doneCount = 0;
    for (Job.TaskBatch taskBatch : job.taskBatches.values()) {
      job.doneCount += taskBatch.record.doneCount();
    }
    if (cluster.loading) {
      job.unproven = job.doneCount == 0 && job.claims.isEmpty() && reachedAttemptCap(job);
    }
    cluster.roundNeeded = true;
  }

  /** Updates the claim of one task from entry {@code index} of its batch's record. */
  private void adoptTask(Job job, int task, TaskBatchRecord record, int index, double now) {
    Claim claim = job.claims.get(task);
    if (claim != null && matches(claim, record, index)) {
      return;
    }
    if (claim != null) {
      endingClaims.remove(claim);
      cluster.removeClaim(claim, now);
    }
    if (record.machine(index) != null) {
      adoptClaim(job, task, record, index, now);
    } else if (record.done(index)) {
      job.openTasks.clear(task);
    } else {
      job.openTasks.set(task);
    }
  }

  private static boolean matches(Claim claim, TaskBatchRecord record, int index) {
    return record.machine(index) != null
        && claim.machine.equals(record.machine(index))
        && claim.session == record.session(index)
        && claim.attempt == record.attempt(index);
  }

  /** Adds a claim that a record holds but this leader does not have. */
  private void adoptClaim(Job job, int task, TaskBatchRecord record, int index, double now) {
    Claim claim =
        new Claim(
            job, task, record.attempt(index), record.machine(index), record.session(index), now);
    claim.phase = Claim.Phase.COMMITTED;
    claim.fromEarlierLeader = cluster.loading;
    cluster.addClaim(claim, now);
    if (!cluster.loading) {
      // This leader wrote it in a transaction whose response was lost, so it was never launched.
      // Its resources may have been claimed for other tasks since, so it must not be launched now.
      endClaim(claim, false, now);
    }
  }

  /**
   * True if every task in the known task batches has reached the attempt cap, the number of
   * failures after which a job becomes suspect.
   */
  private boolean reachedAttemptCap(Job job) {
    for (Job.TaskBatch batch : job.taskBatches.values()) {
      for (int index = 0; index < batch.record.size(); index++) {
        if (batch.record.attempt(index) < cluster.policy.tuning().attemptCap()) {
          return false;
        }
      }
    }
    return true;
  }

  /** Removes a job without a stored record and all its claims. */
  void removeJob(Job job, double now) {
    for (Claim claim : new ArrayList<>(job.claims.values())) {
      endingClaims.remove(claim);
      cluster.removeClaim(claim, now);
    }
    cluster.jobs.remove(job.spec.id());
    cluster.admission.committedUse().removeJob(job.spec.id());
    cluster.dependencies.remove(job);
    cluster.cancelledJobs.remove(job);
    cluster.possiblyEndedJobs.remove(job);
    cluster.roundNeeded = true;
  }

  /**
   * Ends a claim whose attempt is proven to have ended or was never launched; {@code taskDone} is
   * true if its task is done.
   */
  void endClaim(Claim claim, boolean taskDone, double now) {
    if (claim.phase == Claim.Phase.ENDING) {
      return;
    }
    claim.phase = Claim.Phase.ENDING;
    claim.taskDone = taskDone;
    cluster.endedAttempts.onClaimEnded(claim, now);
    endingClaims.add(claim);
    cluster.possiblyEndedJobs.add(claim.job);
    cluster.roundNeeded = true;
  }

  /** Updates the usage of a task batch's committed claims if stored limits are enabled. */
  void trackUsage(Job job, TaskBatchKey key, TaskBatchRecord record, long revision) {
    if (cluster.admission.isEnabled()) {
      Amount usage = job.taskAmount.times(record.claimedCount());
      cluster
          .admission
          .committedUse()
          .put(job.spec.id(), key.index(), job.spec.team(), revision, usage);
    }
  }

  /** Counts the usage of all known claims; called when stored limits are enabled. */
  void trackAllUsage() {
    for (Job job : cluster.jobs.values()) {
      for (Job.TaskBatch batch : job.taskBatches.values()) {
        boolean hasNewerRecord = batch.newerRecord != null && batch.newerRevision > batch.revision;
        if (hasNewerRecord || batch.revision > 0) {
          trackUsage(
              job,
              batch.key,
              hasNewerRecord ? batch.newerRecord : batch.record,
              hasNewerRecord ? batch.newerRevision : batch.revision);
        }
      }
      for (Claim claim : job.claims.values()) {
        if (claim.phase == Claim.Phase.CLAIMING) {
          cluster.admission.onClaimPlaced(job.spec.team(), job.taskAmount);
        }
      }
    }
  }
}
