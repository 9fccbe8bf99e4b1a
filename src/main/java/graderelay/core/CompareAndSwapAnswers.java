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

  /** Hears of each job's end that has committed. */
  ObjDoubleConsumer<Action.JobEnd> ended = (e, now) -> {};

  CompareAndSwapAnswers(
      ClusterState cluster, StoredRecords records, TransactionsInFlight inFlight) {
    this.cluster = cluster;
    this.records = records;
    this.inFlight = inFlight;
  }

  /** The answer to transaction {@code id}; {@code revision} is the store's revision after it. */
  void onWrite(long id, TransactionOutcome outcome, long revision, double now) {
    TransactionsInFlight.Sending s = inFlight.answered(id);
    if (s == null) {
      return;
    }
    for (Action.TaskBatchPut p : s.write().taskBatches()) {
      Job j = cluster.jobs.get(p.key().job());
      if (j != null) {
        batchAnswered(j, p, s, outcome, revision, now);
      }
    }
    for (Action.JobEnd e : s.write().ends()) {
      Job j = cluster.jobs.get(e.job());
      if (j == null) {
        continue;
      }
      if (outcome == TransactionOutcome.COMMITTED) {
        cluster.log(e.job() + (e.cancelled() ? " is stopped" : " is done"));
        Set<TaskBatchKey> droppedBatches = new HashSet<>();
        e.taskBatches().forEach(d -> droppedBatches.add(d.key()));
        for (Job.TaskBatch left : j.taskBatches.values()) {
          if (!droppedBatches.contains(left.key) && left.revision > 0) {
            records.orphans.put(left.key, left.revision);
          }
        }
        records.forget(j, now);
        ended.accept(e, now);
      } else {
        j.ending = false;
        cluster.maybeEndedJobs.add(j);
      }
    }
    for (Action.TaskBatchDrop d : s.write().drops()) {
      if (outcome != TransactionOutcome.COMMITTED) {
        records.orphans.putIfAbsent(d.key(), d.revision());
      }
    }
    accountsAnswered(s.write().accounts(), outcome, revision);
    cluster.roundNeeded = true;
  }

  /** What the transaction's task batches say has been taken before. */
  private void accountsAnswered(
      List<AccountChange> accounts, TransactionOutcome outcome, long revision) {
    switch (outcome) {
      case COMMITTED -> cluster.admission.committed(accounts, revision);
      case REFUSED -> cluster.admission.refused(accounts);
      case UNKNOWN -> cluster.admission.unanswered(accounts);
    }
  }

  private void batchAnswered(
      Job j,
      Action.TaskBatchPut p,
      TransactionsInFlight.Sending sent,
      TransactionOutcome outcome,
      long revision,
      double now) {
    Job.TaskBatch s = j.taskBatches.get(p.key().index());
    s.inFlight = false;
    TaskBatchRecord stash = s.newerRecord;
    long stashRevision = s.newerRevision;
    s.newerRecord = null;
    boolean landed = outcome == TransactionOutcome.COMMITTED;
    if (!landed
        && outcome == TransactionOutcome.UNKNOWN
        && stash != null
        && stash.equals(p.record())) {
      landed = true;
      revision = stashRevision;
    }
    List<Claim> claimed = sent.claimed().getOrDefault(p.key(), List.of());
    List<Claim> settled = sent.settled().getOrDefault(p.key(), List.of());
    if (landed) {
      s.record = p.record();
      s.revision = revision;
      records.track(j, s.key, s.record, revision);
      for (Claim c : settled) {
        records.settle.remove(c);
        cluster.removeClaim(c, now);
        if (c.taskDone) {
          j.doneCount++;
        } else {
          j.openTasks.set(c.task);
          j.waitingSince = now;
        }
      }
      for (Claim c : claimed) {
        if (c.phase == Claim.Phase.CLAIMING) {
          cluster.markCommitted(c);
          records.committed.add(c);
        }
      }
    } else {
      for (Claim c : claimed) {
        cluster.removeClaim(c, now);
        j.openTasks.set(c.task);
      }
      // Settled ones stay in the settle set and are written again.
    }
    if (stash != null && stashRevision > s.revision) {
      records.adopt(j, s, stash, stashRevision, now);
    }
  }
}
