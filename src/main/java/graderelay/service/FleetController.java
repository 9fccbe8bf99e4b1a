package graderelay.service;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.cloud.CloudClient;
import graderelay.config.OperatorSettings;
import graderelay.config.Settings;
import graderelay.constants.Constants;
import graderelay.core.Action;
import graderelay.core.Heartbeat;
import graderelay.core.MachineType;
import graderelay.core.Policy;
import graderelay.core.Scheduler;
import graderelay.core.Scheduler.Outcome;
import graderelay.core.Scheduler.Sent;
import graderelay.core.TaskBatchKey;
import graderelay.core.WorkerCommand;
import graderelay.features.Feature;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
import graderelay.quota.AccountChange;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.FinalStateLookup;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.state.StateClient.How;
import graderelay.wire.PeerAnswer;
import graderelay.wire.PeerRequest;
import graderelay.wire.QuotaCodec;
import graderelay.wire.StateCodec;
import graderelay.worker.WorkerClient;
import java.util.List;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The owner's duty: runs the core for one term of office and carries out what it decides. */
final class FleetController {
  private static final Logger LOG = LoggerFactory.getLogger("fleet");

  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final Leadership leadership;
  private final CloudClient cloud;
  private final WorkerClient workers;
  private final Scheduler core;
  private final long firstTerm;
  private boolean closed;
  private boolean stepping;
  private Loop.Timer stepTimer;
  private Loop.Timer tickTimer;
  private Loop.Timer listTimer;
  private boolean listed;
  private OperatorSettings operators;
  private long stale;
  private final Metrics metrics;
  private final double startedAt;
  private final Settings.StateLimits least;
  private final CancellationResolver needs;
  private final LeaderHints hints;
  private final double listLagS;

  FleetController(
      Loop loop,
      StateClient state,
      Cache cache,
      Leadership leadership,
      CloudClient cloud,
      WorkerClient workers,
      Policy policy,
      Settings settings,
      OperatorSettings operators,
      Metrics metrics,
      RandomGenerator random,
      List<MachineType> types) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.leadership = leadership;
    this.cloud = cloud;
    this.workers = workers;
    this.least = settings.least();
    this.needs =
        new CancellationResolver(cache, new FinalStateLookup(loop, state, cache, least.txnOps()));
    this.hints = new LeaderHints(state, cache, leadership, least.valueBytes());
    this.operators = operators;
    this.metrics = metrics;
    this.firstTerm = leadership.term();
    this.startedAt = loop.now();
    this.listLagS = policy.listLagS();
    this.core = new Scheduler(policy, firstTerm, leadership.process(), random, loop.now());
    core.onTypes(types);
  }

  Scheduler core() {
    return core;
  }

  /** Takes the records as they are now, which the caller has just caught up with. */
  void start() {
    double now = loop.now();
    hints.images().forEach(core::onImages);
    core.onImageParts(hints.imagePartsPerThousand());
    for (Cache.Entry e : cache.jobs().values()) {
      onJob(e);
    }
    for (Cache.Entry e : cache.jobs().values()) {
      e.slices.forEach(
          (i, s) -> core.onSlice(new TaskBatchKey(e.spec.id(), i), s.record(), s.mark(), now));
    }
    cache.looseSlices().forEach((k, s) -> core.onSlice(k, s.record(), s.mark(), now));
    JsonNode demand = hints.demand();
    if (demand != null) {
      core.onDemand(StateCodec.demand(demand, loop.wallMs()), now);
    }
    onQuota();
    core.loaded(now);
    list();
    tick();
  }

  void close() {
    closed = true;
    for (Loop.Timer t : new Loop.Timer[] {stepTimer, tickTimer, listTimer}) {
      if (t != null) {
        t.cancel();
      }
    }
  }

  // ---------------------------------------------------------------- events

  void onJob(Cache.Entry e) {
    double at = loop.now() - (loop.wallMs() - e.spec.submittedMs()) / 1000.0;
    core.onJob(e.spec, e.stop, e.mark, Math.min(at, loop.now()), loop.now());
    stepSoon();
  }

  void onCancelled(String job) {
    core.onCancelled(job, loop.now());
    stepSoon();
  }

  void onEnd(String id, Cache.End e) {
    // Records of earlier versions don't say when: then it was just now, for all that is known.
    double at = e.atMs() == 0 ? loop.now() : loop.now() - (loop.wallMs() - e.atMs()) / 1000.0;
    core.onEnd(id, e.cancelled(), at, loop.now());
    stepSoon();
  }

  private void findEnds(List<String> jobs) {
    needs.find(
        jobs,
        found -> {
          for (String id : jobs) {
            if (!closed && cache.end(id) != null) {
              onEnd(id, cache.end(id));
            }
          }
        });
  }

  void onJobGone(String id) {
    core.onJobGone(id, loop.now());
    stepSoon();
  }

  void onSlice(TaskBatchKey key, Cache.SliceEntry s) {
    core.onSlice(key, s.record(), s.mark(), loop.now());
    stepSoon();
  }

  void onSliceGone(TaskBatchKey key) {
    core.onSliceGone(key);
  }

  /** The term was raised with a change of the feature level, which may change the hints' form. */
  void onTermRaised(long term) {
    core.onTerm(term, loop.now());
    core.onImageParts(hints.imagePartsPerThousand());
    stepSoon();
  }

  /** Stored limits or accounts have changed; the slices of the same moment were told before. */
  void onQuota() {
    boolean on = cache.features().gate().enabled(Feature.STORED_LIMITS);
    core.onQuota(on ? cache.quota().asOf(cache.revisionSeen()) : null);
    stepSoon();
  }

  /** An operator wants a team's account written anew from its committed claims. */
  void replaceAccount(String team) {
    core.replaceAccount(team);
    stepSoon();
  }

  void onTypes(List<MachineType> types) {
    core.onTypes(types);
    stepSoon();
  }

  void onSettings(OperatorSettings s) {
    core.onTuning(s.tuning());
    core.onCordons(s.cordoned(), s.drained(), loop.now());
    operators = s;
    stepSoon();
  }

  /** Takes a report and returns the orders for its response; the caller has checked our hold. */
  List<WorkerCommand> onReport(Heartbeat r, String via) {
    double now = loop.now();
    boolean fresh = core.onReport(r, via, now);
    if (core.staleReports() > stale) {
      stale = core.staleReports();
      metrics.count("graderelay.dropped", "what", "stale report");
    }
    List<WorkerCommand> orders = core.ordersFor(r, now);
    if (fresh) {
      core.answered(r.machine(), now);
    }
    stepSoon();
    return orders;
  }

  /** A peer asks to be our lease delegate; the caller has checked that we may speak. */
  PeerAnswer.Grant onDeputy(PeerRequest.Delegation d) {
    double now = loop.now();
    boolean known =
        core.onDeputy(
            d.member(), d.process(), d.number(), d.grantedBy(), d.echo(), d.aloneS(), now);
    return known ? new PeerAnswer.Grant(leadership.term(), firstTerm, now) : null;
  }

  void onDeputyFree(String member, JsonNode n) {
    core.onDeputyFree(
        member,
        n.path("self").asText(),
        n.path("n").asLong(),
        n.path("of").asLong(),
        n.path("alone").asDouble(),
        loop.now());
  }

  // ---------------------------------------------------------------- time

  private void tick() {
    if (closed) {
      return;
    }
    core.tick(loop.now());
    carryOut();
    tickTimer = loop.after(Constants.TICK_S, this::tick);
  }

  /** Several events of one moment are decided on together. */
  private void stepSoon() {
    if (!stepping && !closed) {
      stepping = true;
      loop.execute(this::step);
    }
  }

  private void step() {
    stepping = false;
    if (closed) {
      return;
    }
    double wait = core.step(loop.now());
    carryOut();
    if (wait < Constants.ROUND_EVERY_S * 2 && !stepping) {
      stepping = true;
      stepTimer = loop.after(wait, this::step);
    }
  }

  private void list() {
    if (closed) {
      return;
    }
    cloud.list(
        machines -> {
          if (closed) {
            return;
          }
          if (machines != null) {
            listed = true;
            core.onList(machines, loop.now());
            core.onCordons(operators.cordoned(), operators.drained(), loop.now());
            stepSoon();
          }
          int known = machines == null ? 0 : machines.size();
          listTimer = loop.after(cloud.listEveryS(known), this::list);
        });
  }

  // ---------------------------------------------------------------- actions

  private void carryOut() {
    for (Action a : core.take()) {
      if (a instanceof Action.Note n) {
        LOG.info("{}", n.text());
      } else if (a instanceof Action.Seen seen) {
        if (seen.waitedS() >= 0) {
          metrics.span("graderelay.queue.wait", seen.waitedS());
        }
        metrics.count("graderelay.tasks", "outcome", seen.what());
      } else if (a instanceof Action.DifferenceFound d) {
        LOG.error("{}", d.difference());
        metrics.count("graderelay.quota.differences", "team", d.difference().team());
      } else if (a instanceof Action.Write w) {
        write(w);
      } else if (a instanceof Action.Command c) {
        command(c);
      } else if (a instanceof Action.Hire h) {
        hire(h);
      } else if (a instanceof Action.GiveBack g) {
        giveBack(g);
      } else if (a instanceof Action.FindEnds f) {
        findEnds(f.jobs());
      } else if (a instanceof Action.KeepDemand k) {
        hints.keepDemand(k, loop.wallMs());
      } else if (a instanceof Action.KeepImages k) {
        hints.keepImages(k);
      } else if (a instanceof Action.RaiseTerm) {
        leadership.raise(
            term -> {
              if (!closed) {
                core.onTerm(term, loop.now());
                stepSoon();
              }
            });
      }
    }
  }

  private void write(Action.Write w) {
    StateClient.Txn txn =
        new StateClient.Txn().when(cache.election().leaderKey(), leadership.ownerMark());
    java.util.Set<String> jobs = new java.util.HashSet<>();
    for (Action.TaskBatchPut p : w.slices()) {
      String key = StateCodec.sliceKey(p.key());
      txn.when(key, p.mark()).put(key, StateCodec.slice(p.record()));
      String job = StateCodec.jobKey(p.key().job());
      if (jobs.add(job)) {
        txn.when(job, p.jobMark());
      }
    }
    for (Action.JobEnd e : w.ends()) {
      String key = StateCodec.jobKey(e.job());
      txn.when(key, e.jobMark()).drop(key);
      txn.put(StateCodec.endKey(e.job()), StateCodec.end(e.cancelled(), e.tasks(), loop.wallMs()));
      for (Action.TaskBatchDrop d : e.slices()) {
        String s = StateCodec.sliceKey(d.key());
        txn.when(s, d.mark()).drop(s);
      }
    }
    for (Action.TaskBatchDrop d : w.drops()) {
      String s = StateCodec.sliceKey(d.key());
      txn.when(s, d.mark()).drop(s);
    }
    w.accounts().forEach(c -> addAccount(txn, c));
    state.commit(txn, Use.CLAIM, r -> written(w.id(), r));
  }

  private static void addAccount(StateClient.Txn txn, AccountChange c) {
    String key = QuotaCodec.accountKey(c.team());
    txn.when(key, c.onRevision());
    if (c.writes()) {
      txn.put(key, QuotaCodec.account(c.use(), c.writer()));
    }
    if (c.dependsOnLimits()) {
      txn.when(QuotaCodec.limitKey(c.team()), c.onLimits());
    }
  }

  private void written(long id, StateClient.Result r) {
    if (closed) {
      return;
    }
    metrics.count(
        "graderelay.writes", "outcome", r.how().name().toLowerCase(java.util.Locale.ROOT));
    if (r.done()) {
      core.onWrite(id, Outcome.COMMITTED, r.revision(), loop.now());
      carryOut();
      stepSoon();
    } else if (r.how() == How.NOT_EXECUTED) {
      core.onLimits(
          state.smaller() ? least.valueBytes() : Integer.MAX_VALUE, state.ownersChanges());
      loop.after(Constants.STATE_RETRY_S, () -> answer(id, Outcome.REFUSED));
    } else {
      LOG.info("transaction {}: {} {}", id, r.how(), r.body() == null ? "" : r.body());
      // The records as they are now come first; the core decides on them.
      catchUpThen(id, r.how() == How.UNKNOWN ? Outcome.UNKNOWN : Outcome.REFUSED);
    }
  }

  private void catchUpThen(long id, Outcome outcome) {
    cache.catchUp(
        ok -> {
          if (closed) {
            return;
          }
          if (ok) {
            answer(id, outcome);
          } else {
            loop.after(Constants.STATE_RETRY_S, () -> catchUpThen(id, outcome));
          }
        });
  }

  private void answer(long id, Outcome outcome) {
    if (!closed) {
      core.onWrite(id, outcome, 0, loop.now());
      stepSoon();
    }
  }

  private void command(Action.Command c) {
    if (!leadership.entitled()) {
      core.onSent(c, Sent.NEVER_LEFT, null, loop.now());
      return;
    }
    LOG.debug("to {}: {}", c.machine(), c.orders());
    workers.send(
        c,
        (how, report) -> {
          if (closed) {
            return;
          }
          metrics.count(
              "graderelay.orders", "outcome", how.name().toLowerCase(java.util.Locale.ROOT));
          if (how != Sent.EXECUTED) {
            LOG.info("orders to {} ended {}: {}", c.machine(), how, c.orders());
          }
          core.onSent(c, how, report, loop.now());
          stepSoon();
        });
  }

  private void hire(Action.Hire h) {
    boolean first = firstTerm == 1;
    // An earlier owner may have rented what we would rent now; the list shows it only later.
    if (!first && (!listed || loop.now() < startedAt + listLagS)) {
      core.onHired(h.id(), null, false, loop.now());
      return;
    }
    String name = "hire-" + firstTerm + "-" + h.id();
    LOG.info(
        "hire {} {} in {}{} as {}", h.count(), h.type(), h.zone(), h.spot() ? ", spot" : "", name);
    cloud.hire(
        name,
        h.type(),
        h.zone(),
        h.spot(),
        h.count(),
        r -> {
          if (closed) {
            return;
          }
          LOG.info("{}: {}", name, r.noCapacity() ? "no capacity" : r.names());
          core.onHired(h.id(), r.names(), r.noCapacity(), loop.now());
          stepSoon();
        });
  }

  private void giveBack(Action.GiveBack g) {
    cloud.giveBack(
        g.machines(),
        ok -> {
          if (ok && !closed) {
            core.onGivenBack(g.machines(), loop.now());
            stepSoon();
          }
        });
  }
}
