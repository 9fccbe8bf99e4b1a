package graderelay.service;

import graderelay.cloud.CloudClient;
import graderelay.config.OperatorSettings;
import graderelay.config.Settings;
import graderelay.core.Heartbeat;
import graderelay.core.MachineType;
import graderelay.core.Policy;
import graderelay.core.Scheduler;
import graderelay.core.SchedulerLimits;
import graderelay.core.WorkerCommand;
import graderelay.net.Loop;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.FinalStateLookup;
import graderelay.state.Leadership;
import graderelay.wire.PeerAnswer;
import graderelay.wire.PeerRequest;
import java.util.List;
import java.util.function.DoubleConsumer;
import java.util.random.RandomGenerator;

/**
 * One term of this controller's leadership: feeds the core scheduler with heartbeats, the cloud's
 * list and, through {@link TermRecords}, the stored records; steps it, and has {@link
 * LeaderActions} carry out what it decides. Made when the term is won and the records are caught up
 * with; closed on failover.
 */
final class LeaderTerm {
  private final Loop loop;
  private final CloudClient cloud;
  private final Leadership leadership;
  private final Scheduler core;
  private final FailoverHints hints;
  private final TermRecords records;
  private final CloudScaler cloudScaler;
  private final LeaderActions actions;
  private final Metrics metrics;

  /** The fencing token that the term was won with; it may be raised later. */
  private final long firstToken;

  private boolean closed;
  private boolean stepping;
  private Loop.Timer stepTimer;
  private Loop.Timer tickTimer;
  private Loop.Timer listTimer;
  private OperatorSettings operators;
  private long staleHeartbeats;

  /**
   * Makes a term that begins now; nothing runs before {@link #start}.
   *
   * @param leastLimits what the key-value store allows at least, now and later
   * @param operators the operators' settings as stored now
   * @param types the machine types that the cloud has listed
   */
  LeaderTerm(
      LeaderServices services,
      Policy policy,
      Settings.StoreLimits leastLimits,
      OperatorSettings operators,
      RandomGenerator random,
      List<MachineType> types) {
    this.loop = services.loop();
    this.cloud = services.cloud();
    this.leadership = services.leadership();
    this.metrics = services.metrics();
    this.operators = operators;
    this.firstToken = leadership.term();
    final double startedAt = loop.now();
    this.core = new Scheduler(policy, firstToken, leadership.incarnation(), random, loop.now());
    core.onMachineTypes(types);
    Cache cache = services.cache();
    this.hints = new FailoverHints(services.state(), cache, leadership, leastLimits.valueBytes());
    this.records = new TermRecords(loop, cache, core, hints, this::stepSoon);
    this.cloudScaler = new CloudScaler(this, services, firstToken, startedAt, policy.listLagS());
    FinalStateLookup finalStates =
        new FinalStateLookup(loop, services.state(), cache, leastLimits.txnOps());
    this.actions =
        new LeaderActions(
            this,
            services,
            hints,
            new CancellationResolver(cache, finalStates),
            new TransactionExecutor(this, services, leastLimits),
            cloudScaler);
  }

  Scheduler core() {
    return core;
  }

  /** What passes the stored records on to the core. */
  TermRecords records() {
    return records;
  }

  /** The time of day, in milliseconds since the epoch. */
  long wallMs() {
    return loop.wallClockMs();
  }

  boolean isClosed() {
    return closed;
  }

  /** Takes the records as they are now, which the caller has just caught up with. */
  void start() {
    records.load();
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

  // ---------------------------------------------------------------- outcomes of actions

  /** Carries out what the core has decided on so far, without waiting for its next step. */
  void carryOut() {
    actions.carryOut();
  }

  /**
   * Passes an action's outcome to the core, which then steps soon; passed over once the term is
   * closed.
   *
   * @param outcome takes the loop's time in seconds
   */
  void takeOutcome(DoubleConsumer outcome) {
    if (!closed) {
      outcome.accept(loop.now());
      stepSoon();
    }
  }

  // ---------------------------------------------------------------- term, quota and settings

  /** The term was raised with a change of the feature level, which may change the hints' form. */
  void onTermRaised(long term) {
    core.onTerm(term, loop.now());
    core.onImageShards(hints.imagePartsPerThousand());
    stepSoon();
  }

  /** An operator wants a team's account written anew from its committed claims. */
  void replaceAccount(String team) {
    core.replaceAccount(team);
    stepSoon();
  }

  /** The cloud has listed its machine types anew. */
  void onTypes(List<MachineType> types) {
    core.onMachineTypes(types);
    stepSoon();
  }

  /** The operators' settings changed: tuning, cordons and graceful evictions. */
  void onSettings(OperatorSettings changed) {
    core.onTuning(changed.tuning());
    core.onCordons(changed.cordoned(), changed.drained(), loop.now());
    operators = changed;
    stepSoon();
  }

  // ---------------------------------------------------------------- heartbeats and peers

  /**
   * Takes a heartbeat and returns the worker commands for its response; the caller has checked our
   * session lease.
   *
   * @param via the controller that the worker sent it to
   */
  List<WorkerCommand> onHeartbeat(Heartbeat heartbeat, String via) {
    double now = loop.now();
    boolean fresh = core.onHeartbeat(heartbeat, via, now);
    if (core.staleHeartbeatCount() > staleHeartbeats) {
      staleHeartbeats = core.staleHeartbeatCount();
      metrics.count("graderelay.dropped", "what", "stale report");
    }
    List<WorkerCommand> commands = core.commandsFor(heartbeat, now);
    if (fresh) {
      core.onHeartbeatAnswered(heartbeat.machine(), now);
    }
    stepSoon();
    return commands;
  }

  /**
   * A peer asks to be our lease delegate; the caller has checked our session lease. Null if the
   * core does not know the peer's incarnation.
   */
  PeerAnswer.Grant grantLeaseDelegation(PeerRequest.Delegation request) {
    double now = loop.now();
    boolean known =
        core.onDelegateGrantRequest(
            request.member(),
            request.process(),
            request.number(),
            request.grantedBy(),
            request.echo(),
            request.aloneS(),
            now);
    return known ? new PeerAnswer.Grant(leadership.term(), firstToken, now) : null;
  }

  // ---------------------------------------------------------------- time

  private void tick() {
    if (closed) {
      return;
    }
    core.tick(loop.now());
    actions.carryOut();
    tickTimer = loop.schedule(ControllerNode.TICK_S, this::tick);
  }

  /** Has the core step after the events of this moment, which it decides on together. */
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
    if (wait < SchedulerLimits.MIN_ROUND_INTERVAL_S * 2 && !stepping) {
      stepping = true;
      stepTimer = loop.schedule(wait, this::step);
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
            cloudScaler.markListed();
            core.onMachineList(machines, loop.now());
            core.onCordons(operators.cordoned(), operators.drained(), loop.now());
            stepSoon();
          }
          int listed = machines == null ? 0 : machines.size();
          listTimer = loop.schedule(cloud.listEveryS(listed), this::listMachines);
        });
  }
}
