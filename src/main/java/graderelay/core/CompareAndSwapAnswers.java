package graderelay.core;

import graderelay.quota.AccountChange;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ObjDoubleConsumer;

/**
 * Takes in the answers to compare-and-swap transactions. What committed is the stored record now;
 * the new claims of a refused one wait again and its ended claims are written again; one with no
 * answer counts as committed only if the record seen meanwhile is the one it wrote.
 */
final class CompareAndSwapAnswers {
  private final ClusterState cluster;
  private final StoredRecords records;
  private final TransactionsInFlight inFlight;
  private final ObjDoubleConsumer<Action.JobEnd> onJobEnded;

  /**
   * Makes one.
   *
   * @param onJobEnded hears of each job's end that has committed, and when its answer came
   */
  CompareAndSwapAnswers(
      ClusterState cluster,
      StoredRecords records,
      TransactionsInFlight inFlight,
      ObjDoubleConsumer<Action.JobEnd> onJobEnded) {
    this.cluster = cluster;
    this.records = records;
    this.inFlight = inFlight;
    this.onJobEnded = onJobEnded;
  }

  /** The answer to transaction {@code id}; {@code revision} is the store's revision after it. */
  void onWrite(long id, TransactionOutcome outcome, long revision, double now) {
    TransactionsInFlight.Transaction transaction = inFlight.takeAnswered(id);
    if (transaction == null) {
      return;
    }
    Action.Write write = transaction.write();
    for (Action.TaskBatchPut put : write.taskBatches()) {
      Job job = cluster.jobs.get(put.key().job());
      if (job != null) {
        onTaskBatchAnswer(job, put, transaction, outcome, revision, now);
      }
    }
    for (Action.JobEnd end : write.jobEnds()) {
      Job job = cluster.jobs.get(end.job());
      if (job != null) {
        onJobEndAnswer(job, end, outcome, now);
      }
    }
    for (Action.TaskBatchDelete drop : write.taskBatchDeletes()) {
      if (outcome != TransactionOutcome.COMMITTED) {
        records.orphans.putIfAbsent(drop.key(), drop.revision());
      }
    }
    onAccountsAnswer(write.accountChanges(), outcome, revision);
    cluster.roundNeeded = true;
  }

  /** A job's final record has committed, or is to be written again. */
  private void onJobEndAnswer(Job job, Action.JobEnd end, TransactionOutcome outcome, double now) {
    if (outcome != TransactionOutcome.COMMITTED) {
      job.endInFlight = false;
      cluster.possiblyEndedJobs.add(job);
      return;
    }
    cluster.log(end.job() + (end.cancelled() ? " is stopped" : " is done"));
    Set<TaskBatchKey> dropped = new HashSet<>();
    end.taskBatches().forEach(drop -> dropped.add(drop.key()));
    for (Job.TaskBatch left : job.taskBatches.values()) {
      if (!dropped.contains(left.key) && left.revision > 0) {
        records.orphans.put(left.key, left.revision);
      }
    }
    records.forget(job, now);
    onJobEnded.accept(end, now);
  }

  /** What the transaction's task batches say has been taken before. */
  private void onAccountsAnswer(
      List<AccountChange> accounts, TransactionOutcome outcome, long revision) {
    if (outcome == TransactionOutcome.COMMITTED) {
      cluster.admission.committed(accounts, revision);
    } else if (outcome == TransactionOutcome.REFUSED) {
      cluster.admission.refused(accounts);
    } else {
      cluster.admission.unanswered(accounts);
    }
  }

  private void onTaskBatchAnswer(
      Job job,
      Action.TaskBatchPut put,
      TransactionsInFlight.Transaction transaction,
      TransactionOutcome outcome,
      long revision,
      double now) {
    Job.TaskBatch batch = job.taskBatches.get(put.key().index());
    batch.inFlight = false;
    TaskBatchRecord newerRecord = batch.newerRecord;
    batch.newerRecord = null;
    List<Claim> claimed = transaction.claimed().getOrDefault(put.key(), List.of());
    List<Claim> ended = transaction.ended().getOrDefault(put.key(), List.of());
    if (outcome == TransactionOutcome.COMMITTED) {
      onTaskBatchCommitted(job, batch, put.record(), revision, claimed, ended, now);
    } else if (outcome == TransactionOutcome.UNKNOWN && put.record().equals(newerRecord)) {
      onTaskBatchCommitted(job, batch, put.record(), batch.newerRevision, claimed, ended, now);
    } else {
      // The ended claims stay among those that are ending, and are written again.
      onTaskBatchRefused(job, claimed, now);
    }
    if (newerRecord != null && batch.newerRevision > batch.revision) {
      records.adopt(job, batch, newerRecord, batch.newerRevision, now);
    }
  }

  /** The record that was written is the stored one now. */
  private void onTaskBatchCommitted(
      Job job,
      Job.TaskBatch batch,
      TaskBatchRecord record,
      long revision,
      List<Claim> claimed,
      List<Claim> ended,
      double now) {
    batch.record = record;
    batch.revision = revision;
    records.track(job, batch.key, record, revision);
    for (Claim claim : ended) {
      records.endingClaims.remove(claim);
      cluster.removeClaim(claim, now);
      if (claim.taskDone) {
        job.doneCount++;
      } else {
        job.openTasks.set(claim.task);
        job.waitingSince = now;
      }
    }
    for (Claim claim : claimed) {
      if (claim.phase == Claim.Phase.CLAIMING) {
        cluster.markCommitted(claim);
        records.committedClaims.add(claim);
      }
    }
  }

  /** Nothing was written: the tasks of the new claims wait again. */
  private void onTaskBatchRefused(Job job, List<Claim> claimed, double now) {
    for (Claim claim : claimed) {
      cluster.removeClaim(claim, now);
      job.openTasks.set(claim.task);
    }
  }
}
