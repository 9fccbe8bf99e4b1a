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

  /** Claims proven gone or never launched whose end has yet to commit. */
  final Set<Claim> settle = new LinkedHashSet<>();

  /** Claims that committed since the last launch pass. */
  final List<Claim> committed = new ArrayList<>();

  StoredRecords(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** A task batch record came from the store, at revision {@code revision}. */
  void onTaskBatch(TaskBatchKey key, TaskBatchRecord record, long revision, double now) {
    Job j = cluster.jobs.get(key.job());
    if (j == null) {
      orphans.put(key, revision);
      return;
    }
    if (record.size() != j.spec.batchSize(key.index())) {
      return;
    }
    Job.TaskBatch s = j.taskBatch(key.index());
    if (revision <= s.revision) {
      return;
    }
    track(j, s.key, record, revision);
    if (s.inFlight) {
      s.stash = record;
      s.stashRevision = revision;
      return;
    }
    adopt(j, s, record, revision, now);
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
  void adopt(Job j, Job.TaskBatch s, TaskBatchRecord r, long revision, double now) {
    s.record = r;
    s.revision = revision;
    for (int i = 0; i < r.size(); i++) {
      int task = s.base + i;
      Claim c = j.claims.get(task);
      String m = r.machine(i);
      boolean same =
          c != null
              && m != null
              && c.machine.equals(m)
              && c.session == r.session(i)
              && c.attempt == r.attempt(i);
      if (same) {
        continue;
      }
      if (c != null) {
        settle.remove(c);
        cluster.remove(c, now);
      }
      if (m != null) {
        Claim a = new Claim(j, task, r.attempt(i), m, r.session(i), now);
        a.phase = Claim.Phase.HELD;
        a.fromPast = cluster.loading;
        cluster.add(a, now);
        if (!cluster.loading) {
          // Written by a transaction of ours whose answer was lost, so it was never launched. Its
          // place may have been given to others meanwhile: it must not be launched now.
          end(a, false, now);
        }
      } else if (r.done(i)) {
        j.open.clear(task);
      } else {
        j.open.set(task);
      }
    }
    cluster.maybeOver.add(j);
    j.doneCount = 0;
    for (Job.TaskBatch each : j.taskBatches.values()) {
      j.doneCount += each.record.doneCount();
    }
    if (cluster.loading) {
      j.unsure = j.doneCount == 0 && j.claims.isEmpty() && triedOften(j);
    }
    cluster.dirty = true;
  }

  /**
   * Every task of the task batches seen had as many attempts as a job may fail before it is
   * suspect.
   */
  private boolean triedOften(Job j) {
    for (Job.TaskBatch s : j.taskBatches.values()) {
      for (int i = 0; i < s.record.size(); i++) {
        if (s.record.attempt(i) < cluster.policy.tuning().attemptCap()) {
          return false;
        }
      }
    }
    return true;
  }

  /** Forgets a job and all its claims: its record is gone. */
  void forget(Job j, double now) {
    for (Claim c : new ArrayList<>(j.claims.values())) {
      settle.remove(c);
      cluster.remove(c, now);
    }
    cluster.jobs.remove(j.spec.id());
    cluster.admission.committed().removeJob(j.spec.id());
    cluster.dependencies.removed(j);
    cluster.stopped.remove(j);
    cluster.maybeOver.remove(j);
    cluster.dirty = true;
  }

  /** The claim is proven gone, or was never launched. */
  void end(Claim c, boolean isDone, double now) {
    if (c.phase == Claim.Phase.SETTLING) {
      return;
    }
    c.phase = Claim.Phase.SETTLING;
    c.done = isDone;
    settle.add(c);
    cluster.maybeOver.add(c.job);
    cluster.dirty = true;
  }

  /** Counts what a task batch's committed claims take, where stored limits are switched on. */
  void track(Job j, TaskBatchKey key, TaskBatchRecord r, long revision) {
    if (cluster.admission.enabled()) {
      Amount use = j.amount.times(r.claimedCount());
      cluster.admission.committed().put(j.spec.id(), key.index(), j.spec.team(), revision, use);
    }
  }

  /** Stored limits are switched on: counts all claims that are known. */
  void trackAll() {
    for (Job j : cluster.jobs.values()) {
      for (Job.TaskBatch s : j.taskBatches.values()) {
        boolean newer = s.stash != null && s.stashRevision > s.revision;
        if (newer || s.revision > 0) {
          track(j, s.key, newer ? s.stash : s.record, newer ? s.stashRevision : s.revision);
        }
      }
      for (Claim c : j.claims.values()) {
        if (c.phase == Claim.Phase.CLAIMING) {
          cluster.admission.placed(j.spec.team(), j.amount);
        }
      }
    }
  }
}
