package graderelay.core;

import graderelay.quota.AccountChange;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The compare-and-swap transactions that have been sent and await a response, and the number of
 * their changes, which is bounded by the write rate of the consensus-backed store.
 */
final class TransactionsInFlight {
  /** Upper bound on the changes in flight, in seconds of the key-value store's write rate. */
  private static final double MAX_IN_FLIGHT_S = 0.4;

  /** Changes allowed in flight at any rate, so that the store is not idle during a round trip. */
  private static final int MIN_CHANGES_IN_FLIGHT = 4;

  private final ClusterState cluster;

  /**
   * A transaction in flight.
   *
   * @param claimed the claims that it adds, by task batch
   * @param ended the claims that it ends, by task batch
   */
  record Transaction(
      Action.Write write,
      Map<TaskBatchKey, List<Claim>> claimed,
      Map<TaskBatchKey, List<Claim>> ended) {}

  private final Map<Long, Transaction> transactionsById = new HashMap<>();

  private long nextId = 1;

  /** Number of changes in the transactions in flight. */
  private int changesInFlight;

  TransactionsInFlight(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Returns a new transaction id. */
  long nextId() {
    return nextId++;
  }

  /** Removes and returns the completed transaction {@code id}, or null if it is not in flight. */
  Transaction removeCompleted(long id) {
    Transaction transaction = transactionsById.remove(id);
    if (transaction != null) {
      changesInFlight -= countChanges(transaction.write());
    }
    return transaction;
  }

  /** Sends a transaction that adds and ends claims; it stays in flight until its response. */
  void send(
      Action.Write write,
      Map<TaskBatchKey, List<Claim>> claimed,
      Map<TaskBatchKey, List<Claim>> ended) {
    transactionsById.put(write.id(), new Transaction(write, claimed, ended));
    changesInFlight += countChanges(write);
    cluster.actions.add(write);
  }

  /** Sends a transaction without claims; it stays in flight until its response. */
  void send(Action.Write write) {
    send(write, Map.of(), Map.of());
  }

  private static int countChanges(Action.Write write) {
    int changes = write.taskBatches().size() + write.taskBatchDeletes().size();
    changes += (int) write.accountChanges().stream().filter(AccountChange::writes).count();
    for (Action.JobEnd end : write.jobEnds()) {
      changes += 2 + end.taskBatches().size();
    }
    return changes;
  }

  /**
   * Returns the maximum number of changes in flight. Changes beyond the store's write rate would
   * only queue there, and more urgent ones that come later would queue behind them.
   */
  int maxChangesInFlight() {
    return Math.max(MIN_CHANGES_IN_FLIGHT, (int) (cluster.policy.changesPerS() * MAX_IN_FLIGHT_S));
  }

  /** Returns how many more changes may be sent now. */
  int remainingChanges() {
    return maxChangesInFlight() - changesInFlight;
  }

  /** Returns the number of cancelled jobs whose final records are in flight. */
  long cancelledEndsInFlight() {
    return transactionsById.values().stream()
        .flatMap(transaction -> transaction.write().jobEnds().stream())
        .filter(Action.JobEnd::cancelled)
        .count();
  }

  /** True if a transaction that deletes records without a job is in flight. */
  boolean isOrphanWriteInFlight() {
    return transactionsById.values().stream()
        .anyMatch(transaction -> !transaction.write().taskBatchDeletes().isEmpty());
  }
}
