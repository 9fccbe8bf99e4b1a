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
 * list and, through {@link RecordFeed}, the stored records; steps it, and has {@link
 * LeaderActionExecutor} carry out what it decides. Made when the term is won and the records are
 * caught up with; closed on failover.
 */
final class LeaderTerm {
  private final Loop loop;
  private final CloudClient cloudClient;
  private final Leadership leadership;
  private final Scheduler core;
  private final FailoverHints hints;
  private final RecordFeed recordFeed;
  private final CloudScaler cloudScaler;
  private final LeaderActionExecutor actionExecutor;
  private final Metrics metrics;

  /** The fencing token that the term was won with; it may be raised later. */
  private final long electedTerm;

  private boolean closed;
  private boolean isStepScheduled;
  private Loop.Timer stepTimer;
  private Loop.Timer tickTimer;
  private Loop.Timer machineListTimer;
  private OperatorSettings operatorSettings;
  private long countedStaleHeartbeats;

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
      Settings.StateLimits minimumLimits,
      OperatorSettings operatorSettings,
      RandomGenerator random,
      List<MachineType> machineTypes) {
    this.loop = services.loop();
    this.cloudClient = services.cloudClient();
    this.leadership = services.leadership();
    this.metrics = services.metrics();
    this.operatorSettings = operatorSettings;
    this.electedTerm = leadership.term();
    final double startedAt = loop.now();
    this.core = new Scheduler(policy, electedTerm, leadership.incarnation(), random, loop.now());
    core.onMachineTypes(machineTypes);
    Cache cache = services.cache();
    this.hints = new FailoverHints(services.state(), cache, leadership, minimumLimits.valueBytes());
    this.recordFeed = new RecordFeed(loop, cache, core, hints, this::scheduleStep);
    this.cloudScaler = new CloudScaler(this, services, electedTerm, startedAt, policy.listLagS());
    FinalStateLookup finalStateLookup =
        new FinalStateLookup(loop, services.state(), cache, minimumLimits.txnOps());
    this.actionExecutor =
        new LeaderActionExecutor(
            this,
            services,
            hints,
            new CancellationResolver(cache, finalStateLookup),
            new TransactionExecutor(this, services, minimumLimits),
            cloudScaler);
  }

  Scheduler core() {
    return core;
  }

  /** What passes the stored records on to the core. */
  RecordFeed recordFeed() {
    return recordFeed;
  }

  /** The time of day, in milliseconds since the epoch. */
  long wallMs() {
    return loop.wallMs();
  }

  boolean isClosed() {
    return closed;
  }

  /** Takes the records as they are now, which the caller has just caught up with. */
  void start() {
    recordFeed.load();
    listMachines();
    tick();
  }

  /** Ends the term: no timer fires and no outcome is taken any more. */
  void close() {
    closed = true;
    for (Loop.Timer timer : new Loop.Timer[] {stepTimer, tickTimer, machineListTimer}) {
      if (timer != null) {
        timer.cancel();
      }
    }
  }

  // ---------------------------------------------------------------- outcomes of actions

  /** Carries out what the core has decided on so far, without waiting for its next step. */
  void executeActions() {
    actionExecutor.execute();
  }

  /**
   * Passes an action's outcome to the core, which then steps soon; passed over once the term is
   * closed.
   *
   * @param outcome takes the loop's time in seconds
   */
  void applyOutcome(DoubleConsumer outcome) {
    if (!closed) {
      outcome.accept(loop.now());
      scheduleStep();
    }
  }

  // ---------------------------------------------------------------- term, quota and settings

  /** The term was raised with a change of the feature level, which may change the hints' form. */
  void onTermRaised(long newTerm) {
    core.onTerm(newTerm, loop.now());
    core.onImageShards(hints.imageShardsPerThousandMachines());
    scheduleStep();
  }

  /** An operator wants a team's account written anew from its committed claims. */
  void replaceAccount(String team) {
    core.replaceAccount(team);
    scheduleStep();
  }

  /** The cloud has listed its machine types anew. */
  void onMachineTypes(List<MachineType> machineTypes) {
    core.onMachineTypes(machineTypes);
    scheduleStep();
  }

  /** The operators' settings changed: tuning, cordons and graceful evictions. */
  void onSettings(OperatorSettings changed) {
    core.onTuning(changed.tuning());
    core.onCordons(changed.cordoned(), changed.drained(), loop.now());
    operatorSettings = changed;
    scheduleStep();
  }

  // ---------------------------------------------------------------- heartbeats and peers

  /**
   * Takes a heartbeat and returns the worker commands for its response; the caller has checked our
   * session lease.
   *
   * @param via the controller that the worker sent it to
   */
  List<WorkerCommand> onHeartbeat(Heartbeat heartbeat, String receivingController) {
    double now = loop.now();
    boolean accepted = core.onHeartbeat(heartbeat, receivingController, now);
    if (core.staleHeartbeatCount() > countedStaleHeartbeats) {
      countedStaleHeartbeats = core.staleHeartbeatCount();
      metrics.count("graderelay.dropped", "what", "stale report");
    }
    List<WorkerCommand> commands = core.commandsFor(heartbeat, now);
    if (accepted) {
      core.onHeartbeatAnswered(heartbeat.machine(), now);
    }
    scheduleStep();
    return commands;
  }

  /**
   * A peer asks to be our lease delegate; the caller has checked our session lease. Null if the
   * core does not know the peer's incarnation.
   */
  PeerAnswer.Grant grantLeaseDelegation(PeerRequest.Delegation request) {
    double now = loop.now();
    boolean granted =
        core.onDelegateGrantRequest(
            request.member(),
            request.process(),
            request.number(),
            request.grantedBy(),
            request.echo(),
            request.aloneS(),
            now);
    return granted ? new PeerAnswer.Grant(leadership.term(), electedTerm, now) : null;
  }

  // ---------------------------------------------------------------- time

  private void tick() {
    if (closed) {
      return;
    }
    core.tick(loop.now());
    actionExecutor.execute();
    tickTimer = loop.after(ControllerNode.TICK_INTERVAL_S, this::tick);
  }

  /** Has the core step after the events of this moment, which it decides on together. */
  void scheduleStep() {
    if (!isStepScheduled && !closed) {
      isStepScheduled = true;
      loop.execute(this::step);
    }
  }

  private void step() {
    isStepScheduled = false;
    if (closed) {
      return;
    }
    double delayS = core.step(loop.now());
    actionExecutor.execute();
    if (delayS < SchedulerLimits.MIN_ROUND_INTERVAL_S * 2 && !isStepScheduled) {
      isStepScheduled = true;
      stepTimer = loop.after(delayS, this::step);
    }
  }

  private void listMachines() {
    if (closed) {
      return;
    }
    cloudClient.list(
        machines -> {
          if (closed) {
            return;
          }
          if (machines != null) {
            cloudScaler.onMachinesListed();
            core.onMachineList(machines, loop.now());
            core.onCordons(operatorSettings.cordoned(), operatorSettings.drained(), loop.now());
            scheduleStep();
          }
          int machineCount = machines == null ? 0 : machines.size();
          machineListTimer = loop.after(cloudClient.listEveryS(machineCount), this::listMachines);
        });
  }
}
