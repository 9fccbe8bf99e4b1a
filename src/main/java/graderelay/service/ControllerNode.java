package graderelay.service;

import graderelay.api.AdminApi;
import graderelay.api.FeaturesApi;
import graderelay.api.PeerApi;
import graderelay.api.QuotaApi;
import graderelay.api.UserApi;
import graderelay.cloud.CloudClient;
import graderelay.config.OperatorSettings;
import graderelay.config.Options;
import graderelay.config.Settings;
import graderelay.core.MachineType;
import graderelay.core.Scheduler;
import graderelay.core.TaskBatchKey;
import graderelay.features.FeatureGate;
import graderelay.net.Exchange;
import graderelay.net.Loop;
import graderelay.net.Transport;
import graderelay.peer.PeerClient;
import graderelay.peer.RequestHedger;
import graderelay.state.Cache;
import graderelay.state.Cancellations;
import graderelay.state.JobEntry;
import graderelay.state.Leadership;
import graderelay.state.RecordListener;
import graderelay.state.StateClient;
import graderelay.state.TaskBatchEntry;
import graderelay.state.TeamLimits;
import graderelay.wire.FinalState;
import graderelay.wire.StateCodec;
import graderelay.worker.LeaseDelegate;
import graderelay.worker.WorkerApi;
import graderelay.worker.WorkerClient;
import io.micrometer.core.instrument.Tags;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller process: wires its parts, starts and ends them, and routes the requests of users,
 * workers, operators and peers to them. It knows no sockets, so tests run several at once.
 */
public final class ControllerNode {
  /** Seconds without an answer of the state service after which this node is not ready. */
  private static final double READY_S = 2.5;

  /** Seconds between ticks of the core. */
  static final double TICK_S = 0.25;

  private static final Logger LOG = LoggerFactory.getLogger("node");

  private final Loop loop;
  private final Settings settings;
  private final RandomGenerator random;
  private final StateClient state;
  private final Cache cache;
  private final Cancellations cancellations;
  private final Leadership leadership;
  private final CloudClient cloud;
  private final WorkerClient workers;
  private final LeaseDelegate leaseDelegate;
  private final PeerClient peerClient;
  private final PeerApi peerApi;
  private final RequestHedger requestHedger;
  private final StoredOperatorSettings operators;
  private final Metrics metrics;
  private final FeatureGate gate;
  private final FeatureDuty features;
  private final QuotaMonitor quotaMonitor;
  private final RequestRouter router;
  private final MachineTypePoller machineTypes;
  private final LeaderOffice office;
  private Loop.Timer tickTimer;
  private boolean closed;

  /** A controller for which everything that options switch on is off. */
  public ControllerNode(Loop loop, Transport transport, Settings s, RandomGenerator random) {
    this(loop, transport, s, Options.none(), random);
  }

  /**
   * A controller of the given settings; nothing starts before {@link #start}.
   *
   * @param options switches features on that this process supports
   */
  public ControllerNode(
      Loop loop, Transport transport, Settings s, Options options, RandomGenerator random) {
    this.loop = loop;
    this.gate = new FeatureGate(options.supported());
    this.settings = s;
    this.random = random;
    this.operators = new StoredOperatorSettings(SchedulerPolicy.mostBatchTasks(s));
    this.metrics = new Metrics(loop);
    this.state =
        new StateClient(
            loop,
            transport,
            s.stateAddress(),
            s.stateRps(),
            s.stateChangesPerS(),
            s.least().changesPerS(),
            s.peers().size());
    this.cache = new Cache(loop, state, gate, new RecordChanges());
    this.peerClient = new PeerClient(transport, s.peers(), gate);
    this.cancellations = new Cancellations(loop, cache, s);
    this.office =
        new LeaderOffice(
            loop,
            cache,
            this::leader,
            this::term,
            this::speaks,
            cancellations,
            metrics,
            s.member(),
            this::machineTypes,
            this::newTerm);
    cancellations.listen(office::onCancelled);
    this.leadership =
        new Leadership(
            loop,
            state,
            cache,
            s.member(),
            s.peerAddress(),
            s.holdS(),
            peerClient,
            cancellations,
            random::nextDouble,
            office);
    this.cloud = new CloudClient(loop, transport, s.cloudAddress(), s.cloudRps());
    this.machineTypes = new MachineTypePoller(loop, cloud, this::leader, this::onTypes);
    this.workers = new WorkerClient(transport);
    TeamLimits limits = new TeamLimits(cache.quota(), s.teams());
    this.quotaMonitor = new QuotaMonitor(limits, this::core);
    UserApi users =
        new UserApi(
            loop,
            state,
            cache,
            cancellations,
            s,
            limits,
            this::machineTypes,
            () -> operators.current().batchCapacity());
    this.leaseDelegate =
        new LeaseDelegate(
            loop, peerClient, leadership, cache, state, cancellations, s, random.nextLong());
    WorkerApi reports =
        new WorkerApi(
            loop,
            leadership,
            cache,
            peerClient,
            leaseDelegate,
            cancellations,
            s.member(),
            office::onReport);
    AdminApi admin =
        new AdminApi(
            loop,
            s,
            limits,
            state,
            cache,
            peerClient,
            operators.defaults(),
            SchedulerPolicy.mostBatchTasks(s),
            this::core,
            this::ready);
    this.requestHedger =
        new RequestHedger(
            loop,
            peerClient,
            state.health()::isStalled,
            leadership::isStoreAwayForAll,
            this::mayAnswer);
    String incarnation = leadership.process();
    this.features =
        new FeatureDuty(loop, state, cache, leadership, peerClient, s, options, incarnation);
    FeaturesApi featuresApi =
        new FeaturesApi(
            s.member(), cache, features.coordinator(), leadership::isLeader, admin::atLeader);
    QuotaApi quotaApi =
        new QuotaApi(
            loop,
            state,
            cache,
            limits,
            this::core,
            admin::atLeader,
            office::replaceAccount,
            s.member());
    this.router =
        new RequestRouter(
            new RequestRouter.Targets(users, reports, admin, featuresApi, quotaApi),
            gate,
            requestHedger,
            this::ready,
            this::submissionsWaitHere,
            this::metricsText);
    this.peerApi =
        new PeerApi(
            leadership,
            cache.features(),
            () -> cache.catchUp(ok -> {}),
            incarnation,
            state,
            cancellations,
            reports::relayed,
            office::onDelegationRequest,
            router::handleRelayed);
  }

  /** A leader knows which peers answer; a follower finds out by asking. */
  private boolean mayAnswer(String peer) {
    return !leadership.isLeader() || leadership.hears(peer);
  }

  /** The duty of a term that starts now, with the records and settings as they are now. */
  private LeaderTerm newTerm() {
    return new LeaderTerm(
        loop,
        state,
        cache,
        leadership,
        cloud,
        workers,
        SchedulerPolicy.of(settings, state, operators.current()),
        settings,
        operators.current(),
        metrics,
        random,
        machineTypes());
  }

  /** Tells where the numbers of open connections come from, to show them to operators. */
  public void watchConnections(IntSupplier in, IntSupplier out) {
    metrics.gauge("graderelay.connections", Tags.of("direction", "in"), m -> in.getAsInt());
    metrics.gauge("graderelay.connections", Tags.of("direction", "out"), m -> out.getAsInt());
  }

  /** Hears why this process has to end, if the cluster has gone on without it. */
  public void onLeave(Consumer<String> listener) {
    features.onLeave(listener);
  }

  /** Starts the duties: metrics, the records' watch, features, machine types, leases, ticks. */
  public void start() {
    LOG.info("{} starts in zone {}", settings.member(), settings.zone());
    metrics.bucket("state requests", state.budget().requestTokens());
    metrics.bucket("state changes", state.budget().changeTokens());
    metrics.bucket("cloud", cloud.tokens());
    metrics.readings(quotaMonitor::readings);
    metrics.start();
    metrics.gauge(
        "graderelay.feature.level", Tags.of("what", "finalized"), m -> gate.current().level());
    metrics.gauge(
        "graderelay.feature.level", Tags.of("what", "supported"), m -> gate.supported().max());
    cache.start();
    features.start();
    machineTypes.start();
    leaseDelegate.start();
    tick();
  }

  /** Ends the duties in the opposite order of their start. */
  public void close() {
    closed = true;
    office.close();
    leaseDelegate.close();
    features.close();
    leadership.close();
    metrics.close();
    cache.close();
    machineTypes.close();
    if (tickTimer != null) {
      tickTimer.cancel();
    }
  }

  private void tick() {
    if (closed) {
      return;
    }
    leadership.tick();
    tickTimer = loop.after(TICK_S, this::tick);
  }

  private List<MachineType> machineTypes() {
    return machineTypes.current();
  }

  private void onTypes(List<MachineType> list) {
    office.ifLeading(t -> t.onTypes(list));
  }

  /** True if this node can take requests. */
  public boolean ready() {
    if (gate.isShut()) {
      return false;
    }
    boolean here =
        cache.loaded()
            && machineTypes() != null
            && loop.now() - state.health().lastAnswerAt() < READY_S;
    // While the state service refuses us alone, a peer decides what we are asked; while it is away
    // for all, what can be answered is, and the rest is told at once when to come back.
    return here
        || loop.now() - requestHedger.lastHelp() < READY_S
        || (cache.loaded() && machineTypes() != null && leadership.isStoreAwayForAll());
  }

  /** True while this node is the leader. */
  public boolean leader() {
    return leadership.isLeader();
  }

  private long term() {
    return leadership.term();
  }

  /** True while this node may answer workers for all controllers. */
  public boolean speaks() {
    return leadership.mayActAsLeader();
  }

  /** For tests and questions: the core while this node owns the fleet, else null. */
  public Scheduler core() {
    return office.core();
  }

  // ---------------------------------------------------------------- requests

  /** Requests of users, workers, operators and the load balancer. */
  public void handle(Exchange e) {
    router.handle(e);
  }

  /**
   * True if a peer may take a submission sooner. On the leader claims and ends go first, which only
   * it can write. A follower has a small share of the changes: of a pipeline whose jobs come at
   * once, it can write one or two without waiting, and its peers' shares lie idle meanwhile.
   */
  private boolean submissionsWaitHere() {
    return leadership.isLeader()
        ? state.budget().changeTokens().waiting() > 0
        : state.budget().changeTokens().wouldWait(1);
  }

  private String metricsText() {
    return metrics.scrape(Map.of("state", state.outcomes(), "cloud", cloud.outcomes()), core());
  }

  /** Requests of the other controllers. */
  public void handlePeer(Exchange e) {
    peerApi.handle(e);
  }

  // ---------------------------------------------------------------- records

  private final class RecordChanges implements RecordListener {
    @Override
    public void onJob(JobEntry e) {
      office.ifLeading(t -> t.onJob(e));
    }

    @Override
    public void onJobGone(String id) {
      office.ifLeading(t -> t.onJobGone(id));
    }

    @Override
    public void onTaskBatch(TaskBatchKey key, TaskBatchEntry s) {
      office.ifLeading(t -> t.onTaskBatch(key, s));
    }

    @Override
    public void onTaskBatchGone(TaskBatchKey key) {
      office.ifLeading(t -> t.onTaskBatchGone(key));
    }

    @Override
    public void onFinalState(String id, FinalState e) {
      office.ifLeading(t -> t.onEnd(id, e));
    }

    @Override
    public void onLeader() {
      features.look();
      leadership.consider();
    }

    @Override
    public void onQuota() {
      quotaMonitor.onQuota();
      office.ifLeading(LeaderTerm::onQuota);
    }

    @Override
    public void onDelegateReleased(String member, StateCodec.DelegateRelease release) {
      office.ifLeading(t -> t.onLeaseDelegateFreed(member, release));
    }

    @Override
    public void onSettings() {
      OperatorSettings now = operators.reload(cache.settings());
      office.ifLeading(t -> t.onSettings(now));
    }
  }
}
