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
  private static final String JOBS_PATH = "/v1/jobs";
  private static final String CANCEL_SUFFIX = "/withdraw";

  /** The interfaces that serve requests. */
  record Handlers(
      UserApi users, WorkerApi workers, AdminApi admin, FeaturesApi features, QuotaApi quota) {}

  private final Handlers handlers;
  private final FeatureGate featureGate;
  private final RequestHedger requestHedger;
  private final BooleanSupplier isReady;
  private final BooleanSupplier wouldDelaySubmission;
  private final Supplier<String> metricsText;

  /**
   * Makes a router.
   *
   * @param ready true if this controller can take requests
   * @param submissionsWaitHere true if a peer may take a submission sooner
   * @param metrics the text that a Prometheus server reads
   */
  RequestRouter(
      Handlers handlers,
      FeatureGate featureGate,
      RequestHedger requestHedger,
      BooleanSupplier isReady,
      BooleanSupplier wouldDelaySubmission,
      Supplier<String> metricsText) {
    this.handlers = handlers;
    this.featureGate = featureGate;
    this.requestHedger = requestHedger;
    this.isReady = isReady;
    this.wouldDelaySubmission = wouldDelaySubmission;
    this.metricsText = metricsText;
  }

  /** Requests of users, workers, operators and the load balancer. */
  void handle(Exchange exchange) {
    String path = exchange.path();
    switch (path) {
      case "/ready" -> requireMethod("GET", exchange, () -> sendReadiness(exchange));
      case "/checkin" ->
          requireMethod("POST", exchange, () -> handlers.workers().checkin(exchange));
      case "/metrics" -> requireMethod("GET", exchange, () -> sendMetrics(exchange));
      default -> {
        if (!routeToOperatorApis(exchange)) {
          routeUserRequest(exchange);
        }
      }
    }
  }

  /** A request that a peer passes on. */
  void handleRelayed(Exchange exchange) {
    if (routeToOperatorApis(exchange)) {
      return;
    }
    if (featureGate.isShut()) {
      ApiError.unavailable(featureGate.closedBecause()).sendTo(exchange);
    } else {
      handleLocally(exchange);
    }
  }

  /** Hands an operators' request to its interface; false if the request is none. */
  private boolean routeToOperatorApis(Exchange exchange) {
    String path = exchange.path();
    if (FeaturesApi.owns(path)) {
      handlers.features().handle(exchange);
    } else if (QuotaApi.owns(path)) {
      handlers.quota().handle(exchange);
    } else if (AdminApi.owns(path)) {
      handlers.admin().handle(exchange);
    } else {
      return false;
    }
    return true;
  }

  /**
   * A user's request, hedged with a peer; a submission goes to a peer first if it would wait here.
   */
  private void routeUserRequest(Exchange exchange) {
    boolean isSubmission = exchange.method().equals("POST") && exchange.path().equals(JOBS_PATH);
    if (featureGate.isShut()) {
      ApiError.unavailable(featureGate.closedBecause()).sendTo(exchange);
    } else if (isSubmission && wouldDelaySubmission.getAsBoolean()) {
      requestHedger.handleAtPeerFirst(exchange, this::handleLocally);
    } else {
      requestHedger.handle(exchange, this::handleLocally);
    }
  }

  private void sendReadiness(Exchange exchange) {
    if (isReady.getAsBoolean()) {
      exchange.to().accept(Answer.json(200, Json.write(Json.object().put("ready", true))));
    } else {
      ApiError.unavailable(featureGate.isShut() ? featureGate.closedBecause() : "not ready")
          .sendTo(exchange);
    }
  }

  private void sendMetrics(Exchange exchange) {
    byte[] text = metricsText.get().getBytes(StandardCharsets.UTF_8);
    exchange.to().accept(new Answer(200, text, "text/plain; version=0.0.4", 0, false));
  }

  /** Requests about jobs, decided by this controller itself. */
  private void handleLocally(Exchange exchange) {
    String path = exchange.path();
    if (path.equals(JOBS_PATH)) {
      requireMethod("POST", exchange, () -> handlers.users().submit(exchange));
    } else if (path.startsWith(JOBS_PATH + "/")) {
      routeJobRequest(exchange, path.substring(JOBS_PATH.length() + 1));
    } else {
      ApiError.NO_SUCH_PATH.sendTo(exchange);
    }
  }

  /** A request about one job: {@code rest} is the path after {@code /v1/jobs/}. */
  private void routeJobRequest(Exchange exchange, String pathSuffix) {
    if (pathSuffix.endsWith(CANCEL_SUFFIX)
        && pathSuffix.indexOf('/') == pathSuffix.length() - CANCEL_SUFFIX.length()) {
      String id = pathSuffix.substring(0, pathSuffix.length() - CANCEL_SUFFIX.length());
      requireMethod("POST", exchange, () -> handlers.users().cancel(exchange, id));
    } else if (pathSuffix.isEmpty() || pathSuffix.indexOf('/') >= 0) {
      ApiError.NO_SUCH_PATH.sendTo(exchange);
    } else {
      requireMethod("GET", exchange, () -> handlers.users().poll(exchange, pathSuffix));
    }
  }

  /** Refuses the request unless it has this method. */
  private static void requireMethod(String method, Exchange exchange, Runnable handler) {
    if (exchange.method().equals(method)) {
      handler.run();
    } else {
      ApiError.METHOD_NOT_ALLOWED.sendTo(exchange);
    }
  }
}
