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
 * Commits the core's writes as compare-and-swap transactions on the key-value store, and tells the
 * core how each of them ended.
 */
final class TransactionExecutor {
  private static final Logger LOG = LoggerFactory.getLogger("fleet");

  private final LeaderTerm term;
  private final Scheduler core;
  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final Leadership leadership;
  private final Metrics metrics;
  private final Settings.StateLimits leastLimits;

  /**
   * Makes the executor of one term, whose core exists already.
   *
   * @param leastLimits what the store allows at least, now and later
   */
  TransactionExecutor(LeaderTerm term, LeaderServices services, Settings.StateLimits leastLimits) {
    this.term = term;
    this.core = term.core();
    this.loop = services.loop();
    this.state = services.state();
    this.cache = services.cache();
    this.leadership = services.leadership();
    this.metrics = services.metrics();
    this.leastLimits = leastLimits;
  }

  /** Commits one write, conditioned on the leader record and on every record's revision. */
  void commit(Action.Write write) {
    state.commit(transaction(write), Use.CLAIM, result -> onResult(write.id(), result));
  }

  private Transaction transaction(Action.Write write) {
    Transaction txn =
        new Transaction().when(cache.election().leaderKey(), leadership.leaderRevision());
    Set<String> conditionedJobs = new HashSet<>();
    write.taskBatches().forEach(put -> putTaskBatch(txn, put, conditionedJobs));
    write.jobEnds().forEach(end -> endJob(txn, end));
    write.taskBatchDeletes().forEach(drop -> dropTaskBatch(txn, drop));
    write.accountChanges().forEach(change -> changeAccount(txn, change));
    return txn;
  }

  /** Each job's revision is a condition once, however many of its task batches change. */
  private static void putTaskBatch(
      Transaction txn, Action.TaskBatchPut put, Set<String> conditionedJobs) {
    String key = StateCodec.taskBatchKey(put.key());
    txn.when(key, put.revision()).put(key, StateCodec.encodeTaskBatch(put.record()));
    String jobKey = StateCodec.jobKey(put.key().job());
    if (conditionedJobs.add(jobKey)) {
      txn.when(jobKey, put.jobRevision());
    }
  }

  private void endJob(Transaction txn, Action.JobEnd end) {
    String key = StateCodec.jobKey(end.job());
    txn.when(key, end.jobRevision()).delete(key);
    txn.put(
        StateCodec.finalStateKey(end.job()),
        StateCodec.encodeFinalState(end.cancelled(), end.tasks(), loop.wallMs()));
    end.taskBatches().forEach(drop -> dropTaskBatch(txn, drop));
  }

  private static void dropTaskBatch(Transaction txn, Action.TaskBatchDelete drop) {
    String key = StateCodec.taskBatchKey(drop.key());
    txn.when(key, drop.revision()).delete(key);
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
    if (term.isClosed()) {
      return;
    }
    metrics.count("graderelay.writes", "outcome", result.outcome().metricLabel());
    if (result.succeeded()) {
      core.onTransactionOutcome(id, TransactionOutcome.COMMITTED, result.revision(), loop.now());
      term.carryOut();
      term.stepSoon();
    } else if (result.outcome() == StoreOutcome.NOT_EXECUTED) {
      core.onStoreLimits(
          state.hasReducedLimits() ? leastLimits.valueBytes() : Integer.MAX_VALUE,
          state.budget().leaderChangesPerS());
      loop.after(StateClient.RETRY_DELAY_S, () -> tellCore(id, TransactionOutcome.REFUSED));
    } else {
      LOG.info(
          "transaction {}: {} {}",
          id,
          result.outcome(),
          result.body() == null ? "" : result.body());
      // The records as they are now come first; the core decides on them.
      catchUpThenTellCore(
          id,
          result.outcome() == StoreOutcome.UNKNOWN
              ? TransactionOutcome.UNKNOWN
              : TransactionOutcome.REFUSED);
    }
  }

  private void catchUpThenTellCore(long id, TransactionOutcome outcome) {
    cache.catchUp(
        caughtUp -> {
          if (term.isClosed()) {
            return;
          }
          if (caughtUp) {
            tellCore(id, outcome);
          } else {
            loop.after(StateClient.RETRY_DELAY_S, () -> catchUpThenTellCore(id, outcome));
          }
        });
  }

  private void tellCore(long id, TransactionOutcome outcome) {
    term.takeOutcome(now -> core.onTransactionOutcome(id, outcome, 0, now));
  }
}
