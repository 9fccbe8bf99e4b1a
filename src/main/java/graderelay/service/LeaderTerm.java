package graderelay.service;

import graderelay.cloud.CloudClient;
import graderelay.config.OperatorSettings;
import graderelay.config.Settings;
import graderelay.core.DelegationRequest;
import graderelay.core.Heartbeat;
import graderelay.core.HeartbeatResponse;
import graderelay.core.MachineType;
import graderelay.core.Policy;
import graderelay.core.Scheduler;
import graderelay.core.SchedulerLimits;
import graderelay.net.Loop;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.FinalStateLookup;
import graderelay.state.Leadership;
import graderelay.wire.PeerRequest;
import graderelay.wire.PeerResponse;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleConsumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of this controller's leadership. Passes heartbeats, the cloud's list of machines and,
 * through {@link RecordFeed}, the stored records to the scheduler core, runs its scheduling rounds,
 * and has its actions executed by {@link LeaderActionExecutor}. Created once the controller has
 * been elected and its cache has caught up; closed when leadership is lost.
 */
final class LeaderTerm {
  private static final Logger LOG = LoggerFactory.getLogger("fleet");

  private final Loop loop;
  private final CloudClient cloudClient;
  private final Leadership leadership;
  private final Scheduler core;
  private final FailoverHints hints;
  private final RecordFeed recordFeed;
  private final CloudScaler cloudScaler;
  private final LeaderActionExecutor actionExecutor;
  private final Metrics metrics;

  /** The term that this controller was elected in; the current term may be raised later. */
  private final long electedTerm;

  private boolean closed;
  private boolean isStepScheduled;
  private Loop.Timer stepTimer;
  private Loop.Timer tickTimer;
  private Loop.Timer machineListTimer;
  private OperatorSettings operatorSettings;
  private long countedStaleHeartbeats;

  /**
   * Creates a leader term that starts now; it is idle until {@link #start}.
   *
   * @param minimumLimits the lowest limits that the key-value store has, now or in the future
   * @param operatorSettings the operators' settings as currently stored
   * @param machineTypes the machine types that the cloud has listed, null until then: no task is
   *     placed and no machine requested, but running tasks are looked after
   */
  LeaderTerm(
      LeaderServices services,
      Policy policy,
      Settings.StoreLimits minimumLimits,
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
    if (machineTypes == null) {
      LOG.warn("the cloud has not listed its machine types yet: no task is placed until it has");
    } else {
      core.onMachineTypes(machineTypes);
    }
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

  /** The feed that passes the stored records to the core. */
  RecordFeed recordFeed() {
    return recordFeed;
  }

  /** The wall-clock time, in milliseconds since the epoch. */
  long wallMs() {
    return loop.wallClockMs();
  }

  boolean isClosed() {
    return closed;
  }

  /**
   * Loads the cached records and starts the timers. The caller must have caught up with the store
   * immediately before.
   */
  void start() {
    recordFeed.load();
    listMachines();
    tick();
  }

  /** Closes the leader term: cancels its timers and ignores outcomes from now on. */
  void close() {
    closed = true;
    for (Loop.Timer timer : new Loop.Timer[] {stepTimer, tickTimer, machineListTimer}) {
      if (timer != null) {
        timer.cancel();
      }
    }
  }

  // ---------------------------------------------------------------- outcomes of actions

  /** Executes the core's pending actions without waiting for its next scheduling round. */
  void executeActions() {
    actionExecutor.execute();
  }

  /**
   * Passes an action's outcome to the core and schedules a scheduling round; ignored once the
   * leader term is closed.
   *
   * @param outcome reports the outcome to the core, given the event loop's time in seconds
   */
  void applyOutcome(DoubleConsumer outcome) {
    if (!closed) {
      outcome.accept(loop.now());
      scheduleStep();
    }
  }

  // ---------------------------------------------------------------- term, quota and settings

  /**
   * Handles a raise of the term by a change of the feature level, which may also change the form of
   * the hints.
   */
  void onTermRaised(long newTerm) {
    core.onTerm(newTerm, loop.now());
    core.onImageShards(hints.imageShardsPerThousandMachines());
    scheduleStep();
  }

  /** Rewrites a team's account from its committed claims at an operator's request. */
  void replaceAccount(String team) {
    core.replaceAccount(team);
    scheduleStep();
  }

  /** Handles a new list of the cloud's machine types. */
  void onMachineTypes(List<MachineType> machineTypes) {
    core.onMachineTypes(machineTypes);
    scheduleStep();
  }

  /** Handles a change of the operators' settings: tuning, cordons and drains. */
  void onSettings(OperatorSettings changed) {
    core.onTuning(changed.tuning());
    core.onCordons(changed.cordoned(), changed.drained(), loop.now());
    operatorSettings = changed;
    scheduleStep();
  }

  // ---------------------------------------------------------------- heartbeats and peers

  /**
   * Handles a heartbeat and returns the response, or empty if the worker's lease must not be
   * renewed. The caller must have checked that this controller may act as the leader.
   *
   * @param receivingController the controller that the worker sent the heartbeat to
   */
  Optional<HeartbeatResponse> onHeartbeat(Heartbeat heartbeat, String receivingController) {
    double now = loop.now();
    final boolean accepted = core.onHeartbeat(heartbeat, receivingController, now);
    if (core.staleHeartbeatCount() > countedStaleHeartbeats) {
      countedStaleHeartbeats = core.staleHeartbeatCount();
      metrics.count("graderelay.dropped", "what", "stale report");
    }
    scheduleStep();
    if (!core.mayRenewLease(heartbeat.machine(), now)) {
      metrics.count("graderelay.dropped", "what", "unfenced report");
      return Optional.empty();
    }
    HeartbeatResponse response = core.respond(heartbeat, now);
    if (accepted) {
      core.onHeartbeatResponse(heartbeat.machine(), now);
    }
    LOG.debug(
        "answering heartbeat {} of {}, session {}, reported term {}: {}",
        heartbeat.seq(),
        heartbeat.machine(),
        heartbeat.session(),
        heartbeat.term(),
        response);
    return Optional.of(response);
  }

  /**
   * Handles a peer's request to become a lease delegate. The caller must have checked that this
   * controller may act as the leader. Returns null if the peer must not have a grant now.
   */
  PeerResponse.Grant grantLeaseDelegation(PeerRequest.Delegation request) {
    double now = loop.now();
    boolean granted =
        core.onDelegationRequest(
            new DelegationRequest(
                request.member(),
                request.incarnation(),
                request.sequenceNumber(),
                request.grantorTerm(),
                request.leaderTime(),
                request.sinceAutonomousResponseS()),
            now);
    return granted ? new PeerResponse.Grant(leadership.term(), electedTerm, now) : null;
  }

  // ---------------------------------------------------------------- time

  private void tick() {
    if (closed) {
      return;
    }
    try {
      core.tick(loop.now());
      actionExecutor.execute();
    } finally {
      // Also after an exception: without ticks, no lease would ever end and no machine come.
      tickTimer = loop.schedule(ControllerNode.TICK_INTERVAL_S, this::tick);
    }
  }

  /**
   * Schedules a scheduling round after all events that are already queued, so that one round
   * handles them together.
   */
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
      stepTimer = loop.schedule(delayS, this::step);
    }
  }

  private void listMachines() {
    if (closed) {
      return;
    }
    cloudClient.listMachines(
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
          machineListTimer =
              loop.schedule(cloudClient.listIntervalS(machineCount), this::listMachines);
        });
  }
}
