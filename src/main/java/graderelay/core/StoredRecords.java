package graderelay.core;

import graderelay.quota.Amount;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The stored records as this leader knows them: task batch records that come from the
 * consensus-backed store are taken in here, and so is the end of each claim. The store's records
 * are the truth: a claim counts from the moment its compare-and-swap is sent until one that ends it
 * has committed. {@link CompareAndSwapWriter} writes what changes.
 */
final class StoredRecords {
  private final ClusterState cluster;

  /** Task batch records seen without their job, with their revision: to be dropped. */
  final Map<TaskBatchKey, Long> orphans = new LinkedHashMap<>();

  /** Claims proven gone, or never launched, whose end has yet to commit. */
  final Set<Claim> endingClaims = new LinkedHashSet<>();

  /** Claims that committed since the last launch pass. */
  final List<Claim> committedClaims = new ArrayList<>();

  StoredRecords(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** A task batch record came from the store, at revision {@code revision}. */
  void onTaskBatch(TaskBatchKey key, TaskBatchRecord record, long revision, double now) {
    Job job = cluster.jobs.get(key.job());
    if (job == null) {
      orphans.put(key, revision);
      return;
    }
    if (record.size() != job.spec.batchSize(key.index())) {
      return;
    }
    Job.TaskBatch batch = job.taskBatch(key.index());
    if (revision <= batch.revision) {
      return;
    }
    track(job, batch.key, record, revision);
    if (batch.inFlight) {
      batch.newerRecord = record;
      batch.newerRevision = revision;
      return;
    }
    adopt(job, batch, record, revision, now);
  }

  /** A task batch record was removed from the store. */
  void onTaskBatchGone(TaskBatchKey key) {
    orphans.remove(key);
  }

  /** A job's own record has come: its task batches that came first are no orphans. */
  void jobCame(String id) {
    orphans.keySet().removeIf(k -> k.job().equals(id));
  }

  /** Takes a record that somebody else wrote, or that a write of ours with no answer made. */
  void adopt(Job job, Job.TaskBatch batch, TaskBatchRecord record, long revision, double now) {
    batch.record = record;
    batch.revision = revision;
    for (int i = 0; i < record.size(); i++) {
      adoptTask(job, batch.firstTask + i, record, i, now);
    }
    cluster.possiblyEndedJobs.add(job);
    job.doneCount = 0;
    for (Job.TaskBatch each : job.taskBatches.values()) {
      job.doneCount += each.record.doneCount();
    }
    if (cluster.loading) {
      job.unproven = job.doneCount == 0 && job.claims.isEmpty() && triedOften(job);
    }
    cluster.roundNeeded = true;
  }

  /** Brings the claim of one task in line with the {@code i}-th entry of its batch's record. */
  private void adoptTask(Job job, int task, TaskBatchRecord record, int i, double now) {
    Claim claim = job.claims.get(task);
    if (claim != null && matches(claim, record, i)) {
      return;
    }
    if (claim != null) {
      endingClaims.remove(claim);
      cluster.removeClaim(claim, now);
    }
    if (record.machine(i) != null) {
      adoptClaim(job, task, record, i, now);
    } else if (record.done(i)) {
      job.openTasks.clear(task);
    } else {
      job.openTasks.set(task);
    }
  }

  private static boolean matches(Claim claim, TaskBatchRecord record, int i) {
    return record.machine(i) != null
        && claim.machine.equals(record.machine(i))
        && claim.session == record.session(i)
        && claim.attempt == record.attempt(i);
  }

  /** Adds the claim that a record holds and this leader doesn't know. */
  private void adoptClaim(Job job, int task, TaskBatchRecord record, int i, double now) {
    Claim claim =
        new Claim(job, task, record.attempt(i), record.machine(i), record.session(i), now);
    claim.phase = Claim.Phase.COMMITTED;
    claim.fromEarlierLeader = cluster.loading;
    cluster.addClaim(claim, now);
    if (!cluster.loading) {
      // Written by a transaction of ours whose answer was lost, so it was never launched. Its
      // place may have been given to others meanwhile: it must not be launched now.
      end(claim, false, now);
    }
  }

  /**
   * Every task of the task batches seen had as many attempts as a job may fail before it is
   * suspect.
   */
  private boolean triedOften(Job job) {
    for (Job.TaskBatch batch : job.taskBatches.values()) {
      for (int i = 0; i < batch.record.size(); i++) {
        if (batch.record.attempt(i) < cluster.policy.tuning().attemptCap()) {
          return false;
        }
      }
    }
    return true;
  }

  /** Forgets a job and all its claims: its record is gone. */
  void forget(Job job, double now) {
    for (Claim claim : new ArrayList<>(job.claims.values())) {
      endingClaims.remove(claim);
      cluster.removeClaim(claim, now);
    }
    cluster.jobs.remove(job.spec.id());
    cluster.admission.committed().removeJob(job.spec.id());
    cluster.dependencies.remove(job);
    cluster.cancelledJobs.remove(job);
    cluster.possiblyEndedJobs.remove(job);
    cluster.roundNeeded = true;
  }

  /** The claim is proven gone, or was never launched; {@code isDone} if its task is done. */
  void end(Claim claim, boolean isDone, double now) {
    if (claim.phase == Claim.Phase.ENDING) {
      return;
    }
    claim.phase = Claim.Phase.ENDING;
    claim.taskDone = isDone;
    endingClaims.add(claim);
    cluster.possiblyEndedJobs.add(claim.job);
    cluster.roundNeeded = true;
  }

  /** Counts what a task batch's committed claims take, where stored limits are switched on. */
  void track(Job job, TaskBatchKey key, TaskBatchRecord record, long revision) {
    if (cluster.admission.enabled()) {
      Amount use = job.taskAmount.times(record.claimedCount());
      cluster.admission.committed().put(job.spec.id(), key.index(), job.spec.team(), revision, use);
    }
  }

  /** Stored limits are switched on: counts all claims that are known. */
  void trackAll() {
    for (Job job : cluster.jobs.values()) {
      for (Job.TaskBatch batch : job.taskBatches.values()) {
        boolean newer = batch.newerRecord != null && batch.newerRevision > batch.revision;
        if (newer || batch.revision > 0) {
          track(
              job,
              batch.key,
              newer ? batch.newerRecord : batch.record,
              newer ? batch.newerRevision : batch.revision);
        }
      }
      for (Claim claim : job.claims.values()) {
        if (claim.phase == Claim.Phase.CLAIMING) {
          cluster.admission.placed(job.spec.team(), job.taskAmount);
        }
      }
    }
  }
}
