package graderelay.service;

import graderelay.api.AdminApi;
import graderelay.api.ApiError;
import graderelay.api.FeaturesApi;
import graderelay.api.QuotaApi;
import graderelay.api.UserApi;
import graderelay.features.FeatureGate;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.peer.RequestHedger;
import graderelay.wire.Json;
import graderelay.worker.WorkerApi;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Passes requests of users, workers, operators and peers on to the interface that serves them. */
final class RequestRouter {
  private static final String JOBS = "/v1/jobs";
  private static final String WITHDRAW = "/withdraw";

  /** The interfaces that serve requests. */
  record Targets(
      UserApi users, WorkerApi workers, AdminApi admin, FeaturesApi features, QuotaApi quota) {}

  private final Targets targets;
  private final FeatureGate gate;
  private final RequestHedger hedger;
  private final BooleanSupplier ready;
  private final BooleanSupplier submissionsWaitHere;
  private final Supplier<String> metrics;

  /**
   * Makes a router.
   *
   * @param ready true if this controller can take requests
   * @param submissionsWaitHere true if a peer may take a submission sooner
   * @param metrics the text that a Prometheus server reads
   */
  RequestRouter(
      Targets targets,
      FeatureGate gate,
      RequestHedger hedger,
      BooleanSupplier ready,
      BooleanSupplier submissionsWaitHere,
      Supplier<String> metrics) {
    this.targets = targets;
    this.gate = gate;
    this.hedger = hedger;
    this.ready = ready;
    this.submissionsWaitHere = submissionsWaitHere;
    this.metrics = metrics;
  }

  /** Requests of users, workers, operators and the load balancer. */
  void handle(Exchange exchange) {
    String path = exchange.path();
    switch (path) {
      case "/ready" -> withMethod("GET", exchange, () -> showReady(exchange));
      case "/checkin" ->
          withMethod("POST", exchange, () -> targets.workers().handleHeartbeat(exchange));
      case "/metrics" -> withMethod("GET", exchange, () -> showMetrics(exchange));
      default -> {
        if (!routedToOperatorApis(exchange)) {
          routeUserRequest(exchange);
        }
      }
    }
  }

  /** A request that a peer passes on. */
  void handleRelayed(Exchange exchange) {
    if (routedToOperatorApis(exchange)) {
      return;
    }
    if (gate.isClosed()) {
      ApiError.unavailable(gate.notOpenReason()).sendTo(exchange);
    } else {
      handleHere(exchange);
    }
  }

  /** Hands an operators' request to its interface; false if the request is none. */
  private boolean routedToOperatorApis(Exchange exchange) {
    String path = exchange.path();
    if (FeaturesApi.owns(path)) {
      targets.features().handle(exchange);
    } else if (QuotaApi.owns(path)) {
      targets.quota().handle(exchange);
    } else if (AdminApi.owns(path)) {
      targets.admin().handle(exchange);
    } else {
      return false;
    }
    return true;
  }

  /**
   * A user's request, hedged with a peer; a submission goes to a peer first if it would wait here.
   */
  private void routeUserRequest(Exchange exchange) {
    boolean submission = exchange.method().equals("POST") && exchange.path().equals(JOBS);
    if (gate.isClosed()) {
      ApiError.unavailable(gate.notOpenReason()).sendTo(exchange);
    } else if (submission && submissionsWaitHere.getAsBoolean()) {
      hedger.handleAtPeerFirst(exchange, this::handleHere);
    } else {
      hedger.handle(exchange, this::handleHere);
    }
  }

  private void showReady(Exchange exchange) {
    if (ready.getAsBoolean()) {
      exchange.to().accept(Answer.json(200, Json.write(Json.object().put("ready", true))));
    } else {
      ApiError.unavailable(gate.isClosed() ? gate.notOpenReason() : "not ready").sendTo(exchange);
    }
  }

  private void showMetrics(Exchange exchange) {
    byte[] text = metrics.get().getBytes(StandardCharsets.UTF_8);
    exchange.to().accept(new Answer(200, text, "text/plain; version=0.0.4", 0, false));
  }

  /** Requests about jobs, decided by this controller itself. */
  private void handleHere(Exchange exchange) {
    String path = exchange.path();
    if (path.equals(JOBS)) {
      withMethod("POST", exchange, () -> targets.users().submit(exchange));
    } else if (path.startsWith(JOBS + "/")) {
      routeJobRequest(exchange, path.substring(JOBS.length() + 1));
    } else {
      ApiError.NO_SUCH_PATH.sendTo(exchange);
    }
  }

  /** A request about one job: {@code rest} is the path after {@code /v1/jobs/}. */
  private void routeJobRequest(Exchange exchange, String rest) {
    if (rest.endsWith(WITHDRAW) && rest.indexOf('/') == rest.length() - WITHDRAW.length()) {
      String id = rest.substring(0, rest.length() - WITHDRAW.length());
      withMethod("POST", exchange, () -> targets.users().cancel(exchange, id));
    } else if (rest.isEmpty() || rest.indexOf('/') >= 0) {
      ApiError.NO_SUCH_PATH.sendTo(exchange);
    } else {
      withMethod("GET", exchange, () -> targets.users().poll(exchange, rest));
    }
  }

  /** Refuses the request unless it has this method. */
  private static void withMethod(String method, Exchange exchange, Runnable then) {
    if (exchange.method().equals(method)) {
      then.run();
    } else {
      ApiError.METHOD_NOT_ALLOWED.sendTo(exchange);
    }
  }
}
