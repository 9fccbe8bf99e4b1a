package graderelay.service;

import graderelay.cloud.CloudClient;
import graderelay.config.Settings;
import graderelay.core.Action;
import graderelay.core.CommandDelivery;
import graderelay.core.Scheduler;
import graderelay.core.TransactionOutcome;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
import graderelay.quota.AccountChange;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.state.StoreOutcome;
import graderelay.state.StoreResult;
import graderelay.state.Transaction;
import graderelay.wire.QuotaCodec;
import graderelay.wire.StateCodec;
import graderelay.worker.WorkerClient;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out what the core of one {@link LeaderTerm} decides: compare-and-swap transactions on the
 * state service, worker commands, rental requests and returns to the cloud, and the term's rise.
 * Every outcome goes back to the core; nothing is carried out once the term is closed.
 */
final class LeaderActions {
  private static final Logger LOG = LoggerFactory.getLogger("fleet");

  private final LeaderTerm term;
  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final Leadership leadership;
  private final CloudClient cloud;
  private final WorkerClient workers;
  private final Scheduler core;
  private final Metrics metrics;
  private final LeaderHints hints;
  private final CancellationResolver cancellationResolver;
  private final Settings.StateLimits stateLimits;
  private final long firstTerm;
  private final double startedAt;
  private final double listLagS;
  private boolean listed;

  /**
   * Makes the executor of one term.
   *
   * @param firstTerm the fencing token that the term was won with; it names rental requests
   * @param startedAt when the term began, in seconds of the loop's clock
   * @param listLagS how long the cloud's list of machines may lag behind a rental, in seconds
   */
  LeaderActions(
      LeaderTerm term,
      Loop loop,
      StateClient state,
      Cache cache,
      Leadership leadership,
      CloudClient cloud,
      WorkerClient workers,
      Scheduler core,
      Metrics metrics,
      LeaderHints hints,
      CancellationResolver cancellationResolver,
      Settings.StateLimits stateLimits,
      long firstTerm,
      double startedAt,
      double listLagS) {
    this.term = term;
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.leadership = leadership;
    this.cloud = cloud;
    this.workers = workers;
    this.core = core;
    this.metrics = metrics;
    this.hints = hints;
    this.cancellationResolver = cancellationResolver;
    this.stateLimits = stateLimits;
    this.firstTerm = firstTerm;
    this.startedAt = startedAt;
    this.listLagS = listLagS;
  }

  /** The cloud has listed its machines once in this term: rentals of earlier leaders show. */
  void markListed() {
    listed = true;
  }

  /** Takes every action the core has decided on and carries it out. */
  void carryOut() {
    for (Action a : core.take()) {
      if (a instanceof Action.LogLine n) {
        LOG.info("{}", n.text());
      } else if (a instanceof Action.MetricEvent seen) {
        if (seen.waitedS() >= 0) {
          metrics.span("graderelay.queue.wait", seen.waitedS());
        }
        metrics.count("graderelay.tasks", "outcome", seen.what());
      } else if (a instanceof Action.DifferenceFound d) {
        LOG.error("{}", d.difference());
        metrics.count("graderelay.quota.differences", "team", d.difference().team());
      } else if (a instanceof Action.Write w) {
        write(w);
      } else if (a instanceof Action.SendCommands c) {
        command(c);
      } else if (a instanceof Action.ScaleOut h) {
        rent(h);
      } else if (a instanceof Action.ScaleIn g) {
        scaleIn(g);
      } else if (a instanceof Action.FindEnds f) {
        findFinalStates(f);
      } else if (a instanceof Action.KeepDemand k) {
        hints.keepDemand(k, loop.wallMs());
      } else if (a instanceof Action.KeepImages k) {
        hints.keepImages(k);
      } else if (a instanceof Action.RaiseTerm) {
        raiseTerm();
      }
    }
  }

  private void raiseTerm() {
    leadership.raiseTerm(
        raised -> {
          if (!term.isClosed()) {
            core.onTerm(raised, loop.now());
            term.stepSoon();
          }
        });
  }

  private void findFinalStates(Action.FindEnds f) {
    cancellationResolver.find(
        f.jobs(),
        found -> {
          for (String id : f.jobs()) {
            if (!term.isClosed() && cache.finalState(id) != null) {
              term.onEnd(id, cache.finalState(id));
            }
          }
        });
  }

  // ---------------------------------------------------------------- state service

  /** One compare-and-swap transaction, conditioned on the leader record and every revision. */
  private void write(Action.Write w) {
    Transaction txn =
        new Transaction().when(cache.election().leaderKey(), leadership.leaderRevision());
    Set<String> jobs = new HashSet<>();
    for (Action.TaskBatchPut p : w.taskBatches()) {
      String key = StateCodec.taskBatchKey(p.key());
      txn.when(key, p.revision()).put(key, StateCodec.encodeTaskBatch(p.record()));
      String job = StateCodec.jobKey(p.key().job());
      if (jobs.add(job)) {
        txn.when(job, p.jobRevision());
      }
    }
    for (Action.JobEnd e : w.ends()) {
      String key = StateCodec.jobKey(e.job());
      txn.when(key, e.jobRevision()).delete(key);
      txn.put(
          StateCodec.finalStateKey(e.job()),
          StateCodec.encodeFinalState(e.cancelled(), e.tasks(), loop.wallMs()));
      e.taskBatches().forEach(d -> dropTaskBatch(txn, d));
    }
    w.drops().forEach(d -> dropTaskBatch(txn, d));
    w.accounts().forEach(c -> addAccount(txn, c));
    state.commit(txn, Use.CLAIM, r -> written(w.id(), r));
  }

  private static void dropTaskBatch(Transaction txn, Action.TaskBatchDrop d) {
    String key = StateCodec.taskBatchKey(d.key());
    txn.when(key, d.revision()).delete(key);
  }

  private static void addAccount(Transaction txn, AccountChange c) {
    String key = QuotaCodec.accountKey(c.team());
    txn.when(key, c.onRevision());
    if (c.writes()) {
      txn.put(key, QuotaCodec.encodeAccount(c.use(), c.writer()));
    }
    if (c.dependsOnLimits()) {
      txn.when(QuotaCodec.limitKey(c.team()), c.onLimits());
    }
  }

  private void written(long id, StoreResult r) {
    if (term.isClosed()) {
      return;
    }
    metrics.count("graderelay.writes", "outcome", r.outcome().metricLabel());
    if (r.succeeded()) {
      core.onWrite(id, TransactionOutcome.COMMITTED, r.revision(), loop.now());
      carryOut();
      term.stepSoon();
    } else if (r.outcome() == StoreOutcome.NOT_EXECUTED) {
      core.onLimits(
          state.limitsReduced() ? stateLimits.valueBytes() : Integer.MAX_VALUE,
          state.budget().leaderChangesPerS());
      loop.after(StateClient.STATE_RETRY_S, () -> tellOutcome(id, TransactionOutcome.REFUSED));
    } else {
      LOG.info("transaction {}: {} {}", id, r.outcome(), r.body() == null ? "" : r.body());
      // The records as they are now come first; the core decides on them.
      catchUpThenTell(
          id,
          r.outcome() == StoreOutcome.UNKNOWN
              ? TransactionOutcome.UNKNOWN
              : TransactionOutcome.REFUSED);
    }
  }

  private void catchUpThenTell(long id, TransactionOutcome outcome) {
    cache.catchUp(
        ok -> {
          if (term.isClosed()) {
            return;
          }
          if (ok) {
            tellOutcome(id, outcome);
          } else {
            loop.after(StateClient.STATE_RETRY_S, () -> catchUpThenTell(id, outcome));
          }
        });
  }

  private void tellOutcome(long id, TransactionOutcome outcome) {
    if (!term.isClosed()) {
      core.onWrite(id, outcome, 0, loop.now());
      term.stepSoon();
    }
  }

  // ---------------------------------------------------------------- workers

  private void command(Action.SendCommands c) {
    if (!leadership.mayActAsLeader()) {
      core.onCommandDelivery(c, CommandDelivery.NEVER_LEFT, null, loop.now());
      return;
    }
    LOG.debug("to {}: {}", c.machine(), c.commands());
    workers.send(
        c,
        (how, report) -> {
          if (term.isClosed()) {
            return;
          }
          metrics.count("graderelay.orders", "outcome", how.name().toLowerCase(Locale.ROOT));
          if (how != CommandDelivery.EXECUTED) {
            LOG.info("orders to {} ended {}: {}", c.machine(), how, c.commands());
          }
          core.onCommandDelivery(c, how, report, loop.now());
          term.stepSoon();
        });
  }

  // ---------------------------------------------------------------- cloud

  private void rent(Action.ScaleOut h) {
    boolean first = firstTerm == 1;
    // An earlier leader may have rented what we would rent now; the list shows it only later.
    if (!first && (!listed || loop.now() < startedAt + listLagS)) {
      core.onScaleOutAnswered(h.id(), null, false, loop.now());
      return;
    }
    String name = "hire-" + firstTerm + "-" + h.id();
    LOG.info(
        "hire {} {} in {}{} as {}", h.count(), h.type(), h.zone(), h.spot() ? ", spot" : "", name);
    cloud.scaleOut(
        name,
        h.type(),
        h.zone(),
        h.spot(),
        h.count(),
        r -> {
          if (term.isClosed()) {
            return;
          }
          LOG.info("{}: {}", name, r.noCapacity() ? "no capacity" : r.names());
          core.onScaleOutAnswered(h.id(), r.names(), r.noCapacity(), loop.now());
          term.stepSoon();
        });
  }

  private void scaleIn(Action.ScaleIn g) {
    cloud.scaleIn(
        g.machines(),
        ok -> {
          if (ok && !term.isClosed()) {
            core.onScaledIn(g.machines(), loop.now());
            term.stepSoon();
          }
        });
  }
}
