package graderelay.core;

import graderelay.quota.AccountChange;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Writes the new and ended claims of a scheduling round as compare-and-swap transactions, with one
 * record for each task batch, together with the accounts of the teams. {@link JobEndWriter} writes
 * the final records of jobs.
 */
final class CompareAndSwapWriter {
  /** Pause before tasks of a batch are claimed again when its record exceeds the value size. */
  private static final double FULL_BATCH_PAUSE_S = 1;

  private final ClusterState cluster;
  private final StoredRecords records;
  private final TransactionsInFlight inFlight;

  CompareAndSwapWriter(ClusterState cluster, StoredRecords records, TransactionsInFlight inFlight) {
    this.cluster = cluster;
    this.records = records;
    this.inFlight = inFlight;
  }

  /** Sends the given new claims and the ended claims in transactions. */
  void write(List<Claim> claims, double now) {
    Map<Job.TaskBatch, List<Claim>> claimed = new LinkedHashMap<>();
    for (Claim claim : claims) {
      claimed.computeIfAbsent(batchOf(claim), k -> new ArrayList<>()).add(claim);
    }
    Map<Job.TaskBatch, List<Claim>> ended = selectEndedClaims(claimed.keySet(), now);
    Set<Job.TaskBatch> batches = new LinkedHashSet<>(claimed.keySet());
    batches.addAll(ended.keySet());
    TransactionPacker packer =
        new TransactionPacker(Math.max(1, cluster.policy.txnOps()), cluster.admission, this::send);
    for (Job.TaskBatch batch : batches) {
      List<Claim> added = claimed.getOrDefault(batch, List.of());
      List<Claim> endedInBatch = ended.getOrDefault(batch, List.of());
      TaskBatchChange change = buildChange(batch, added, endedInBatch, now);
      if (change != null && !packer.add(change)) {
        // These tasks are placed again once the team's account has been raised.
        withdraw(added, now);
        change = buildChange(batch, List.of(), endedInBatch, now);
        if (change != null) {
          packer.add(change);
        }
      }
    }
    packer.flush();
    writeAccounts(now);
  }

  private static Job.TaskBatch batchOf(Claim claim) {
    return claim.job.taskBatch(claim.job.spec.batchIndexOf(claim.task));
  }

  /**
   * Selects the ended claims to write now: those in the claimed batches, and others as far as the
   * remaining changes allow.
   */
  private Map<Job.TaskBatch, List<Claim>> selectEndedClaims(
      Set<Job.TaskBatch> claimedBatches, double now) {
    Map<Job.TaskBatch, List<Claim>> ended = new LinkedHashMap<>();
    int remainingChanges = inFlight.remainingChanges() - claimedBatches.size();
    Map<Job, Boolean> provenDoneByJob = new HashMap<>();
    // Services first: when hundreds of machines fail at once, their replicas are only replaced
    // after the ends of their claims have committed.
    List<Claim> endingClaims = new ArrayList<>(records.endingClaims);
    endingClaims.sort(Comparator.comparing(claim -> !claim.job.spec.isService()));
    for (Claim claim : endingClaims) {
      Job.TaskBatch batch = batchOf(claim);
      if (claim.job.cancelRequested) {
        // The final record of the job replaces its batches in one write. Until then, a new leader
        // has to prove again that the claim has ended.
        if (!batch.inFlight) {
          records.endingClaims.remove(claim);
          cluster.removeClaim(claim, now);
        }
        continue;
      }
      if (batch.inFlight
          || claim.job.endInFlight
          || provenDoneByJob.computeIfAbsent(claim.job, JobEndWriter::isProvenDone)) {
        continue;
      }
      // Claims go first; ends use the remaining changes. Delaying them costs little, since more
      // tasks of the batch end in the meantime and one change covers all of them.
      if (!claimedBatches.contains(batch) && !ended.containsKey(batch) && remainingChanges-- <= 0) {
        continue;
      }
      ended.computeIfAbsent(batch, k -> new ArrayList<>()).add(claim);
    }
    return ended;
  }

  /** Returns the change that adds and ends these claims, or null if there is nothing to store. */
  private TaskBatchChange buildChange(
      Job.TaskBatch batch, List<Claim> added, List<Claim> ended, double now) {
    if (added.isEmpty() && ended.isEmpty()) {
      return null;
    }
    TaskBatchRecord record = batch.record.copy();
    for (Claim claim : ended) {
      record.release(claim.task - batch.firstTask, claim.taskDone);
    }
    for (Claim claim : added) {
      record.claim(claim.task - batch.firstTask, claim.attempt, claim.machine, claim.session);
    }
    TaskBatchRecord fittingRecord = fitToValueSize(record, cluster.policy.valueBytes());
    if (fittingRecord != null) {
      return new TaskBatchChange(
          cluster.jobs.get(batch.key.job()), batch, fittingRecord, added, ended);
    }
    // The record exceeds the value size: an earlier version created the batch for larger values.
    // It shrinks when its current claims end. The claims that end here remain in endingClaims and
    // are written together with the next ones.
    batch.recordFullUntil = now + FULL_BATCH_PAUSE_S;
    withdraw(added, now);
    return added.isEmpty() ? null : buildChange(batch, List.of(), ended, now);
  }

  /** Withdraws claims that were never sent to the store. */
  private void withdraw(List<Claim> claims, double now) {
    for (Claim claim : claims) {
      cluster.removeClaim(claim, now);
      claim.job.openTasks.set(claim.task);
    }
  }

  /** Fences accounts that block a team, and lowers accounts that reserve more than is claimed. */
  private void writeAccounts(double now) {
    if (!cluster.admission.isEnabled()) {
      return;
    }
    int maxAccounts = Math.max(1, cluster.policy.txnOps());
    sendAccounts(cluster.admission.fenceWrites(maxAccounts));
    sendAccounts(
        cluster.admission.releaseWrites(Math.min(maxAccounts, inFlight.remainingChanges()), now));
  }

  private void sendAccounts(List<AccountChange> accounts) {
    if (!accounts.isEmpty()) {
      inFlight.send(new Action.Write(inFlight.nextId(), List.of(), List.of(), List.of(), accounts));
    }
  }

  /** Returns the record in a form that fits the store's value size, or null if none does. */
  private static TaskBatchRecord fitToValueSize(TaskBatchRecord record, int valueBytes) {
    if (record.size() * TaskBatchRecord.MAX_BYTES_PER_TASK <= valueBytes
        || record.maxBytes(false) <= valueBytes) {
      return record;
    }
    return record.maxBytes(true) <= valueBytes ? record.packedCopy() : null;
  }

  private void send(List<TaskBatchChange> changes, Set<String> teams) {
    Map<TaskBatchKey, List<Claim>> claimed = new HashMap<>();
    Map<TaskBatchKey, List<Claim>> ended = new HashMap<>();
    List<Action.TaskBatchPut> puts = new ArrayList<>();
    for (TaskBatchChange change : changes) {
      claimed.put(change.taskBatch().key, change.claimed());
      ended.put(change.taskBatch().key, change.ended());
      puts.add(change.put());
      change.taskBatch().inFlight = true;
    }
    List<AccountChange> accounts = new ArrayList<>();
    teams.forEach(team -> accounts.add(cluster.admission.changeForClaims(team)));
    inFlight.send(
        new Action.Write(inFlight.nextId(), List.copyOf(puts), List.of(), List.of(), accounts),
        claimed,
        ended);
  }

  /** Returns how many more records a round may change. */
  int remainingChanges() {
    return inFlight.remainingChanges();
  }
}
