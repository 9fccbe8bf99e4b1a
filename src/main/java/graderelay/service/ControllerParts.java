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
 * Makes the parts of one controller process and connects them, in an order in which each finds the
 * ones it needs. Parts that need a later one take a method of this class that asks it when called.
 * Nothing runs before {@link ControllerNode#start}.
 */
final class ControllerParts {
  final Loop loop;
  final Settings settings;
  final StateClient state;
  final Cache cache;
  final Leadership leadership;
  final CloudClient cloud;
  final LeaseDelegate leaseDelegate;
  final PeerApi peerApi;
  final Metrics metrics;
  final FeatureGate gate;
  final FeatureLevelManager features;
  final QuotaMonitor quotaMonitor;
  final RequestRouter router;
  final Readiness readiness;
  final MachineTypePoller machineTypes;
  final LeaderLifecycle leaderLifecycle;

  private final RandomGenerator random;
  private final Cancellations cancellations;
  private final LeaderServices leaderServices;
  private final PeerClient peerClient;
  private final RequestHedger requestHedger;
  private final StoredOperatorSettings operators;
  private final TeamLimits teamLimits;

  /**
   * Makes all parts of a controller.
   *
   * @param options switches features on that this process supports
   * @param random draws that tests can repeat
   */
  ControllerParts(
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
    cancellations.setListener(leaderLifecycle::onCancelled);
    this.leadership = newLeadership();
    this.cloud = new CloudClient(loop, transport, settings.cloudAddress(), settings.cloudRps());
    this.machineTypes = new MachineTypePoller(loop, cloud, this::leads, this::onMachineTypes);
    this.leaderServices =
        new LeaderServices(
            loop, state, cache, leadership, cloud, new WorkerClient(transport), metrics);
    this.teamLimits = new TeamLimits(cache.quota(), settings.teams());
    this.quotaMonitor = new QuotaMonitor(teamLimits, this::core);
    this.leaseDelegate =
        new LeaseDelegate(
            loop, peerClient, leadership, cache, state, cancellations, settings, random.nextLong());
    this.requestHedger = newRequestHedger();
    this.readiness =
        new Readiness(loop, gate, state, cache, leadership, machineTypes, requestHedger);
    this.features =
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
        this::leads,
        this::term,
        this::mayActAsLeader,
        cancellations,
        metrics,
        settings.member(),
        this::currentMachineTypes,
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

  private RequestHedger newRequestHedger() {
    return new RequestHedger(
        loop,
        peerClient,
        state.health()::isStalled,
        leadership::isStoreUnavailableToAll,
        this::mayAnswer);
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
        readiness::ready,
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
        this::currentMachineTypes,
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
        readiness::ready);
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
        leadership.incarnation(),
        state,
        cancellations,
        workerApi::handleRelayedHeartbeat,
        leaderLifecycle::onDelegationRequest,
        router::handleRelayed);
  }

  // ---------------------------------------------------------------- calls between the parts

  private boolean leads() {
    return leadership.isLeader();
  }

  private long term() {
    return leadership.term();
  }

  private boolean mayActAsLeader() {
    return leadership.mayActAsLeader();
  }

  private Scheduler core() {
    return leaderLifecycle.core();
  }

  private List<MachineType> currentMachineTypes() {
    return machineTypes.current();
  }

  private void onMachineTypes(List<MachineType> types) {
    leaderLifecycle.ifLeading(term -> term.onTypes(types));
  }

  private void onLeaderRecord() {
    features.checkRecords();
    leadership.reconcile();
  }

  private String metricsText() {
    return metrics.scrape(Map.of("state", state.callCounts(), "cloud", cloud.outcomes()), core());
  }

  /** A leader knows which peers answer; a follower finds out by asking. */
  private boolean mayAnswer(String peer) {
    return !leadership.isLeader() || leadership.isPeerResponsive(peer);
  }

  /** A term that starts now, with the records and settings as they are now. */
  private LeaderTerm newTerm() {
    return new LeaderTerm(
        leaderServices,
        SchedulerPolicy.of(settings, state, operators.current()),
        settings.least(),
        operators.current(),
        random,
        currentMachineTypes());
  }
}
