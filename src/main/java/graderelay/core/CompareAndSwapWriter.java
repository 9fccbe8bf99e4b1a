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
 * Writes the changes of a round as compare-and-swap transactions: new claims and ended ones, one
 * record for each task batch, the final records of jobs, and drops of records without a job.
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

  /** Puts new claims and settled ones into transactions, one record for each task batch. */
  void write(List<Claim> claims, double now) {
    Map<Job.TaskBatch, List<Claim>> claimed = new LinkedHashMap<>();
    for (Claim c : claims) {
      claimed.computeIfAbsent(batchOf(c), k -> new ArrayList<>()).add(c);
    }
    Map<Job.TaskBatch, List<Claim>> settled = settledBeside(claimed.keySet(), now);
    Set<Job.TaskBatch> all = new LinkedHashSet<>(claimed.keySet());
    all.addAll(settled.keySet());
    TransactionPacker packer =
        new TransactionPacker(Math.max(1, cluster.policy.txnOps()), cluster.admission, this::send);
    for (Job.TaskBatch s : all) {
      List<Claim> fresh = claimed.getOrDefault(s, List.of());
      List<Claim> done = settled.getOrDefault(s, List.of());
      TaskBatchChange change = change(s, fresh, done, now);
      if (change != null && !packer.add(change)) {
        // Placed again once the team's account has been raised.
        giveUp(fresh, now);
        change = change(s, List.of(), done, now);
        if (change != null) {
          packer.add(change);
        }
      }
    }
    packer.flush();
    writeAccounts(now);
  }

  private static Job.TaskBatch batchOf(Claim c) {
    return c.job.taskBatch(c.job.spec.batchOf(c.task));
  }

  /** Claims that are to be ended now, with the task batches that are claimed of or beside them. */
  private Map<Job.TaskBatch, List<Claim>> settledBeside(Set<Job.TaskBatch> claimed, double now) {
    Map<Job.TaskBatch, List<Claim>> settled = new LinkedHashMap<>();
    int room = inFlight.changesLeft() - claimed.size();
    Map<Job, Boolean> whole = new HashMap<>();
    // When hundreds of machines die at once, replicas are down until their ends have committed.
    List<Claim> ends = new ArrayList<>(records.settle);
    ends.sort(Comparator.comparing(c -> !c.job.spec.isService()));
    for (Claim c : ends) {
      Job.TaskBatch s = batchOf(c);
      if (c.job.cancelRequested) {
        // The whole job ends in one write; until then a new leader asks for the proof again.
        if (!s.inFlight) {
          records.settle.remove(c);
          cluster.removeClaim(c, now);
        }
        continue;
      }
      if (s.inFlight || c.job.ending || whole.computeIfAbsent(c.job, this::endsWhole)) {
        continue;
      }
      // Ends wait for the changes that are left beside the claims; meanwhile more of a batch's
      // tasks end, and one change says it of all.
      if (!claimed.contains(s) && !settled.containsKey(s) && room-- <= 0) {
        continue;
      }
      settled.computeIfAbsent(s, k -> new ArrayList<>()).add(c);
    }
    return settled;
  }

  /** The task batch with these claims and without those, or null if nothing can be stored of it. */
  private TaskBatchChange change(Job.TaskBatch s, List<Claim> fresh, List<Claim> done, double now) {
    if (fresh.isEmpty() && done.isEmpty()) {
      return null;
    }
    TaskBatchRecord r = s.record.copy();
    for (Claim c : done) {
      r.release(c.task - s.firstTask, c.taskDone);
    }
    for (Claim c : fresh) {
      r.claim(c.task - s.firstTask, c.attempt, c.machine, c.session);
    }
    TaskBatchRecord fitting = fitting(r, cluster.policy.valueBytes());
    if (fitting != null) {
      return new TaskBatchChange(cluster.jobs.get(s.key.job()), s, fitting, fresh, done);
    }
    // Made by an earlier version for larger values. What is claimed of it ends sooner or later,
    // and then there is room in it again. What is settled stays so, and is written with what ends
    // next.
    s.fullUntil = now + FULL_BATCH_S;
    giveUp(fresh, now);
    return fresh.isEmpty() ? null : change(s, List.of(), done, now);
  }

  /** Takes claims back that were never sent. */
  private void giveUp(List<Claim> claims, double now) {
    for (Claim c : claims) {
      cluster.removeClaim(c, now);
      c.job.openTasks.set(c.task);
    }
  }

  /** Fences accounts that somebody waits for, and lowers those that reserve too much. */
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
      inFlight.emit(
          new Action.Write(inFlight.nextId(), List.of(), List.of(), List.of(), accounts),
          Map.of(),
          Map.of());
    }
  }

  /** The record in a form that fits a value, or null if there is none. */
  private static TaskBatchRecord fitting(TaskBatchRecord r, int valueBytes) {
    if (r.size() * TaskBatchRecord.BATCH_BYTES_PER_TASK <= valueBytes
        || r.bytes(false) <= valueBytes) {
      return r;
    }
    return r.bytes(true) <= valueBytes ? r.packedCopy() : null;
  }

  private void send(List<TaskBatchChange> changes, Set<String> teams) {
    Map<TaskBatchKey, List<Claim>> claimed = new HashMap<>();
    Map<TaskBatchKey, List<Claim>> settled = new HashMap<>();
    List<Action.TaskBatchPut> puts = new ArrayList<>();
    for (TaskBatchChange c : changes) {
      claimed.put(c.taskBatch().key, c.claimed());
      settled.put(c.taskBatch().key, c.settled());
      puts.add(c.put());
      c.taskBatch().inFlight = true;
    }
    List<AccountChange> accounts = new ArrayList<>();
    teams.forEach(team -> accounts.add(cluster.admission.claim(team)));
    inFlight.emit(
        new Action.Write(inFlight.nextId(), List.copyOf(puts), List.of(), List.of(), accounts),
        claimed,
        settled);
  }

  /** True if all that is missing to the job's end is the proof that its last tasks are done. */
  private boolean endsWhole(Job j) {
    if (j.cancelRequested || j.ending || !j.openTasks.isEmpty()) {
      return false;
    }
    for (Claim c : j.claims.values()) {
      if (c.phase != Claim.Phase.ENDING || !c.taskDone) {
        return false;
      }
    }
    return true;
  }

  /**
   * Ends jobs that are complete or stopped with nothing left, and drops task batches without a job.
   */
  void endJobs(double now) {
    List<Job> cancelled = new ArrayList<>();
    for (Job j : new ArrayList<>(cluster.maybeEndedJobs)) {
      boolean over = j.cancelRequested ? j.claims.isEmpty() : endsWhole(j);
      if (!over) {
        cluster.maybeEndedJobs.remove(j);
      } else if (j.ending || j.taskBatches.values().stream().anyMatch(s -> s.inFlight)) {
        continue;
      } else if (j.cancelRequested) {
        cancelled.add(j);
      } else {
        endJob(j);
      }
    }
    // Their records say already that they are cancelled, and nobody waits for their ends: hundreds
    // that go with one job that they need must not hold up the claims of others.
    for (Job j : cancelled) {
      if (inFlight.cancelledEndsOut() > 0
          && inFlight.changesLeft() <= inFlight.mostChangesOut() / 2) {
        break;
      }
      endJob(j);
    }
    dropOrphans();
  }

  private void endJob(Job j) {
    // Users wait for the end, nobody for the task batches to go: in a swarm of single tasks they
    // would
    // take as many changes again. What is left goes as soon as there is time.
    int most = Math.min(cluster.policy.txnOps() - 2, inFlight.changesLeft() - 2);
    List<Action.TaskBatchDrop> drops = new ArrayList<>();
    for (Job.TaskBatch s : j.taskBatches.values()) {
      if (s.revision > 0 && drops.size() < most) {
        drops.add(new Action.TaskBatchDrop(s.key, s.revision));
      }
    }
    j.ending = true;
    Action.JobEnd e =
        new Action.JobEnd(
            j.spec.id(), j.revision, j.cancelRequested, j.spec.tasks(), List.copyOf(drops));
    inFlight.emit(
        new Action.Write(inFlight.nextId(), List.of(), List.of(e), List.of(), List.of()),
        Map.of(),
        Map.of());
  }

  private void dropOrphans() {
    int most = Math.min(cluster.policy.txnOps(), inFlight.changesLeft());
    if (records.orphans.isEmpty() || most <= 0 || inFlight.orphanWriteOpen()) {
      return;
    }
    List<Action.TaskBatchDrop> drops = new ArrayList<>();
    for (var it = records.orphans.entrySet().iterator(); it.hasNext() && drops.size() < most; ) {
      var e = it.next();
      drops.add(new Action.TaskBatchDrop(e.getKey(), e.getValue()));
      it.remove();
    }
    inFlight.emit(
        new Action.Write(inFlight.nextId(), List.of(), List.of(), drops, List.of()),
        Map.of(),
        Map.of());
  }

  /** Records that a round may change beside what is under way. */
  int changesLeft() {
    return inFlight.changesLeft();
  }
}
