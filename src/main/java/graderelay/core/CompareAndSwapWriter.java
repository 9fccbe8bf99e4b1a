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
 * Writes the claims of a round as compare-and-swap transactions: new ones and ended ones, one
 * record for each task batch, with the accounts of their teams. {@link JobEndWriter} writes the
 * ends of jobs.
 */
final class CompareAndSwapWriter {
  /** Seconds for which nothing is claimed in a record that is as large as is allowed. */
  private static final double FULL_BATCH_S = 1;

  private final ClusterState cluster;
  private final StoredRecords records;
  private final TransactionsInFlight inFlight;

  CompareAndSwapWriter(ClusterState cluster, StoredRecords records, TransactionsInFlight inFlight) {
    this.cluster = cluster;
    this.records = records;
    this.inFlight = inFlight;
  }

  /** Puts new claims and ended ones into transactions, one record for each task batch. */
  void write(List<Claim> claims, double now) {
    Map<Job.TaskBatch, List<Claim>> claimed = new LinkedHashMap<>();
    for (Claim claim : claims) {
      claimed.computeIfAbsent(batchOf(claim), k -> new ArrayList<>()).add(claim);
    }
    Map<Job.TaskBatch, List<Claim>> ended = endedBeside(claimed.keySet(), now);
    Set<Job.TaskBatch> all = new LinkedHashSet<>(claimed.keySet());
    all.addAll(ended.keySet());
    TransactionPacker packer =
        new TransactionPacker(Math.max(1, cluster.policy.txnOps()), cluster.admission, this::send);
    for (Job.TaskBatch batch : all) {
      List<Claim> added = claimed.getOrDefault(batch, List.of());
      List<Claim> endedHere = ended.getOrDefault(batch, List.of());
      TaskBatchChange change = change(batch, added, endedHere, now);
      if (change != null && !packer.add(change)) {
        // Placed again once the team's account has been raised.
        giveUp(added, now);
        change = change(batch, List.of(), endedHere, now);
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

  /** Claims that are to be ended now, with the task batches that are claimed of or beside them. */
  private Map<Job.TaskBatch, List<Claim>> endedBeside(Set<Job.TaskBatch> claimed, double now) {
    Map<Job.TaskBatch, List<Claim>> ended = new LinkedHashMap<>();
    int room = inFlight.changesLeft() - claimed.size();
    Map<Job, Boolean> whole = new HashMap<>();
    // When hundreds of machines die at once, replicas are down until their ends have committed.
    List<Claim> ends = new ArrayList<>(records.endingClaims);
    ends.sort(Comparator.comparing(claim -> !claim.job.spec.isService()));
    for (Claim claim : ends) {
      Job.TaskBatch batch = batchOf(claim);
      if (claim.job.cancelRequested) {
        // The whole job ends in one write; until then a new leader asks for the proof again.
        if (!batch.inFlight) {
          records.endingClaims.remove(claim);
          cluster.removeClaim(claim, now);
        }
        continue;
      }
      if (batch.inFlight
          || claim.job.endInFlight
          || whole.computeIfAbsent(claim.job, JobEndWriter::isProvenDone)) {
        continue;
      }
      // Ends wait for the changes that are left beside the claims; meanwhile more of a batch's
      // tasks end, and one change says it of all.
      if (!claimed.contains(batch) && !ended.containsKey(batch) && room-- <= 0) {
        continue;
      }
      ended.computeIfAbsent(batch, k -> new ArrayList<>()).add(claim);
    }
    return ended;
  }

  /** The task batch with these claims and without those, or null if nothing can be stored of it. */
  private TaskBatchChange change(
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
    TaskBatchRecord fitting = fitting(record, cluster.policy.valueBytes());
    if (fitting != null) {
      return new TaskBatchChange(cluster.jobs.get(batch.key.job()), batch, fitting, added, ended);
    }
    // Made by an earlier version for larger values. What is claimed of it ends sooner or later,
    // and then there is room in it again. What ends here stays ending, and is written with what
    // ends
    // next.
    batch.recordFullUntil = now + FULL_BATCH_S;
    giveUp(added, now);
    return added.isEmpty() ? null : change(batch, List.of(), ended, now);
  }

  /** Withdraws claims that were never sent. */
  private void giveUp(List<Claim> claims, double now) {
    for (Claim claim : claims) {
      cluster.removeClaim(claim, now);
      claim.job.openTasks.set(claim.task);
    }
  }

  /** Fences accounts that a team waits for, and lowers those that reserve too much. */
  private void writeAccounts(double now) {
    if (!cluster.admission.enabled()) {
      return;
    }
    int most = Math.max(1, cluster.policy.txnOps());
    emitAccounts(cluster.admission.fences(most));
    emitAccounts(cluster.admission.releases(Math.min(most, inFlight.changesLeft()), now));
  }

  private void emitAccounts(List<AccountChange> accounts) {
    if (!accounts.isEmpty()) {
      inFlight.send(new Action.Write(inFlight.nextId(), List.of(), List.of(), List.of(), accounts));
    }
  }

  /** The record in a form that fits a value, or null if there is none. */
  private static TaskBatchRecord fitting(TaskBatchRecord record, int valueBytes) {
    if (record.size() * TaskBatchRecord.BATCH_BYTES_PER_TASK <= valueBytes
        || record.bytes(false) <= valueBytes) {
      return record;
    }
    return record.bytes(true) <= valueBytes ? record.packedCopy() : null;
  }

  private void send(List<TaskBatchChange> changes, Set<String> teams) {
    Map<TaskBatchKey, List<Claim>> claimed = new HashMap<>();
    Map<TaskBatchKey, List<Claim>> ended = new HashMap<>();
    List<Action.TaskBatchPut> puts = new ArrayList<>();
    for (TaskBatchChange claim : changes) {
      claimed.put(claim.taskBatch().key, claim.claimed());
      ended.put(claim.taskBatch().key, claim.ended());
      puts.add(claim.put());
      claim.taskBatch().inFlight = true;
    }
    List<AccountChange> accounts = new ArrayList<>();
    teams.forEach(team -> accounts.add(cluster.admission.claim(team)));
    inFlight.send(
        new Action.Write(inFlight.nextId(), List.copyOf(puts), List.of(), List.of(), accounts),
        claimed,
        ended);
  }

  /** Records that a round may change beside what is under way. */
  int changesLeft() {
    return inFlight.changesLeft();
  }
}
