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
final class LeaderActions {
  private static final Logger LOG = LoggerFactory.getLogger("fleet");

  private final LeaderTerm term;
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
  LeaderActions(
      LeaderTerm term,
      LeaderServices services,
      FailoverHints hints,
      CancellationResolver cancellationResolver,
      TransactionExecutor transactions,
      CloudScaler cloudScaler) {
    this.term = term;
    this.core = term.core();
    this.cache = services.cache();
    this.leadership = services.leadership();
    this.metrics = services.metrics();
    this.hints = hints;
    this.cancellationResolver = cancellationResolver;
    this.transactions = transactions;
    this.workerCommands = new WorkerCommandSender(term, services);
    this.cloudScaler = cloudScaler;
  }

  /** Takes every action the core has decided on and carries it out, in the core's order. */
  void carryOut() {
    for (Action action : core.takeActions()) {
      carryOut(action);
    }
  }

  private void carryOut(Action action) {
    if (action instanceof Action.LogLine note) {
      LOG.info("{}", note.text());
    } else if (action instanceof Action.MetricEvent seen) {
      countTask(seen);
    } else if (action instanceof Action.AccountDiscrepancyFound found) {
      LOG.error("{}", found.discrepancy());
      metrics.count("graderelay.quota.differences", "team", found.discrepancy().team());
    } else if (action instanceof Action.Write write) {
      transactions.commit(write);
    } else if (action instanceof Action.SendCommands command) {
      workerCommands.send(command);
    } else if (action instanceof Action.ScaleOut scaleOut) {
      cloudScaler.scaleOut(scaleOut);
    } else if (action instanceof Action.ScaleIn scaleIn) {
      cloudScaler.scaleIn(scaleIn);
    } else if (action instanceof Action.FetchFinalRecords find) {
      findFinalStates(find);
    } else if (action instanceof Action.StoreDemand demand) {
      hints.keepDemand(demand, term.wallMs());
    } else if (action instanceof Action.StoreImages images) {
      hints.keepImages(images);
    } else if (action instanceof Action.RaiseTerm) {
      leadership.raiseTerm(raised -> term.takeOutcome(now -> core.onTerm(raised, now)));
    }
  }

  /** Counts a start or an end of a task; only a start tells how long its job waited. */
  private void countTask(Action.MetricEvent seen) {
    if (seen.waitedS() >= 0) {
      metrics.span("graderelay.queue.wait", seen.waitedS());
    }
    metrics.count("graderelay.tasks", "outcome", seen.event());
  }

  private void findFinalStates(Action.FetchFinalRecords find) {
    cancellationResolver.lookUpFinalStates(
        find.jobs(),
        found -> {
          for (String job : find.jobs()) {
            if (!term.isClosed() && cache.finalState(job) != null) {
              term.records().onEnd(job, cache.finalState(job));
            }
          }
        });
  }
}
