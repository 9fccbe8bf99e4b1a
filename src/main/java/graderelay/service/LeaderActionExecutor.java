package graderelay.service;

import graderelay.core.Action;
import graderelay.core.Scheduler;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.Leadership;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out what the core of one {@link LeaderTerm} decides. Store transactions, worker commands
 * and cloud requests have executors of their own; log lines, counters, hints, look-ups and the
 * raising of the term are done here. Every outcome goes back to the core, unless the term has been
 * closed meanwhile.
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
   * Makes the executor of one term, whose core exists already.
   *
   * @param hints where recent demand and images on machines are kept for the next leader
   * @param cancellationResolver looks up final states of jobs that are no longer cached
   * @param transactions commits the core's writes
   * @param cloudScaler asks the cloud for machines and returns them
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

  /** Takes every action the core has decided on and carries it out, in the core's order. */
  void execute() {
    for (Action action : core.takeActions()) {
      execute(action);
    }
  }

  private void execute(Action action) {
    if (action instanceof Action.LogLine logLine) {
      LOG.info("{}", logLine.text());
    } else if (action instanceof Action.MetricEvent event) {
      recordTaskEvent(event);
    } else if (action instanceof Action.AccountDiscrepancyFound results) {
      LOG.error("{}", results.discrepancy());
      metrics.count("graderelay.quota.differences", "team", results.discrepancy().team());
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

  /** Counts a start or an end of a task; only a start tells how long its job waited. */
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
