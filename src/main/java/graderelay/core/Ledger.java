package graderelay.core;

import graderelay.constants.Constants;
import graderelay.quota.AccountChange;
import graderelay.quota.Amount;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The stored records and the transactions that change them. The state service's records are the
 * truth: a claim counts from the moment its transaction is sent until a transaction that ends it
 * has committed.
 */
final class Ledger {
  private final ClusterState world;

  /** Hears of each job's end that has committed. */
  java.util.function.ObjDoubleConsumer<Action.JobEnd> ended = (e, now) -> {};

  Ledger(ClusterState world) {
    this.world = world;
  }

  /** What a transaction under way contains. */
  private record Sending(
      Action.Write write,
      Map<TaskBatchKey, List<Claim>> claimed,
      Map<TaskBatchKey, List<Claim>> settled) {}

  private final Map<TaskBatchKey, Long> orphans = new LinkedHashMap<>();

  private final Map<Long, Sending> sending = new HashMap<>();

  private long nextWrite = 1;

  private final Set<Claim> settle = new LinkedHashSet<>();

  /** Changes in transactions that have not been answered. */
  private int changesOut;

  /** Claims that committed since the last launch pass. */
  final List<Claim> committed = new ArrayList<>();

  void onSlice(TaskBatchKey key, TaskBatchRecord record, long mark, double now) {
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

  void onSliceGone(TaskBatchKey key) {
    orphans.remove(key);
  }

  /** Takes a record that somebody else wrote, or that a write of ours with no answer made. */
  private void adopt(Job j, Job.Slice s, TaskBatchRecord r, long mark, double now) {
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

  /** Every task of the slices seen had as many attempts as a job may fail before it is suspect. */
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

  void onWrite(long id, Scheduler.Outcome outcome, long mark, double now) {
    Sending s = sending.remove(id);
    if (s == null) {
      return;
    }
    changesOut -= changes(s.write());
    for (Action.TaskBatchPut p : s.write().slices()) {
      Job j = world.jobs.get(p.key().job());
      if (j != null) {
        sliceAnswered(j, p, s, outcome, mark, now);
      }
    }
    for (Action.JobEnd e : s.write().ends()) {
      Job j = world.jobs.get(e.job());
      if (j == null) {
        continue;
      }
      if (outcome == Scheduler.Outcome.COMMITTED) {
        world.note(e.job() + (e.cancelled() ? " is stopped" : " is done"));
        Set<TaskBatchKey> droppedSlices = new HashSet<>();
        e.slices().forEach(d -> droppedSlices.add(d.key()));
        for (Job.Slice left : j.slices.values()) {
          if (!droppedSlices.contains(left.key) && left.mark > 0) {
            orphans.put(left.key, left.mark);
          }
        }
        forget(j, now);
        ended.accept(e, now);
      } else {
        j.ending = false;
        world.maybeOver.add(j);
      }
    }
    for (Action.TaskBatchDrop d : s.write().drops()) {
      if (outcome != Scheduler.Outcome.COMMITTED) {
        orphans.putIfAbsent(d.key(), d.mark());
      }
    }
    accountsAnswered(s.write().accounts(), outcome, mark);
    world.dirty = true;
  }

  /** What the transaction's slices say has been taken before. */
  private void accountsAnswered(
      List<AccountChange> accounts, Scheduler.Outcome outcome, long revision) {
    switch (outcome) {
      case COMMITTED -> world.admission.committed(accounts, revision);
      case REFUSED -> world.admission.refused(accounts);
      case UNKNOWN -> world.admission.unanswered(accounts);
    }
  }

  /** Counts what a slice's committed claims take, where stored limits are switched on. */
  private void track(Job j, TaskBatchKey key, TaskBatchRecord r, long mark) {
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

  private void sliceAnswered(
      Job j,
      Action.TaskBatchPut p,
      Sending sent,
      Scheduler.Outcome outcome,
      long mark,
      double now) {
    Job.Slice s = j.slices.get(p.key().index());
    s.inFlight = false;
    TaskBatchRecord stash = s.stash;
    long stashMark = s.stashMark;
    s.stash = null;
    boolean landed = outcome == Scheduler.Outcome.COMMITTED;
    if (!landed
        && outcome == Scheduler.Outcome.UNKNOWN
        && stash != null
        && stash.equals(p.record())) {
      landed = true;
      mark = stashMark;
    }
    List<Claim> claimed = sent.claimed().getOrDefault(p.key(), List.of());
    List<Claim> settled = sent.settled().getOrDefault(p.key(), List.of());
    if (landed) {
      s.record = p.record();
      s.mark = mark;
      track(j, s.key, s.record, mark);
      for (Claim c : settled) {
        settle.remove(c);
        world.remove(c, now);
        if (c.done) {
          j.doneCount++;
        } else {
          j.open.set(c.task);
          j.waitingSince = now;
        }
      }
      for (Claim c : claimed) {
        if (c.phase == Claim.Phase.CLAIMING) {
          world.held(c);
          committed.add(c);
        }
      }
    } else {
      for (Claim c : claimed) {
        world.remove(c, now);
        j.open.set(c.task);
      }
      // Settled ones stay in the settle set and are written again.
    }
    if (stash != null && stashMark > s.mark) {
      adopt(j, s, stash, stashMark, now);
    }
  }

  /** Puts new claims and settled ones into transactions, one record for each slice. */
  void write(List<Claim> claims, double now) {
    Map<Job.Slice, List<Claim>> claimed = new LinkedHashMap<>();
    for (Claim c : claims) {
      claimed.computeIfAbsent(sliceOf(c), k -> new ArrayList<>()).add(c);
    }
    Map<Job.Slice, List<Claim>> settled = settledBeside(claimed.keySet(), now);
    Set<Job.Slice> all = new LinkedHashSet<>(claimed.keySet());
    all.addAll(settled.keySet());
    TransactionPacker packer =
        new TransactionPacker(Math.max(1, world.policy.txnOps()), world.admission, this::send);
    for (Job.Slice s : all) {
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

  private static Job.Slice sliceOf(Claim c) {
    return c.job.slice(c.job.spec.sliceOf(c.task));
  }

  /** Claims that are to be ended now, with the slices that are claimed of or beside them. */
  private Map<Job.Slice, List<Claim>> settledBeside(Set<Job.Slice> claimed, double now) {
    Map<Job.Slice, List<Claim>> settled = new LinkedHashMap<>();
    int room = mostChangesOut() - changesOut - claimed.size();
    Map<Job, Boolean> whole = new HashMap<>();
    // When hundreds of machines die at once, replicas are down until their ends have committed.
    List<Claim> ends = new ArrayList<>(settle);
    ends.sort(Comparator.comparing(c -> !c.job.spec.isService()));
    for (Claim c : ends) {
      Job.Slice s = sliceOf(c);
      if (c.job.stop) {
        // The whole job ends in one write; until then a new owner asks for the proof again.
        if (!s.inFlight) {
          settle.remove(c);
          world.remove(c, now);
        }
        continue;
      }
      if (s.inFlight || c.job.ending || whole.computeIfAbsent(c.job, this::endsWhole)) {
        continue;
      }
      // Ends wait for the changes that are left beside the claims; meanwhile more of a slice's
      // tasks end, and one change says it of all.
      if (!claimed.contains(s) && !settled.containsKey(s) && room-- <= 0) {
        continue;
      }
      settled.computeIfAbsent(s, k -> new ArrayList<>()).add(c);
    }
    return settled;
  }

  /** The slice with these claims and without those, or null if nothing can be stored of it. */
  private TaskBatchChange change(Job.Slice s, List<Claim> fresh, List<Claim> done, double now) {
    if (fresh.isEmpty() && done.isEmpty()) {
      return null;
    }
    TaskBatchRecord r = s.record.copy();
    for (Claim c : done) {
      r.release(c.task - s.base, c.done);
    }
    for (Claim c : fresh) {
      r.claim(c.task - s.base, c.attempt, c.machine, c.session);
    }
    TaskBatchRecord fitting = fitting(r, world.policy.valueBytes());
    if (fitting != null) {
      return new TaskBatchChange(world.jobs.get(s.key.job()), s, fitting, fresh, done);
    }
    // Made by an earlier version for larger values. What is claimed of it ends sooner or later,
    // and then there is room in it again. What is settled stays so, and is written with what ends
    // next.
    s.fullUntil = now + Constants.FULL_SLICE_S;
    giveUp(fresh, now);
    return fresh.isEmpty() ? null : change(s, List.of(), done, now);
  }

  /** Takes claims back that were never sent. */
  private void giveUp(List<Claim> claims, double now) {
    for (Claim c : claims) {
      world.remove(c, now);
      c.job.open.set(c.task);
    }
  }

  /** Fences accounts that somebody waits for, and lowers those that reserve too much. */
  private void writeAccounts(double now) {
    if (!world.admission.enabled()) {
      return;
    }
    int most = Math.max(1, world.policy.txnOps());
    emitAccounts(world.admission.fences(most));
    emitAccounts(world.admission.releases(Math.min(most, changesLeft()), now));
  }

  private void emitAccounts(List<AccountChange> accounts) {
    if (!accounts.isEmpty()) {
      emit(
          new Action.Write(nextWrite++, List.of(), List.of(), List.of(), accounts),
          Map.of(),
          Map.of());
    }
  }

  /** The record in a form that fits a value, or null if there is none. */
  private static TaskBatchRecord fitting(TaskBatchRecord r, int valueBytes) {
    if (r.size() * Constants.SLICE_BYTES_PER_TASK <= valueBytes || r.bytes(false) <= valueBytes) {
      return r;
    }
    return r.bytes(true) <= valueBytes ? r.packedCopy() : null;
  }

  private void send(List<TaskBatchChange> changes, Set<String> teams) {
    Map<TaskBatchKey, List<Claim>> claimed = new HashMap<>();
    Map<TaskBatchKey, List<Claim>> settled = new HashMap<>();
    List<Action.TaskBatchPut> puts = new ArrayList<>();
    for (TaskBatchChange c : changes) {
      claimed.put(c.slice().key, c.claimed());
      settled.put(c.slice().key, c.settled());
      puts.add(c.put());
      c.slice().inFlight = true;
    }
    List<AccountChange> accounts = new ArrayList<>();
    teams.forEach(team -> accounts.add(world.admission.claim(team)));
    emit(
        new Action.Write(nextWrite++, List.copyOf(puts), List.of(), List.of(), accounts),
        claimed,
        settled);
  }

  private void emit(
      Action.Write w, Map<TaskBatchKey, List<Claim>> c, Map<TaskBatchKey, List<Claim>> s) {
    sending.put(w.id(), new Sending(w, c, s));
    changesOut += changes(w);
    world.out.add(w);
  }

  private static int changes(Action.Write w) {
    int n = w.slices().size() + w.drops().size();
    n += (int) w.accounts().stream().filter(AccountChange::writes).count();
    for (Action.JobEnd e : w.ends()) {
      n += 2 + e.slices().size();
    }
    return n;
  }

  /**
   * How many changes may be under way: what is sent beyond the rate only queues, and what comes
   * later and is more urgent would stand behind it.
   */
  private int mostChangesOut() {
    return Math.max(
        Constants.LEAST_CHANGES_OUT, (int) (world.policy.changesPerS() * Constants.CHANGES_OUT_S));
  }

  /** True if all that is missing to the job's end is the proof that its last tasks are done. */
  private boolean endsWhole(Job j) {
    if (j.stop || j.ending || !j.open.isEmpty()) {
      return false;
    }
    for (Claim c : j.claims.values()) {
      if (c.phase != Claim.Phase.SETTLING || !c.done) {
        return false;
      }
    }
    return true;
  }

  /** Ends jobs that are complete or stopped with nothing left, and drops slices without a job. */
  void endJobs(double now) {
    List<Job> cancelled = new ArrayList<>();
    for (Job j : new ArrayList<>(world.maybeOver)) {
      boolean over = j.stop ? j.claims.isEmpty() : endsWhole(j);
      if (!over) {
        world.maybeOver.remove(j);
      } else if (j.ending || j.slices.values().stream().anyMatch(s -> s.inFlight)) {
        continue;
      } else if (j.stop) {
        cancelled.add(j);
      } else {
        endJob(j);
      }
    }
    // Their records say already that they are cancelled, and nobody waits for their ends: hundreds
    // that go with one job that they need must not hold up the claims of others.
    for (Job j : cancelled) {
      if (cancelledEndsOut() > 0 && changesLeft() <= mostChangesOut() / 2) {
        break;
      }
      endJob(j);
    }
    dropOrphans();
  }

  private void endJob(Job j) {
    // Users wait for the end, nobody for the slices to go: in a swarm of single tasks they would
    // take as many changes again. What is left goes as soon as there is time.
    int most = Math.min(world.policy.txnOps() - 2, changesLeft() - 2);
    List<Action.TaskBatchDrop> drops = new ArrayList<>();
    for (Job.Slice s : j.slices.values()) {
      if (s.mark > 0 && drops.size() < most) {
        drops.add(new Action.TaskBatchDrop(s.key, s.mark));
      }
    }
    j.ending = true;
    Action.JobEnd e =
        new Action.JobEnd(j.spec.id(), j.mark, j.stop, j.spec.tasks(), List.copyOf(drops));
    emit(
        new Action.Write(nextWrite++, List.of(), List.of(e), List.of(), List.of()),
        Map.of(),
        Map.of());
  }

  private long cancelledEndsOut() {
    return sending.values().stream()
        .flatMap(s -> s.write().ends().stream())
        .filter(Action.JobEnd::cancelled)
        .count();
  }

  private void dropOrphans() {
    int most = Math.min(world.policy.txnOps(), changesLeft());
    if (orphans.isEmpty() || most <= 0 || orphanWriteOpen()) {
      return;
    }
    List<Action.TaskBatchDrop> drops = new ArrayList<>();
    for (var it = orphans.entrySet().iterator(); it.hasNext() && drops.size() < most; ) {
      var e = it.next();
      drops.add(new Action.TaskBatchDrop(e.getKey(), e.getValue()));
      it.remove();
    }
    emit(new Action.Write(nextWrite++, List.of(), List.of(), drops, List.of()), Map.of(), Map.of());
  }

  private boolean orphanWriteOpen() {
    return sending.values().stream().anyMatch(s -> !s.write().drops().isEmpty());
  }

  /** A job's own record has come: its slices that came first are no orphans. */
  void jobCame(String id) {
    orphans.keySet().removeIf(k -> k.job().equals(id));
  }

  /** Records that a round may change beside what is under way. */
  int changesLeft() {
    return mostChangesOut() - changesOut;
  }
}
