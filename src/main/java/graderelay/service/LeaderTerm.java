package graderelay.service;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.cloud.CloudClient;
import graderelay.config.OperatorSettings;
import graderelay.config.Settings;
import graderelay.core.Heartbeat;
import graderelay.core.MachineType;
import graderelay.core.Policy;
import graderelay.core.Scheduler;
import graderelay.core.SchedulerLimits;
import graderelay.core.TaskBatchKey;
import graderelay.core.WorkerCommand;
import graderelay.features.Feature;
import graderelay.net.Loop;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.FinalStateLookup;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.wire.PeerAnswer;
import graderelay.wire.PeerRequest;
import graderelay.wire.StateCodec;
import graderelay.worker.WorkerClient;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The leader's duty for one term of office: feeds the core scheduler with the records, heartbeats
 * and the cloud's list, steps it, and has {@link LeaderActions} carry out what it decides. Made
 * when the term is won and the records are caught up with; closed on failover.
 */
final class LeaderTerm {
  private final Loop loop;
  private final Cache cache;
  private final CloudClient cloud;
  private final Leadership leadership;
  private final Scheduler core;
  private final LeaderHints hints;
  private final LeaderActions actions;
  private final Metrics metrics;
  private final long firstTerm;
  private boolean closed;
  private boolean stepping;
  private Loop.Timer stepTimer;
  private Loop.Timer tickTimer;
  private Loop.Timer listTimer;
  private OperatorSettings operators;
  private long staleHeartbeats;

  LeaderTerm(
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
    this.cache = cache;
    this.cloud = cloud;
    this.leadership = leadership;
    Settings.StateLimits least = settings.least();
    CancellationResolver cancellationResolver =
        new CancellationResolver(cache, new FinalStateLookup(loop, state, cache, least.txnOps()));
    this.hints = new LeaderHints(state, cache, leadership, least.valueBytes());
    this.operators = operators;
    this.metrics = metrics;
    this.firstTerm = leadership.term();
    double startedAt = loop.now();
    this.core = new Scheduler(policy, firstTerm, leadership.process(), random, loop.now());
    core.onTypes(types);
    this.actions =
        new LeaderActions(
            this,
            loop,
            state,
            cache,
            leadership,
            cloud,
            workers,
            core,
            metrics,
            hints,
            cancellationResolver,
            least,
            firstTerm,
            startedAt,
            policy.listLagS());
  }

  Scheduler core() {
    return core;
  }

  boolean isClosed() {
    return closed;
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
      e.taskBatches.forEach(
          (i, s) ->
              core.onTaskBatch(new TaskBatchKey(e.spec.id(), i), s.record(), s.revision(), now));
    }
    cache.looseBatches().forEach((k, s) -> core.onTaskBatch(k, s.record(), s.revision(), now));
    JsonNode demand = hints.demand();
    if (demand != null) {
      core.onDemand(StateCodec.decodeDemand(demand, loop.wallMs()), now);
    }
    onQuota();
    core.loaded(now);
    listMachines();
    tick();
  }

  /** Ends the term: no timer fires and no outcome is taken any more. */
  void close() {
    closed = true;
    for (Loop.Timer t : new Loop.Timer[] {stepTimer, tickTimer, listTimer}) {
      if (t != null) {
        t.cancel();
      }
    }
  }

  // ---------------------------------------------------------------- records

  void onJob(Cache.Entry e) {
    double at = loop.now() - (loop.wallMs() - e.spec.submittedMs()) / 1000.0;
    core.onJob(e.spec, e.stop, e.revision, Math.min(at, loop.now()), loop.now());
    stepSoon();
  }

  void onCancelled(String job) {
    core.onCancelled(job, loop.now());
    stepSoon();
  }

  /** A job's final state is known. */
  void onEnd(String id, Cache.End e) {
    // Records of earlier versions don't say when: then it was just now, for all that is known.
    double at = e.atMs() == 0 ? loop.now() : loop.now() - (loop.wallMs() - e.atMs()) / 1000.0;
    core.onEnd(id, e.cancelled(), at, loop.now());
    stepSoon();
  }

  void onJobGone(String id) {
    core.onJobGone(id, loop.now());
    stepSoon();
  }

  void onTaskBatch(TaskBatchKey key, Cache.TaskBatchEntry s) {
    core.onTaskBatch(key, s.record(), s.revision(), loop.now());
    stepSoon();
  }

  void onTaskBatchGone(TaskBatchKey key) {
    core.onTaskBatchGone(key);
  }

  /** The term was raised with a change of the feature level, which may change the hints' form. */
  void onTermRaised(long term) {
    core.onTerm(term, loop.now());
    core.onImageParts(hints.imagePartsPerThousand());
    stepSoon();
  }

  /**
   * Stored limits or accounts have changed; the task batches of the same moment were told before.
   */
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

  /** The operators' settings changed: tuning, cordons and graceful evictions. */
  void onSettings(OperatorSettings s) {
    core.onTuning(s.tuning());
    core.onCordons(s.cordoned(), s.drained(), loop.now());
    operators = s;
    stepSoon();
  }

  // ---------------------------------------------------------------- heartbeats and peers

  /**
   * Takes a heartbeat and returns the worker commands for its response; the caller has checked our
   * session lease.
   */
  List<WorkerCommand> onReport(Heartbeat r, String via) {
    double now = loop.now();
    boolean fresh = core.onReport(r, via, now);
    if (core.staleReports() > staleHeartbeats) {
      staleHeartbeats = core.staleReports();
      metrics.count("graderelay.dropped", "what", "stale report");
    }
    List<WorkerCommand> orders = core.ordersFor(r, now);
    if (fresh) {
      core.answered(r.machine(), now);
    }
    stepSoon();
    return orders;
  }

  /**
   * A peer asks to be our lease delegate; the caller has checked that we may speak. Null if the
   * core does not know the peer's incarnation.
   */
  PeerAnswer.Grant grantLeaseDelegation(PeerRequest.Delegation d) {
    double now = loop.now();
    boolean known =
        core.onDelegate(
            d.member(), d.process(), d.number(), d.grantedBy(), d.echo(), d.aloneS(), now);
    return known ? new PeerAnswer.Grant(leadership.term(), firstTerm, now) : null;
  }

  /** A lease delegate's record was released. */
  void onLeaseDelegateFreed(String member, JsonNode n) {
    StateCodec.DelegateRelease release = StateCodec.decodeDelegateRelease(n);
    core.onDelegateReleased(
        member,
        release.incarnation(),
        release.releasedUpTo(),
        release.grantedBy(),
        release.aloneS(),
        loop.now());
  }

  // ---------------------------------------------------------------- time

  private void tick() {
    if (closed) {
      return;
    }
    core.tick(loop.now());
    actions.carryOut();
    tickTimer = loop.after(ControllerNode.TICK_S, this::tick);
  }

  /** Several events of one moment are decided on together. */
  void stepSoon() {
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
    actions.carryOut();
    if (wait < SchedulerLimits.ROUND_EVERY_S * 2 && !stepping) {
      stepping = true;
      stepTimer = loop.after(wait, this::step);
    }
  }

  private void listMachines() {
    if (closed) {
      return;
    }
    cloud.list(
        machines -> {
          if (closed) {
            return;
          }
          if (machines != null) {
            actions.markListed();
            core.onList(machines, loop.now());
            core.onCordons(operators.cordoned(), operators.drained(), loop.now());
            stepSoon();
          }
          int known = machines == null ? 0 : machines.size();
          listTimer = loop.after(cloud.listEveryS(known), this::listMachines);
        });
  }
}
