package graderelay.service;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.api.AdminApi;
import graderelay.api.FeaturesApi;
import graderelay.api.MeshApi;
import graderelay.api.QuotaApi;
import graderelay.api.UserApi;
import graderelay.cloud.CloudClient;
import graderelay.config.Logs;
import graderelay.config.OperatorSettings;
import graderelay.config.Options;
import graderelay.config.Settings;
import graderelay.constants.Constants;
import graderelay.core.Heartbeat;
import graderelay.core.MachineType;
import graderelay.core.Policy;
import graderelay.core.TaskBatchKey;
import graderelay.core.WorkerCommand;
import graderelay.features.FeatureGate;
import graderelay.mesh.MeshClient;
import graderelay.mesh.RequestHedger;
import graderelay.net.Exchange;
import graderelay.net.Loop;
import graderelay.net.Transport;
import graderelay.state.Cache;
import graderelay.state.Cancellations;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.state.TeamLimits;
import graderelay.wire.PeerAnswer;
import graderelay.wire.PeerRequest;
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

/** One controller: its parts and their life. It knows no sockets, so tests run several at once. */
public final class Node {
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
  private final MeshClient mesh;
  private final MeshApi meshApi;
  private final RequestHedger requestHedger;
  private final OperatorSettings defaults;
  private OperatorSettings operators;
  private final Metrics metrics;
  private final FeatureGate gate;
  private final FeatureDuty features;
  private final QuotaMonitor quotaMonitor;
  private final RequestRouter router;
  private List<MachineType> types;
  private FleetController fleetController;
  private Loop.Timer typesTimer;
  private Loop.Timer tickTimer;
  private boolean closed;

  /** A controller for which everything that options switch on is off. */
  public Node(Loop loop, Transport transport, Settings s, RandomGenerator random) {
    this(loop, transport, s, Options.none(), random);
  }

  public Node(Loop loop, Transport transport, Settings s, Options options, RandomGenerator random) {
    this.loop = loop;
    this.gate = new FeatureGate(options.supported());
    this.settings = s;
    this.random = random;
    String level = System.getenv("LOG_LEVEL");
    this.defaults = OperatorSettings.defaults(mostSlice(s), Logs.known(level) ? level : "info");
    this.operators = defaults;
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
    this.cache = new Cache(loop, state, gate, new Changes());
    this.mesh = new MeshClient(transport, s.peers(), gate);
    this.cancellations = new Cancellations(loop, cache, s);
    cancellations.listen(this::onCancelled);
    this.leadership =
        new Leadership(
            loop,
            state,
            cache,
            s.member(),
            s.meshAddress(),
            s.holdS(),
            mesh,
            cancellations,
            random::nextDouble,
            new LeadershipListener());
    this.cloud = new CloudClient(loop, transport, s.cloudAddress(), s.cloudRps());
    this.workers = new WorkerClient(transport);
    TeamLimits limits = new TeamLimits(cache.quota(), s.teams());
    this.quotaMonitor = new QuotaMonitor(limits, this::core);
    UserApi users =
        new UserApi(
            loop, state, cache, cancellations, s, limits, () -> types, () -> operators.sliceCap());
    this.leaseDelegate =
        new LeaseDelegate(
            loop, mesh, leadership, cache, state, cancellations, s, random.nextLong());
    WorkerApi reports =
        new WorkerApi(
            loop,
            leadership,
            cache,
            mesh,
            leaseDelegate,
            cancellations,
            s.member(),
            this::onReport);
    AdminApi admin =
        new AdminApi(
            loop,
            s,
            limits,
            state,
            cache,
            leadership,
            mesh,
            defaults,
            mostSlice(s),
            this::core,
            this::ready);
    this.requestHedger =
        new RequestHedger(loop, mesh, state::stuck, leadership::awayForAll, this::mayAnswer);
    String incarnation = leadership.process();
    this.features = new FeatureDuty(loop, state, cache, leadership, mesh, s, options, incarnation);
    FeaturesApi featuresApi =
        new FeaturesApi(
            s.member(), cache, features.coordinator(), leadership::owner, admin::atLeader);
    QuotaApi quotaApi =
        new QuotaApi(
            loop,
            state,
            cache,
            limits,
            this::core,
            admin::atLeader,
            this::replaceAccount,
            s.member());
    this.router =
        new RequestRouter(
            new RequestRouter.Targets(users, reports, admin, featuresApi, quotaApi),
            gate,
            requestHedger,
            this::ready,
            this::submissionsWaitHere,
            this::metricsText);
    this.meshApi =
        new MeshApi(
            leadership,
            cache.features(),
            () -> cache.catchUp(ok -> {}),
            incarnation,
            state,
            cancellations,
            reports::relayed,
            this::onDeputy,
            router::handleRelayed);
  }

  /** A leader knows which peers answer; a follower finds out by asking. */
  private boolean mayAnswer(String peer) {
    return !leadership.owner() || leadership.hears(peer);
  }

  private static int mostSlice(Settings s) {
    // New records fit what the state service will allow as well.
    return Math.max(1, (int) (s.least().valueKb() * 1024 / Constants.SLICE_BYTES_PER_TASK));
  }

  private Policy policy() {
    return new Policy(
        settings.teams(),
        settings.deputies(),
        settings.grantS(),
        settings.reportS(),
        settings.leaseS(),
        settings.listLagS(),
        settings.least().txnOps(),
        (int) ((state.smaller() ? settings.least() : settings.now()).valueKb() * 1024),
        state.ownersChanges(),
        settings.cpuShare() * Constants.DIRECT_PER_CORE_S,
        settings.waits(),
        settings.waitSteps(),
        settings.finishes(),
        operators.tuning());
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

  public void start() {
    LOG.info("{} starts in zone {}", settings.member(), settings.zone());
    metrics.bucket("state requests", state.requestTokens());
    metrics.bucket("state changes", state.changeTokens());
    metrics.bucket("cloud", cloud.tokens());
    metrics.readings(quotaMonitor::readings);
    metrics.start();
    metrics.gauge(
        "graderelay.feature.level", Tags.of("what", "finalized"), m -> gate.current().level());
    metrics.gauge(
        "graderelay.feature.level", Tags.of("what", "supported"), m -> gate.supported().max());
    cache.start();
    features.start();
    readTypes();
    leaseDelegate.start();
    tick();
  }

  /** Ends the duties in the opposite order of their start. */
  public void close() {
    closed = true;
    if (fleetController != null) {
      fleetController.close();
    }
    leaseDelegate.close();
    features.close();
    leadership.close();
    metrics.close();
    cache.close();
    if (typesTimer != null) {
      typesTimer.cancel();
    }
    if (tickTimer != null) {
      tickTimer.cancel();
    }
  }

  private void tick() {
    if (closed) {
      return;
    }
    leadership.tick();
    tickTimer = loop.after(Constants.TICK_S, this::tick);
  }

  private void readTypes() {
    if (closed) {
      return;
    }
    cloud.types(
        list -> {
          if (list != null && !list.isEmpty()) {
            types = list;
            if (fleetController != null) {
              fleetController.onTypes(list);
            }
          }
          double wait =
              types == null
                  ? Constants.TYPES_RETRY_S
                  : Constants.TYPES_EVERY_S * (leadership.owner() ? 1 : 5);
          typesTimer = loop.after(wait, this::readTypes);
        });
  }

  /** True if this node can take requests. */
  public boolean ready() {
    if (gate.isShut()) {
      return false;
    }
    boolean here =
        cache.loaded() && types != null && loop.now() - state.lastOk() < Constants.READY_S;
    // While the state service refuses us alone, a peer decides what we are asked; while it is away
    // for all, what can be answered is, and the rest is told at once when to come back.
    return here
        || loop.now() - requestHedger.lastHelp() < Constants.READY_S
        || (cache.loaded() && types != null && leadership.awayForAll());
  }

  public boolean owner() {
    return leadership.owner();
  }

  /** True while this node may answer workers for all controllers. */
  public boolean speaks() {
    return leadership.entitled();
  }

  /** For tests and questions: the core while this node owns the fleet, else null. */
  public graderelay.core.Scheduler core() {
    return fleetController == null ? null : fleetController.core();
  }

  private List<WorkerCommand> onReport(Heartbeat r, String via) {
    // An owner that is still reading the records keeps leases alive, and orders nothing: it counts
    // them from when its duty begins, which is later.
    return fleetController == null ? List.of() : fleetController.onReport(r, via);
  }

  /** A peer asks to be our deputy in its zone: only while we speak for the controllers. */
  private PeerAnswer.Delegated onDeputy(PeerRequest.Delegation d) {
    return fleetController != null && leadership.entitled()
        ? new PeerAnswer.Delegated(fleetController.onDeputy(d), cancellations.word())
        : new PeerAnswer.Delegated(null, null);
  }

  /** Operators want a team's account written anew; false if this node does not lead any more. */
  private boolean replaceAccount(String team) {
    if (fleetController == null) {
      return false;
    }
    fleetController.replaceAccount(team);
    return true;
  }

  /** A peer says that a job was cancelled: carried out at once, written up from its record. */
  private void onCancelled(String job) {
    if (fleetController != null) {
      fleetController.onCancelled(job);
    }
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
    return leadership.owner()
        ? state.changeTokens().waiting() > 0
        : state.changeTokens().wouldWait(1);
  }

  private String metricsText() {
    return metrics.scrape(Map.of("state", state.outcomes(), "cloud", cloud.outcomes()), core());
  }

  /** Requests of the other controllers. */
  public void handleMesh(Exchange e) {
    meshApi.handle(e);
  }

  // ---------------------------------------------------------------- office and records

  private final class LeadershipListener implements Leadership.Listener {
    @Override
    public void onWon(long term) {
      metrics.count("graderelay.takeovers", "member", settings.member());
      takeUp(term, loop.now());
    }

    /** Starts the duty as soon as the records are known as they stood when the term was won. */
    private void takeUp(long term, double since) {
      if (!cache.loaded()) {
        if (!closed && leadership.owner() && leadership.term() == term) {
          loop.after(Constants.TAKE_UP_RETRY_S, () -> takeUp(term, since));
        }
        return;
      }
      cache.catchUp(
          ok -> {
            if (closed || !leadership.owner() || leadership.term() != term) {
              return;
            }
            if (!ok || types == null) {
              loop.after(Constants.STATE_RETRY_S, () -> takeUp(term, since));
              return;
            }
            fleetController =
                new FleetController(
                    loop,
                    state,
                    cache,
                    leadership,
                    cloud,
                    workers,
                    policy(),
                    settings,
                    operators,
                    metrics,
                    random,
                    types);
            fleetController.start();
            metrics.span("graderelay.takeover", loop.now() - since);
          });
    }

    @Override
    public void onTermRaised(long term) {
      if (fleetController != null) {
        fleetController.onTermRaised(term);
      }
    }

    @Override
    public void onLost(String why) {
      if (fleetController != null) {
        fleetController.close();
        fleetController = null;
      }
    }
  }

  private final class Changes implements Cache.Listener {
    @Override
    public void onJob(Cache.Entry e) {
      if (fleetController != null) {
        fleetController.onJob(e);
      }
    }

    @Override
    public void onJobGone(String id) {
      if (fleetController != null) {
        fleetController.onJobGone(id);
      }
    }

    @Override
    public void onSlice(TaskBatchKey key, Cache.SliceEntry s) {
      if (fleetController != null) {
        fleetController.onSlice(key, s);
      }
    }

    @Override
    public void onSliceGone(TaskBatchKey key) {
      if (fleetController != null) {
        fleetController.onSliceGone(key);
      }
    }

    @Override
    public void onEnd(String id, Cache.End e) {
      if (fleetController != null) {
        fleetController.onEnd(id, e);
      }
    }

    @Override
    public void onOwner() {
      features.look();
      leadership.consider();
    }

    @Override
    public void onQuota() {
      quotaMonitor.onQuota();
      if (fleetController != null) {
        fleetController.onQuota();
      }
    }

    @Override
    public void onDeputyFree(String member, JsonNode record) {
      if (fleetController != null) {
        fleetController.onDeputyFree(member, record);
      }
    }

    @Override
    public void onSettings() {
      String before = operators.logLevel();
      operators = OperatorSettings.stored(cache.settings(), defaults, mostSlice(settings));
      if (!operators.logLevel().equals(before)) {
        Logs.level(operators.logLevel());
      }
      if (fleetController != null) {
        fleetController.onSettings(operators);
      }
    }
  }
}
