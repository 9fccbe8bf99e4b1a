package graderelay.service;

import graderelay.core.Action;
import graderelay.core.Scheduler;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.Leadership;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes the actions that the scheduler core of one {@link LeaderTerm} decides on. Store
 * transactions, worker commands and cloud requests are delegated to separate executors; log lines,
 * counters, hints, lookups of final states and term increases are handled here. Every outcome is
 * reported to the core unless the leader term has been closed in the meantime.
 */
final class LeaderActionExecutor {
  private static final Logger LOG = LoggerFactory.getLogger("fleet");

  private final LeaderTerm leaderTerm;
  private final Scheduler core;
  private final Cache cache;
  private final Leadership leadership;
  private final Metrics metrics;
  private final FailoverHints hints;
  private final CancellationResolver cancellationResolver;
  private final TransactionExecutor transactions;
  private final WorkerCommandSender workerCommands;
  private final CloudScaler cloudScaler;

  /**
   * Creates the executor of one leader term, whose scheduler core must already exist.
   *
   * @param hints stores the recent demand and the images on machines for the next leader
   * @param cancellationResolver looks up final states of jobs that are no longer cached
   * @param transactions commits the core's writes
   * @param cloudScaler creates and deletes machines in the cloud
   */
  LeaderActionExecutor(
      LeaderTerm leaderTerm,
      LeaderServices services,
      FailoverHints hints,
      CancellationResolver cancellationResolver,
      TransactionExecutor transactions,
      CloudScaler cloudScaler) {
    this.leaderTerm = leaderTerm;
    this.core = leaderTerm.core();
    this.cache = services.cache();
    this.leadership = services.leadership();
    this.metrics = services.metrics();
    this.hints = hints;
    this.cancellationResolver = cancellationResolver;
    this.transactions = transactions;
    this.workerCommands = new WorkerCommandSender(leaderTerm, services);
    this.cloudScaler = cloudScaler;
  }

  /** Executes all pending actions of the core, in the core's order. */
  void execute() {
    for (Action action : core.takeActions()) {
      execute(action);
    }
  }

  private void execute(Action action) {
    if (action instanceof Action.LogLine logLine) {
      LOG.info("{}", logLine.text());
    } else if (action instanceof Action.Warning warning) {
      LOG.warn("{}", warning.text());
    } else if (action instanceof Action.MetricEvent event) {
      recordTaskEvent(event);
    } else if (action instanceof Action.AccountDiscrepancyFound discrepancyFound) {
      LOG.error("{}", discrepancyFound.discrepancy());
      metrics.count("graderelay.quota.differences", "team", discrepancyFound.discrepancy().team());
    } else if (action instanceof Action.Write write) {
      transactions.commit(write);
    } else if (action instanceof Action.SendCommands command) {
      workerCommands.send(command);
    } else if (action instanceof Action.ScaleOut scaleOut) {
      cloudScaler.scaleOut(scaleOut);
    } else if (action instanceof Action.ScaleIn scaleIn) {
      cloudScaler.scaleIn(scaleIn);
    } else if (action instanceof Action.FetchFinalRecords fetch) {
      fetchFinalStates(fetch);
    } else if (action instanceof Action.StoreDemand demand) {
      hints.storeDemand(demand, leaderTerm.wallMs());
    } else if (action instanceof Action.StoreImages images) {
      hints.storeImages(images);
    } else if (action instanceof Action.RaiseTerm) {
      leadership.raiseTerm(raised -> leaderTerm.applyOutcome(now -> core.onTerm(raised, now)));
    }
  }

  /**
   * Counts the start or end of a task. Only the event of a start contains the time that the job
   * waited.
   */
  private void recordTaskEvent(Action.MetricEvent event) {
    if (event.waitedS() >= 0) {
      metrics.recordDuration("graderelay.queue.wait", event.waitedS());
    }
    metrics.count("graderelay.tasks", "outcome", event.event());
  }

  private void fetchFinalStates(Action.FetchFinalRecords fetch) {
    cancellationResolver.lookUpFinalStates(
        fetch.jobs(),
        results -> {
          for (String job : fetch.jobs()) {
            if (!leaderTerm.isClosed() && cache.finalState(job) != null) {
              leaderTerm.recordFeed().onFinalState(job, cache.finalState(job));
            }
          }
        });
  }
}
