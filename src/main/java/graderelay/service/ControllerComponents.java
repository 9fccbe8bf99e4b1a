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
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Creates the components of one controller process in the order of their dependencies and wires
 * them together. A component that depends on one created later gets a method of this class, which
 * looks the later one up when it is called. Nothing runs before {@link ControllerNode#start}.
 */
final class ControllerComponents {
  final Loop loop;
  final Settings settings;
  final StateClient state;
  final Cache cache;
  final Leadership leadership;
  final CloudClient cloudClient;
  final LeaseDelegate leaseDelegate;
  final PeerApi peerApi;
  final Metrics metrics;
  final FeatureGate featureGate;
  final FeatureLevelManager featureLevelManager;
  final QuotaMonitor quotaMonitor;
  final RequestRouter router;
  final Readiness readiness;
  final MachineTypePoller machineTypePoller;
  final LeaderLifecycle leaderLifecycle;

  private final RandomGenerator random;
  private final Cancellations cancellations;
  private final LeaderServices leaderServices;
  private final PeerClient peerClient;
  private final RequestHedger requestHedger;
  private final StoredOperatorSettings operatorSettings;
  private final TeamLimits teamLimits;
  private final LeaderChangeLog leaderChangeLog = new LeaderChangeLog();

  /**
   * Creates all components of a controller.
   *
   * @param options the optional features that this process supports
   * @param random the source of randomness; tests pass a seeded one
   */
  ControllerComponents(
      Loop loop, Transport transport, Settings settings, Options options, RandomGenerator random) {
    this.loop = loop;
    this.settings = settings;
    this.random = random;
    this.featureGate = new FeatureGate(options.supportedLevels());
    this.operatorSettings = new StoredOperatorSettings(SchedulerPolicy.maxTasksPerBatch(settings));
    this.metrics = new Metrics(loop);
    this.state = newStateClient(transport);
    RecordChangeDispatcher recordChangeDispatcher = new RecordChangeDispatcher();
    this.cache = new Cache(loop, state, featureGate, recordChangeDispatcher);
    this.peerClient = new PeerClient(transport, settings.peers(), featureGate);
    this.cancellations = new Cancellations(loop, cache, settings);
    this.leaderLifecycle = newLeaderLifecycle();
    cancellations.setListener(leaderLifecycle::onCancelled);
    this.leadership = newLeadership();
    this.cloudClient =
        new CloudClient(loop, transport, settings.cloudAddress(), settings.cloudRequestsPerS());
    this.machineTypePoller =
        new MachineTypePoller(loop, cloudClient, this::isLeader, this::onMachineTypes);
    this.leaderServices =
        new LeaderServices(
            loop, state, cache, leadership, cloudClient, new WorkerClient(transport), metrics);
    this.teamLimits = new TeamLimits(cache.quota(), settings.teams());
    this.quotaMonitor = new QuotaMonitor(teamLimits, this::core);
    this.leaseDelegate =
        new LeaseDelegate(
            loop, peerClient, leadership, cache, state, cancellations, settings, random.nextLong());
    leaseDelegate.setGrantCondition(leaderLifecycle::mayGrantDelegation);
    this.requestHedger = newRequestHedger();
    this.readiness =
        new Readiness(
            loop, featureGate, state, cache, leadership, machineTypePoller, requestHedger);
    this.featureLevelManager =
        new FeatureLevelManager(
            loop,
            state,
            cache,
            leadership,
            peerClient,
            settings,
            options,
            leadership.incarnation());
    WorkerApi workerApi = newWorkerApi();
    this.router = newRouter(workerApi);
    this.peerApi = newPeerApi(workerApi);
    recordChangeDispatcher.connect(
        cache,
        new RecordChangeDispatcher.Targets(
            leaderLifecycle,
            this::onLeaderRecordChanged,
            quotaMonitor::onQuotaRecordsChanged,
            operatorSettings));
  }

  // ---------------------------------------------------------------- construction

  private StateClient newStateClient(Transport transport) {
    return new StateClient(
        loop,
        transport,
        settings.storeAddress(),
        settings.storeRequestsPerS(),
        settings.storeChangesPerS(),
        settings.minStoreLimits().changesPerS(),
        settings.peers().size());
  }

  private LeaderLifecycle newLeaderLifecycle() {
    return new LeaderLifecycle(
        loop,
        cache,
        this::term,
        this::mayActAsLeader,
        this::isStoreUnavailableToAll,
        this::resign,
        cancellations,
        metrics,
        settings.member(),
        this::newTerm);
  }

  private Leadership newLeadership() {
    return new Leadership(
        loop,
        state,
        cache,
        settings.member(),
        settings.peerAddress(),
        settings.sessionLeaseS(),
        peerClient,
        cancellations,
        random::nextDouble,
        leaderLifecycle);
  }

  private RequestHedger newRequestHedger() {
    return new RequestHedger(
        loop,
        peerClient,
        state.health()::isStalled,
        leadership::isStoreUnavailableToAll,
        this::mayBeResponsive);
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
            featureLevelManager.coordinator(),
            leadership::isLeader,
            adminApi::handleOnLeader);
    return new RequestRouter(
        new RequestRouter.Handlers(
            newUserApi(), workerApi, adminApi, featuresApi, newQuotaApi(adminApi)),
        featureGate,
        requestHedger,
        readiness::isReady,
        readiness::wouldDelaySubmission,
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
        this::currentMachineTypes,
        () -> operatorSettings.current().batchCapacity());
  }

  private AdminApi newAdminApi() {
    return new AdminApi(
        loop,
        settings,
        teamLimits,
        state,
        cache,
        peerClient,
        operatorSettings.defaults(),
        SchedulerPolicy.maxTasksPerBatch(settings),
        this::core,
        readiness::isReady);
  }

  private QuotaApi newQuotaApi(AdminApi adminApi) {
    return new QuotaApi(
        loop,
        state,
        cache,
        teamLimits,
        this::core,
        adminApi::handleOnLeader,
        leaderLifecycle::replaceAccount,
        settings.member());
  }

  private PeerApi newPeerApi(WorkerApi workerApi) {
    return new PeerApi(
        leadership,
        cache.features(),
        () -> cache.catchUp(ok -> {}),
        leadership.incarnation(),
        state,
        cancellations,
        workerApi::handleRelayedHeartbeat,
        leaderLifecycle::onDelegationRequest,
        router::handleForwarded);
  }

  // ---------------------------------------------------------------- calls between components

  private boolean isLeader() {
    return leadership.isLeader();
  }

  private long term() {
    return leadership.term();
  }

  private boolean mayActAsLeader() {
    return leadership.mayActAsLeader();
  }

  private boolean isStoreUnavailableToAll() {
    return leadership.isStoreUnavailableToAll();
  }

  private void resign(String reason) {
    leadership.resign(reason);
  }

  private Scheduler core() {
    return leaderLifecycle.core();
  }

  private List<MachineType> currentMachineTypes() {
    return machineTypePoller.current();
  }

  private void onMachineTypes(List<MachineType> types) {
    leaderLifecycle.ifLeading(term -> term.onMachineTypes(types));
  }

  private void onLeaderRecordChanged() {
    leaderChangeLog.onElectionChanged(cache);
    featureLevelManager.checkRecords();
    leadership.reconcile();
  }

  private String metricsText() {
    return metrics.scrape(
        Map.of("state", state.callCounts(), "cloud", cloudClient.responseCounts()), core());
  }

  /**
   * Whether a peer may respond. A leader tracks which peers are responsive; a follower has to try.
   */
  private boolean mayBeResponsive(String peer) {
    return !leadership.isLeader() || leadership.isPeerResponsive(peer);
  }

  /** Creates a leader term from the current records and settings. */
  private LeaderTerm newTerm() {
    return new LeaderTerm(
        leaderServices,
        SchedulerPolicy.of(settings, state, operatorSettings.current()),
        settings.minStoreLimits(),
        operatorSettings.current(),
        random,
        currentMachineTypes());
  }
}
