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
  private final ClusterState world;

  /** Task batch records seen without their job, with their revision: to be dropped. */
  final Map<TaskBatchKey, Long> orphans = new LinkedHashMap<>();

  /** Claims proven gone or never launched whose end has yet to commit. */
  final Set<Claim> settle = new LinkedHashSet<>();

  /** Claims that committed since the last launch pass. */
  final List<Claim> committed = new ArrayList<>();

  StoredRecords(ClusterState world) {
    this.world = world;
  }

  /** A task batch record came from the store, at revision {@code mark}. */
  void onTaskBatch(TaskBatchKey key, TaskBatchRecord record, long mark, double now) {
    Job j = world.jobs.get(key.job());
    if (j == null) {
      orphans.put(key, mark);
      return;
    }
    if (record.size() != j.spec.sliceSize(key.index())) {
      return;
    }
    Job.Slice s = j.slice(key.index());
    if (mark <= s.mark) {
      return;
    }
    track(j, s.key, record, mark);
    if (s.inFlight) {
      s.stash = record;
      s.stashMark = mark;
      return;
    }
    adopt(j, s, record, mark, now);
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
  void adopt(Job j, Job.Slice s, TaskBatchRecord r, long mark, double now) {
    s.record = r;
    s.mark = mark;
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
        world.remove(c, now);
      }
      if (m != null) {
        Claim a = new Claim(j, task, r.attempt(i), m, r.session(i), now);
        a.phase = Claim.Phase.HELD;
        a.fromPast = world.loading;
        world.add(a, now);
        if (!world.loading) {
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
    world.maybeOver.add(j);
    j.doneCount = 0;
    for (Job.Slice each : j.slices.values()) {
      j.doneCount += each.record.doneCount();
    }
    if (world.loading) {
      j.unsure = j.doneCount == 0 && j.claims.isEmpty() && triedOften(j);
    }
    world.dirty = true;
  }

  /**
   * Every task of the task batches seen had as many attempts as a job may fail before it is
   * suspect.
   */
  private boolean triedOften(Job j) {
    for (Job.Slice s : j.slices.values()) {
      for (int i = 0; i < s.record.size(); i++) {
        if (s.record.attempt(i) < world.policy.tuning().attemptCap()) {
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
      world.remove(c, now);
    }
    world.jobs.remove(j.spec.id());
    world.admission.committed().removeJob(j.spec.id());
    world.dependencies.gone(j);
    world.stopped.remove(j);
    world.maybeOver.remove(j);
    world.dirty = true;
  }

  /** The claim is proven gone, or was never launched. */
  void end(Claim c, boolean isDone, double now) {
    if (c.phase == Claim.Phase.SETTLING) {
      return;
    }
    c.phase = Claim.Phase.SETTLING;
    c.done = isDone;
    settle.add(c);
    world.maybeOver.add(c.job);
    world.dirty = true;
  }

  /** Counts what a task batch's committed claims take, where stored limits are switched on. */
  void track(Job j, TaskBatchKey key, TaskBatchRecord r, long mark) {
    if (world.admission.enabled()) {
      Amount use = j.amount.times(r.claimedCount());
      world.admission.committed().put(j.spec.id(), key.index(), j.spec.team(), mark, use);
    }
  }

  /** Stored limits are switched on: counts all claims that are known. */
  void trackAll() {
    for (Job j : world.jobs.values()) {
      for (Job.Slice s : j.slices.values()) {
        boolean newer = s.stash != null && s.stashMark > s.mark;
        if (newer || s.mark > 0) {
          track(j, s.key, newer ? s.stash : s.record, newer ? s.stashMark : s.mark);
        }
      }
      for (Claim c : j.claims.values()) {
        if (c.phase == Claim.Phase.CLAIMING) {
          world.admission.placed(j.spec.team(), j.amount);
        }
      }
    }
  }
}
