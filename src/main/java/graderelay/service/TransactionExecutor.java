package graderelay.service;

import graderelay.config.Settings;
import graderelay.core.Action;
import graderelay.core.Scheduler;
import graderelay.core.Scheduler.Outcome;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
import graderelay.quota.AccountChange;
import graderelay.state.Cache;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.state.StateClient.How;
import graderelay.wire.QuotaCodec;
import graderelay.wire.StateCodec;
import java.util.HashSet;
import java.util.Locale;
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

  private StateClient.Txn transaction(Action.Write write) {
    StateClient.Txn txn =
        new StateClient.Txn().when(cache.election().leaderKey(), leadership.leaderRevision());
    Set<String> conditionedJobs = new HashSet<>();
    write.taskBatches().forEach(put -> putTaskBatch(txn, put, conditionedJobs));
    write.ends().forEach(end -> endJob(txn, end));
    write.drops().forEach(drop -> dropTaskBatch(txn, drop));
    write.accounts().forEach(change -> changeAccount(txn, change));
    return txn;
  }

  /** Each job's revision is a condition once, however many of its task batches change. */
  private static void putTaskBatch(
      StateClient.Txn txn, Action.TaskBatchPut put, Set<String> conditionedJobs) {
    String key = StateCodec.taskBatchKey(put.key());
    txn.when(key, put.revision()).put(key, StateCodec.taskBatch(put.record()));
    String jobKey = StateCodec.jobKey(put.key().job());
    if (conditionedJobs.add(jobKey)) {
      txn.when(jobKey, put.jobRevision());
    }
  }

  private void endJob(StateClient.Txn txn, Action.JobEnd end) {
    String key = StateCodec.jobKey(end.job());
    txn.when(key, end.jobRevision()).drop(key);
    txn.put(
        StateCodec.endKey(end.job()), StateCodec.end(end.cancelled(), end.tasks(), loop.wallMs()));
    end.taskBatches().forEach(drop -> dropTaskBatch(txn, drop));
  }

  private static void dropTaskBatch(StateClient.Txn txn, Action.TaskBatchDrop drop) {
    String key = StateCodec.taskBatchKey(drop.key());
    txn.when(key, drop.revision()).drop(key);
  }

  private static void changeAccount(StateClient.Txn txn, AccountChange change) {
    String key = QuotaCodec.accountKey(change.team());
    txn.when(key, change.onRevision());
    if (change.writes()) {
      txn.put(key, QuotaCodec.account(change.use(), change.writer()));
    }
    if (change.dependsOnLimits()) {
      txn.when(QuotaCodec.limitKey(change.team()), change.onLimits());
    }
  }

  private void onResult(long id, StateClient.Result result) {
    if (term.isClosed()) {
      return;
    }
    metrics.count("graderelay.writes", "outcome", result.how().name().toLowerCase(Locale.ROOT));
    if (result.done()) {
      core.onWrite(id, Outcome.COMMITTED, result.revision(), loop.now());
      term.carryOut();
      term.stepSoon();
    } else if (result.how() == How.NOT_EXECUTED) {
      core.onLimits(
          state.smaller() ? leastLimits.valueBytes() : Integer.MAX_VALUE, state.leadersChanges());
      loop.after(StateClient.STATE_RETRY_S, () -> tellCore(id, Outcome.REFUSED));
    } else {
      LOG.info(
          "transaction {}: {} {}", id, result.how(), result.body() == null ? "" : result.body());
      // The records as they are now come first; the core decides on them.
      catchUpThenTellCore(id, result.how() == How.UNKNOWN ? Outcome.UNKNOWN : Outcome.REFUSED);
    }
  }

  private void catchUpThenTellCore(long id, Outcome outcome) {
    cache.catchUp(
        caughtUp -> {
          if (term.isClosed()) {
            return;
          }
          if (caughtUp) {
            tellCore(id, outcome);
          } else {
            loop.after(StateClient.STATE_RETRY_S, () -> catchUpThenTellCore(id, outcome));
          }
        });
  }

  private void tellCore(long id, Outcome outcome) {
    term.takeOutcome(now -> core.onWrite(id, outcome, 0, now));
  }
}
