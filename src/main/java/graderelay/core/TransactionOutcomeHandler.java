package graderelay.core;

import graderelay.quota.AccountChange;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ObjDoubleConsumer;

/**
 * Handles the outcomes of compare-and-swap transactions. The records of a committed transaction
 * become the known stored records. If a transaction is refused, the tasks of its new claims return
 * to the queue and its ended claims are written again. A transaction without a response counts as
 * committed only if the record read from the store since then is the one that it wrote.
 */
final class TransactionOutcomeHandler {
  private final ClusterState cluster;
  private final StoredRecords records;
  private final TransactionsInFlight inFlight;
  private final ObjDoubleConsumer<Action.JobEnd> onJobEnded;

  /**
   * Creates the handler.
   *
   * @param onJobEnded called with each committed job end and the time of the transaction's response
   */
  TransactionOutcomeHandler(
      ClusterState cluster,
      StoredRecords records,
      TransactionsInFlight inFlight,
      ObjDoubleConsumer<Action.JobEnd> onJobEnded) {
    this.cluster = cluster;
    this.records = records;
    this.inFlight = inFlight;
    this.onJobEnded = onJobEnded;
  }

  /**
   * Handles the outcome of transaction {@code id}; {@code revision} is its revision if it
   * committed.
   */
  void onTransactionOutcome(long id, TransactionOutcome outcome, long revision, double now) {
    TransactionsInFlight.Transaction transaction = inFlight.removeCompleted(id);
    if (transaction == null) {
      return;
    }
    Action.Write write = transaction.write();
    for (Action.TaskBatchPut put : write.taskBatches()) {
      Job job = cluster.jobs.get(put.key().job());
      if (job != null) {
        onTaskBatchOutcome(job, put, transaction, outcome, revision, now);
      }
    }
    for (Action.JobEnd end : write.jobEnds()) {
      Job job = cluster.jobs.get(end.job());
      if (job != null) {
        onJobEndOutcome(job, end, outcome, now);
      }
    }
    for (Action.TaskBatchDelete drop : write.taskBatchDeletes()) {
      if (outcome != TransactionOutcome.COMMITTED) {
        records.orphanRevisions.putIfAbsent(drop.key(), drop.revision());
      }
    }
    onAccountsOutcome(write.accountChanges(), outcome, revision);
    cluster.roundNeeded = true;
  }

  /** Removes the job if its final record has committed; otherwise has it written again. */
  private void onJobEndOutcome(Job job, Action.JobEnd end, TransactionOutcome outcome, double now) {
    if (outcome != TransactionOutcome.COMMITTED) {
      job.endInFlight = false;
      cluster.possiblyEndedJobs.add(job);
      return;
    }
    cluster.log(end.job() + (end.cancelled() ? " is cancelled" : " is done"));
    Set<TaskBatchKey> droppedKeys = new HashSet<>();
    end.taskBatches().forEach(drop -> droppedKeys.add(drop.key()));
    for (Job.TaskBatch batch : job.taskBatches.values()) {
      if (!droppedKeys.contains(batch.key) && batch.revision > 0) {
        records.orphanRevisions.put(batch.key, batch.revision);
      }
    }
    records.removeJob(job, now);
    onJobEnded.accept(end, now);
  }

  /** Updates the team accounts; must run after the transaction's task batches are handled. */
  private void onAccountsOutcome(
      List<AccountChange> accounts, TransactionOutcome outcome, long revision) {
    if (outcome == TransactionOutcome.COMMITTED) {
      cluster.admission.onCommitted(accounts, revision);
    } else if (outcome == TransactionOutcome.REFUSED) {
      cluster.admission.onRefused(accounts);
    } else {
      cluster.admission.onOutcomeUnknown(accounts);
    }
  }

  private void onTaskBatchOutcome(
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
      // The ended claims remain in endingClaims and are written again.
      onTaskBatchNotCommitted(job, claimed, now);
    }
    if (newerRecord != null && batch.newerRevision > batch.revision) {
      records.adoptRecord(job, batch, newerRecord, batch.newerRevision, now);
    }
  }

  /** Adopts the written record as the stored one. */
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
    records.trackUsage(job, batch.key, record, revision);
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

  /** Removes the new claims, whose tasks wait for placement again. */
  private void onTaskBatchNotCommitted(Job job, List<Claim> claimed, double now) {
    for (Claim claim : claimed) {
      cluster.removeClaim(claim, now);
      job.openTasks.set(claim.task);
    }
  }
}
