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
  /** Seconds' worth of changes that may be under way to the key-value store at once. */
  private static final double CHANGES_OUT_S = 0.4;

  /** Changes that may be under way in any case: a round trip must not leave the rate unused. */
  private static final int LEAST_CHANGES_OUT = 4;

  private final ClusterState cluster;

  /**
   * A transaction under way.
   *
   * @param claimed the claims that it adds, by task batch
   * @param ended the claims that it ends, by task batch
   */
  record Transaction(
      Action.Write write,
      Map<TaskBatchKey, List<Claim>> claimed,
      Map<TaskBatchKey, List<Claim>> ended) {}

  private final Map<Long, Transaction> byId = new HashMap<>();

  private long nextId = 1;

  /** Changes in transactions that have not been answered. */
  private int changesOut;

  TransactionsInFlight(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** The id of the next transaction. */
  long nextId() {
    return nextId++;
  }

  /** The transaction {@code id} was answered: what it contained, or null if it is not ours. */
  Transaction takeAnswered(long id) {
    Transaction transaction = byId.remove(id);
    if (transaction != null) {
      changesOut -= changes(transaction.write());
    }
    return transaction;
  }

  /** Sends a transaction that adds and ends claims, and keeps it until its answer comes. */
  void send(
      Action.Write write,
      Map<TaskBatchKey, List<Claim>> claimed,
      Map<TaskBatchKey, List<Claim>> ended) {
    byId.put(write.id(), new Transaction(write, claimed, ended));
    changesOut += changes(write);
    cluster.actions.add(write);
  }

  /** Sends a transaction that changes no task batch, and keeps it until its answer comes. */
  void send(Action.Write write) {
    send(write, Map.of(), Map.of());
  }

  private static int changes(Action.Write write) {
    int changes = write.taskBatches().size() + write.taskBatchDeletes().size();
    changes += (int) write.accountChanges().stream().filter(AccountChange::writes).count();
    for (Action.JobEnd end : write.jobEnds()) {
      changes += 2 + end.taskBatches().size();
    }
    return changes;
  }

  /**
   * How many changes may be under way: what is sent beyond the rate only queues, and what comes
   * later and is more urgent would queue behind it.
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
    return byId.values().stream()
        .flatMap(transaction -> transaction.write().jobEnds().stream())
        .filter(Action.JobEnd::cancelled)
        .count();
  }

  /** True if a transaction that drops records without a job is under way. */
  boolean orphanWriteOpen() {
    return byId.values().stream().anyMatch(t -> !t.write().taskBatchDeletes().isEmpty());
  }
}
