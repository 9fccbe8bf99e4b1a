package graderelay.core;

import graderelay.quota.AccountChange;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The compare-and-swap transactions that have been sent and not yet answered, and how many changes
 * they hold: the rate of the consensus-backed store bounds what may be under way.
 */
final class TransactionsInFlight {
  /** Seconds' worth of changes that may be under way to the state service at once. */
  private static final double CHANGES_OUT_S = 0.4;

  /** Changes that may be under way in any case: a round trip must not leave the rate unused. */
  private static final int LEAST_CHANGES_OUT = 4;

  private final ClusterState cluster;

  /** What a transaction under way contains. */
  record Sending(
      Action.Write write,
      Map<TaskBatchKey, List<Claim>> claimed,
      Map<TaskBatchKey, List<Claim>> settled) {}

  private final Map<Long, Sending> sending = new HashMap<>();

  private long nextWrite = 1;

  /** Changes in transactions that have not been answered. */
  private int changesOut;

  TransactionsInFlight(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** The id of the next transaction. */
  long nextId() {
    return nextWrite++;
  }

  /** The transaction {@code id} was answered: what it contained, or null if it is not ours. */
  Sending answered(long id) {
    Sending s = sending.remove(id);
    if (s != null) {
      changesOut -= changes(s.write());
    }
    return s;
  }

  /** Sends a transaction and keeps what it contains until its answer comes. */
  void emit(Action.Write w, Map<TaskBatchKey, List<Claim>> c, Map<TaskBatchKey, List<Claim>> s) {
    sending.put(w.id(), new Sending(w, c, s));
    changesOut += changes(w);
    cluster.actions.add(w);
  }

  private static int changes(Action.Write w) {
    int n = w.taskBatches().size() + w.drops().size();
    n += (int) w.accounts().stream().filter(AccountChange::writes).count();
    for (Action.JobEnd e : w.ends()) {
      n += 2 + e.taskBatches().size();
    }
    return n;
  }

  /**
   * How many changes may be under way: what is sent beyond the rate only queues, and what comes
   * later and is more urgent would stand behind it.
   */
  int mostChangesOut() {
    return Math.max(LEAST_CHANGES_OUT, (int) (cluster.policy.changesPerS() * CHANGES_OUT_S));
  }

  /** Records that a round may change beside what is under way. */
  int changesLeft() {
    return mostChangesOut() - changesOut;
  }

  /** Transactions under way that end a cancelled job. */
  long cancelledEndsOut() {
    return sending.values().stream()
        .flatMap(s -> s.write().ends().stream())
        .filter(Action.JobEnd::cancelled)
        .count();
  }

  /** True if a transaction that drops records without a job is under way. */
  boolean orphanWriteOpen() {
    return sending.values().stream().anyMatch(s -> !s.write().drops().isEmpty());
  }
}
