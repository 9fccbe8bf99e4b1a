package graderelay.api;

import graderelay.config.OperatorSettings;
import graderelay.config.Settings;
import graderelay.core.Scheduler;
import graderelay.net.Exchange;
import graderelay.net.Loop;
import graderelay.peer.PeerClient;
import graderelay.state.Cache;
import graderelay.state.StateClient;
import graderelay.state.TeamLimits;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import graderelay.wire.StateCodec;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The administration API under {@code /admin}: routes each path to its handler. Settings are one
 * record in the store that is written by compare-and-swap and applied by every controller. Requests
 * that need the scheduler's state are relayed to the leader. Runs on the event loop.
 */
public final class AdminApi {
  private static final PathPrefix PREFIX = new PathPrefix("/admin");
  private static final String PAUSE = "pause";
  private static final String RESUME = "resume";

  private static final ApiError NO_SUCH_CLAIMS_ACTION =
      ApiError.notFound("unknown path; use /admin/claims/pause or /admin/claims/resume");

  private final Cache cache;
  private final PeerClient peerClient;
  private final Supplier<Scheduler> scheduler;
  private final FleetViews fleetViews;
  private final JobViews jobViews;
  private final SettingsWrites settingsWrites;

  /**
   * Creates the handler of the operators' requests under {@code /admin}.
   *
   * @param controllerSettings this controller's settings from the configuration file
   * @param maxBatchTasks the maximum number of tasks in a task batch
   * @param scheduler the scheduler while this controller is the leader, else null
   * @param ready true once this controller is ready to serve requests
   */
  public AdminApi(
      Loop loop,
      Settings controllerSettings,
      TeamLimits limits,
      StateClient state,
      Cache cache,
      PeerClient peerClient,
      OperatorSettings defaults,
      int maxBatchTasks,
      Supplier<Scheduler> scheduler,
      BooleanSupplier ready) {
    this.cache = cache;
    this.peerClient = peerClient;
    this.scheduler = scheduler;
    this.settingsWrites =
        new SettingsWrites(controllerSettings, state, cache, defaults, maxBatchTasks);
    this.fleetViews =
        new FleetViews(
            loop,
            controllerSettings,
            limits,
            state,
            cache,
            scheduler,
            ready,
            settingsWrites::current);
    this.jobViews = new JobViews(loop, cache, scheduler);
  }

  /** True if the path is {@code /admin} or below it. */
  public static boolean matches(String path) {
    return PREFIX.matches(path);
  }

  /**
   * Answers a request under {@code /admin}: 404 for an unknown path, 405 for an unsupported method.
   */
  public void handle(Exchange exchange) {
    String[] parts = PREFIX.remainder(exchange.path()).split("/");
    switch (parts[0]) {
      case "status" -> requireMethod("GET", exchange, () -> fleetViews.showStatus(exchange));
      case "settings" -> handleSettings(exchange);
      case "teams" ->
          requireMethod("GET", exchange, () -> handleOnLeader(exchange, fleetViews::listTeams));
      case "jobs" -> requireMethod("GET", exchange, () -> handleJobs(exchange, parts));
      case "machines" -> handleMachines(exchange, parts);
      case "claims" -> handleClaims(exchange, parts);
      default -> ApiError.NO_SUCH_PATH.sendTo(exchange);
    }
  }

  private void handleSettings(Exchange exchange) {
    if (exchange.method().equals("PUT")) {
      settingsWrites.change(exchange);
    } else {
      requireMethod("GET", exchange, () -> settingsWrites.read(exchange));
    }
  }

  private void handleJobs(Exchange exchange, String[] parts) {
    if (parts.length == 1) {
      jobViews.listJobs(exchange);
    } else {
      handleOnLeader(exchange, request -> jobViews.showJob(request, parts[1]));
    }
  }

  private void handleMachines(Exchange exchange, String[] parts) {
    if (parts.length == 3) {
      requireMethod(
          "POST", exchange, () -> settingsWrites.cordonOrDrain(exchange, parts[1], parts[2]));
    } else {
      requireMethod("GET", exchange, () -> handleOnLeader(exchange, fleetViews::listMachines));
    }
  }

  private void handleClaims(Exchange exchange, String[] parts) {
    boolean isKnownAction =
        parts.length == 2 && (parts[1].equals(PAUSE) || parts[1].equals(RESUME));
    if (isKnownAction) {
      requireMethod(
          "POST", exchange, () -> settingsWrites.pauseClaims(exchange, parts[1].equals(PAUSE)));
    } else {
      NO_SUCH_CLAIMS_ACTION.sendTo(exchange);
    }
  }

  private static void requireMethod(String method, Exchange exchange, Runnable handler) {
    if (exchange.method().equals(method)) {
      handler.run();
    } else {
      ApiError.METHOD_NOT_ALLOWED.sendTo(exchange);
    }
  }

  /**
   * Handles the request if this controller is the leader, else relays it to the leader; answers 503
   * if there is none.
   */
  public void handleOnLeader(Exchange exchange, Consumer<Exchange> localHandler) {
    if (scheduler.get() != null) {
      localHandler.accept(exchange);
      return;
    }
    StateCodec.LeaderRecord leader = cache.leader();
    String address = leader == null ? null : peerClient.addressOf(leader.member());
    if (address == null || exchange.forwarded()) {
      ApiError.unavailable("there is no leader at the moment").sendTo(exchange);
    } else {
      relay(exchange, leader.member(), address);
    }
  }

  private void relay(Exchange exchange, String leaderName, String address) {
    peerClient.send(
        address,
        new PeerRequest.RelayedAdminRequest(
            exchange.method(), exchange.path(), exchange.query(), exchange.body()),
        PeerCodec::decodeRelayedResponse,
        peerClient.timeoutS(),
        relayed -> {
          if (relayed == null) {
            ApiError.unavailable("the leader " + leaderName + " did not answer").sendTo(exchange);
          } else {
            exchange.responder().accept(relayed.response());
          }
        });
  }
}
