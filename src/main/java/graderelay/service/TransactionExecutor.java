package graderelay.service;

import graderelay.config.Settings;
import graderelay.core.Action;
import graderelay.core.Scheduler;
import graderelay.core.TransactionOutcome;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
import graderelay.quota.AccountChange;
import graderelay.state.Cache;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.state.StoreOutcome;
import graderelay.state.StoreResult;
import graderelay.state.Transaction;
import graderelay.wire.QuotaCodec;
import graderelay.wire.StateCodec;
import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits the scheduler core's writes as compare-and-swap transactions on the key-value store, and
 * reports the outcome of each to the core.
 */
final class TransactionExecutor {
  private static final Logger LOG = LoggerFactory.getLogger("fleet");

  private final LeaderTerm leaderTerm;
  private final Scheduler core;
  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final Leadership leadership;
  private final Metrics metrics;
  private final Settings.StateLimits minimumLimits;

  /**
   * Creates the executor of one leader term, whose scheduler core must already exist.
   *
   * @param minimumLimits the lowest limits that the key-value store has, now or in the future
   */
  TransactionExecutor(
      LeaderTerm leaderTerm, LeaderServices services, Settings.StateLimits minimumLimits) {
    this.leaderTerm = leaderTerm;
    this.core = leaderTerm.core();
    this.loop = services.loop();
    this.state = services.state();
    this.cache = services.cache();
    this.leadership = services.leadership();
    this.metrics = services.metrics();
    this.minimumLimits = minimumLimits;
  }

  /**
   * Commits one write on condition that the leader record and the revision of every changed record
   * are unchanged.
   */
  void commit(Action.Write write) {
    state.commit(newTransaction(write), Use.CLAIM, result -> onResult(write.id(), result));
  }

  private Transaction newTransaction(Action.Write write) {
    Transaction txn =
        new Transaction().when(cache.election().leaderKey(), leadership.leaderRevision());
    Set<String> conditionedJobs = new HashSet<>();
    write.taskBatches().forEach(put -> putTaskBatch(txn, put, conditionedJobs));
    write.jobEnds().forEach(jobEnd -> endJob(txn, jobEnd));
    write.taskBatchDeletes().forEach(deletion -> deleteTaskBatch(txn, deletion));
    write.accountChanges().forEach(change -> changeAccount(txn, change));
    return txn;
  }

  /**
   * Adds the change of one task batch, and a condition on the job's revision unless the transaction
   * already has it.
   */
  private static void putTaskBatch(
      Transaction txn, Action.TaskBatchPut put, Set<String> conditionedJobs) {
    String key = StateCodec.taskBatchKey(put.key());
    txn.when(key, put.revision()).put(key, StateCodec.encodeTaskBatch(put.record()));
    String jobKey = StateCodec.jobKey(put.key().job());
    if (conditionedJobs.add(jobKey)) {
      txn.when(jobKey, put.jobRevision());
    }
  }

  private void endJob(Transaction txn, Action.JobEnd jobEnd) {
    String key = StateCodec.jobKey(jobEnd.job());
    txn.when(key, jobEnd.jobRevision()).delete(key);
    txn.put(
        StateCodec.finalStateKey(jobEnd.job()),
        StateCodec.encodeFinalState(jobEnd.cancelled(), jobEnd.tasks(), loop.wallMs()));
    jobEnd.taskBatches().forEach(deletion -> deleteTaskBatch(txn, deletion));
  }

  private static void deleteTaskBatch(Transaction txn, Action.TaskBatchDelete deletion) {
    String key = StateCodec.taskBatchKey(deletion.key());
    txn.when(key, deletion.revision()).delete(key);
  }

  private static void changeAccount(Transaction txn, AccountChange change) {
    String key = QuotaCodec.accountKey(change.team());
    txn.when(key, change.expectedRevision());
    if (change.writes()) {
      txn.put(key, QuotaCodec.encodeAccount(change.use(), change.writeId()));
    }
    if (change.dependsOnLimits()) {
      txn.when(QuotaCodec.limitKey(change.team()), change.expectedLimitsRevision());
    }
  }

  private void onResult(long id, StoreResult result) {
    if (leaderTerm.isClosed()) {
      return;
    }
    metrics.count("graderelay.writes", "outcome", result.outcome().metricLabel());
    if (result.succeeded()) {
      core.onTransactionOutcome(id, TransactionOutcome.COMMITTED, result.revision(), loop.now());
      leaderTerm.executeActions();
      leaderTerm.scheduleStep();
    } else if (result.outcome() == StoreOutcome.NOT_EXECUTED) {
      core.onStoreLimits(
          state.hasReducedLimits() ? minimumLimits.valueBytes() : Integer.MAX_VALUE,
          state.budget().leaderChangesPerS());
      loop.after(StateClient.RETRY_DELAY_S, () -> reportOutcome(id, TransactionOutcome.REFUSED));
    } else {
      LOG.info(
          "transaction {} had outcome {}: {}",
          id,
          result.outcome(),
          result.body() == null ? "" : result.body());
      // The cache catches up first, so that the core decides on the current records.
      catchUpThenReportOutcome(
          id,
          result.outcome() == StoreOutcome.UNKNOWN
              ? TransactionOutcome.UNKNOWN
              : TransactionOutcome.REFUSED);
    }
  }

  private void catchUpThenReportOutcome(long id, TransactionOutcome outcome) {
    cache.catchUp(
        caughtUp -> {
          if (leaderTerm.isClosed()) {
            return;
          }
          if (caughtUp) {
            reportOutcome(id, outcome);
          } else {
            loop.after(StateClient.RETRY_DELAY_S, () -> catchUpThenReportOutcome(id, outcome));
          }
        });
  }

  private void reportOutcome(long id, TransactionOutcome outcome) {
    leaderTerm.applyOutcome(now -> core.onTransactionOutcome(id, outcome, 0, now));
  }
}
