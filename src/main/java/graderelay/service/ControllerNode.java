package graderelay.service;

import graderelay.api.AdminApi;
import graderelay.api.FeaturesApi;
import graderelay.api.PeerApi;
import graderelay.api.QuotaApi;
import graderelay.api.UserApi;
import graderelay.cloud.CloudClient;
import graderelay.config.Options;
import graderelay.config.Settings;
import graderelay.core.MachineType;
import graderelay.core.Scheduler;
import graderelay.features.FeatureGate;
import graderelay.net.Exchange;
import graderelay.net.Loop;
import graderelay.net.Transport;
import graderelay.peer.PeerClient;
import graderelay.peer.RequestHedger;
import graderelay.state.Cache;
import graderelay.state.Cancellations;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.state.TeamLimits;
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
 * One controller process: wires its parts, starts and ends them, and is where requests of users,
 * workers, operators and peers arrive. It knows no sockets, so tests run several at once.
 */
public final class ControllerNode {
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
  private final LeaderServices leaderServices;
  private final LeaseDelegate leaseDelegate;
  private final PeerClient peerClient;
  private final PeerApi peerApi;
  private final RequestHedger requestHedger;
  private final StoredOperatorSettings operators;
  private final TeamLimits teamLimits;
  private final Metrics metrics;
  private final FeatureGate gate;
  private final FeatureLevelManager features;
  private final QuotaMonitor quotaMonitor;
  private final RequestRouter router;
  private final Readiness readiness;
  private final MachineTypePoller machineTypes;
  private final LeaderLifecycle leaderLifecycle;
  private Loop.Timer tickTimer;
  private boolean closed;

  /** A controller for which everything that options switch on is off. */
  public ControllerNode(Loop loop, Transport transport, Settings settings, RandomGenerator random) {
    this(loop, transport, settings, Options.none(), random);
  }

  /**
   * A controller of the given settings; nothing starts before {@link #start}.
   *
   * @param options switches features on that this process supports
   */
  public ControllerNode(
      Loop loop, Transport transport, Settings settings, Options options, RandomGenerator random) {
    this.loop = loop;
    this.settings = settings;
    this.random = random;
    this.gate = new FeatureGate(options.supported());
    this.operators = new StoredOperatorSettings(SchedulerPolicy.mostBatchTasks(settings));
    this.metrics = new Metrics(loop);
    this.state = newStateClient(transport);
    RecordChangeDispatcher recordChanges = new RecordChangeDispatcher();
    this.cache = new Cache(loop, state, gate, recordChanges);
    this.peerClient = new PeerClient(transport, settings.peers(), gate);
    this.cancellations = new Cancellations(loop, cache, settings);
    this.leaderLifecycle = newLeaderLifecycle();
    cancellations.listen(leaderLifecycle::onCancelled);
    this.leadership = newLeadership();
    this.cloud = new CloudClient(loop, transport, settings.cloudAddress(), settings.cloudRps());
    this.machineTypes = new MachineTypePoller(loop, cloud, this::leader, this::onMachineTypes);
    this.leaderServices =
        new LeaderServices(
            loop, state, cache, leadership, cloud, new WorkerClient(transport), metrics);
    this.teamLimits = new TeamLimits(cache.quota(), settings.teams());
    this.quotaMonitor = new QuotaMonitor(teamLimits, this::core);
    this.leaseDelegate =
        new LeaseDelegate(
            loop, peerClient, leadership, cache, state, cancellations, settings, random.nextLong());
    this.requestHedger =
        new RequestHedger(
            loop,
            peerClient,
            state.health()::isStalled,
            leadership::isStoreAwayForAll,
            this::mayAnswer);
    this.readiness =
        new Readiness(loop, gate, state, cache, leadership, machineTypes, requestHedger);
    this.features =
        new FeatureLevelManager(
            loop, state, cache, leadership, peerClient, settings, options, leadership.process());
    WorkerApi workerApi = newWorkerApi();
    this.router = newRouter(workerApi);
    this.peerApi = newPeerApi(workerApi);
    recordChanges.connect(
        cache,
        new RecordChangeDispatcher.Targets(
            leaderLifecycle, this::onLeaderRecord, quotaMonitor::onQuota, operators));
  }

  // ---------------------------------------------------------------- steps of the constructor

  private StateClient newStateClient(Transport transport) {
    return new StateClient(
        loop,
        transport,
        settings.stateAddress(),
        settings.stateRps(),
        settings.stateChangesPerS(),
        settings.least().changesPerS(),
        settings.peers().size());
  }

  private LeaderLifecycle newLeaderLifecycle() {
    return new LeaderLifecycle(
        loop,
        cache,
        this::leader,
        this::term,
        this::speaks,
        cancellations,
        metrics,
        settings.member(),
        this::machineTypes,
        this::newTerm);
  }

  private Leadership newLeadership() {
    return new Leadership(
        loop,
        state,
        cache,
        settings.member(),
        settings.peerAddress(),
        settings.holdS(),
        peerClient,
        cancellations,
        random::nextDouble,
        leaderLifecycle);
  }

  private WorkerApi newWorkerApi() {
    return new WorkerApi(
        loop,
        leadership,
        cache,
        peerClient,
        leaseDelegate,
        cancellations,
        settings.member(),
        leaderLifecycle::onHeartbeat);
  }

  private RequestRouter newRouter(WorkerApi workerApi) {
    AdminApi adminApi = newAdminApi();
    FeaturesApi featuresApi =
        new FeaturesApi(
            settings.member(),
            cache,
            features.coordinator(),
            leadership::isLeader,
            adminApi::atLeader);
    return new RequestRouter(
        new RequestRouter.Targets(
            newUserApi(), workerApi, adminApi, featuresApi, newQuotaApi(adminApi)),
        gate,
        requestHedger,
        this::ready,
        readiness::submissionsWaitHere,
        this::metricsText);
  }

  private UserApi newUserApi() {
    return new UserApi(
        loop,
        state,
        cache,
        cancellations,
        settings,
        teamLimits,
        this::machineTypes,
        () -> operators.current().batchCapacity());
  }

  private AdminApi newAdminApi() {
    return new AdminApi(
        loop,
        settings,
        teamLimits,
        state,
        cache,
        peerClient,
        operators.defaults(),
        SchedulerPolicy.mostBatchTasks(settings),
        this::core,
        this::ready);
  }

  private QuotaApi newQuotaApi(AdminApi adminApi) {
    return new QuotaApi(
        loop,
        state,
        cache,
        teamLimits,
        this::core,
        adminApi::atLeader,
        leaderLifecycle::replaceAccount,
        settings.member());
  }

  private PeerApi newPeerApi(WorkerApi workerApi) {
    return new PeerApi(
        leadership,
        cache.features(),
        () -> cache.catchUp(ok -> {}),
        leadership.process(),
        state,
        cancellations,
        workerApi::relayed,
        leaderLifecycle::onDelegationRequest,
        router::handleRelayed);
  }

  /** A leader knows which peers answer; a follower finds out by asking. */
  private boolean mayAnswer(String peer) {
    return !leadership.isLeader() || leadership.hears(peer);
  }

  /** A term that starts now, with the records and settings as they are now. */
  private LeaderTerm newTerm() {
    return new LeaderTerm(
        leaderServices,
        SchedulerPolicy.of(settings, state, operators.current()),
        settings.least(),
        operators.current(),
        random,
        machineTypes());
  }

  // ---------------------------------------------------------------- start and end

  /** Tells where the numbers of open connections come from, to show them to operators. */
  public void watchConnections(IntSupplier in, IntSupplier out) {
    metrics.gauge("graderelay.connections", Tags.of("direction", "in"), m -> in.getAsInt());
    metrics.gauge("graderelay.connections", Tags.of("direction", "out"), m -> out.getAsInt());
  }

  /** Hears why this process has to end, if the cluster has gone on without it. */
  public void onLeave(Consumer<String> listener) {
    features.onLeave(listener);
  }

  /** Starts metrics, the records' watch, features, machine types, lease delegation and ticks. */
  public void start() {
    LOG.info("{} starts in zone {}", settings.member(), settings.zone());
    startMetrics();
    cache.start();
    features.start();
    machineTypes.start();
    leaseDelegate.start();
    tick();
  }

  private void startMetrics() {
    metrics.bucket("state requests", state.budget().requestTokens());
    metrics.bucket("state changes", state.budget().changeTokens());
    metrics.bucket("cloud", cloud.tokens());
    metrics.readings(quotaMonitor::readings);
    metrics.start();
    metrics.gauge(
        "graderelay.feature.level", Tags.of("what", "finalized"), m -> gate.current().level());
    metrics.gauge(
        "graderelay.feature.level", Tags.of("what", "supported"), m -> gate.supported().max());
  }

  /** Ends what {@link #start} has started, the leader's term first. */
  public void close() {
    closed = true;
    leaderLifecycle.close();
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

  // ---------------------------------------------------------------- events

  private void tick() {
    if (closed) {
      return;
    }
    leadership.tick();
    tickTimer = loop.after(TICK_S, this::tick);
  }

  private void onMachineTypes(List<MachineType> types) {
    leaderLifecycle.ifLeading(term -> term.onTypes(types));
  }

  private void onLeaderRecord() {
    features.checkRecords();
    leadership.consider();
  }

  /** Requests of users, workers, operators and the load balancer. */
  public void handle(Exchange exchange) {
    router.handle(exchange);
  }

  /** Requests of the other controllers. */
  public void handlePeer(Exchange exchange) {
    peerApi.handle(exchange);
  }

  // ---------------------------------------------------------------- status

  /** True if this controller can take requests. */
  public boolean ready() {
    return readiness.ready();
  }

  /** True while this controller is the leader. */
  public boolean leader() {
    return leadership.isLeader();
  }

  private long term() {
    return leadership.term();
  }

  /** True while this controller may answer workers for all controllers. */
  public boolean speaks() {
    return leadership.mayActAsLeader();
  }

  /** The core while this controller runs a leader term, else null. */
  public Scheduler core() {
    return leaderLifecycle.core();
  }

  private List<MachineType> machineTypes() {
    return machineTypes.current();
  }

  private String metricsText() {
    return metrics.scrape(Map.of("state", state.outcomes(), "cloud", cloud.outcomes()), core());
  }
}
