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

/** Routes requests of users, workers, operators and peers to the API that handles them. */
final class RequestRouter {
  private static final String JOBS_PATH = "/v1/jobs";
  private static final String CANCEL_SUFFIX = "/withdraw";

  /** The APIs that handle requests. */
  record Handlers(
      UserApi users, WorkerApi workers, AdminApi admin, FeaturesApi features, QuotaApi quota) {}

  private final Handlers handlers;
  private final FeatureGate featureGate;
  private final RequestHedger requestHedger;
  private final BooleanSupplier isReady;
  private final BooleanSupplier wouldDelaySubmission;
  private final Supplier<String> metricsText;

  /**
   * Creates a router.
   *
   * @param isReady true if this controller can accept requests
   * @param wouldDelaySubmission true if a submission would be delayed here, so that a peer may
   *     handle it sooner
   * @param metricsText the metrics in the Prometheus text format
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

  /** Handles a request of a user, a worker, an operator or the load balancer. */
  void handle(Exchange exchange) {
    String path = exchange.path();
    switch (path) {
      case "/ready" -> requireMethod("GET", exchange, () -> sendReadiness(exchange));
      case "/checkin" ->
          requireMethod("POST", exchange, () -> handlers.workers().handleHeartbeat(exchange));
      case "/metrics" -> requireMethod("GET", exchange, () -> sendMetrics(exchange));
      default -> {
        if (!routeToOperatorApis(exchange)) {
          routeUserRequest(exchange);
        }
      }
    }
  }

  /** Handles a request that a peer has forwarded. */
  void handleForwarded(Exchange exchange) {
    if (routeToOperatorApis(exchange)) {
      return;
    }
    if (featureGate.isClosed()) {
      ApiError.unavailable(featureGate.notOpenReason()).sendTo(exchange);
    } else {
      handleLocally(exchange);
    }
  }

  /** Routes an operator's request to its API; returns false if the request is not an operator's. */
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
   * Handles a user's request, hedged with a peer; a submission is forwarded to a peer first if it
   * would be delayed here.
   */
  private void routeUserRequest(Exchange exchange) {
    boolean isSubmission = exchange.method().equals("POST") && exchange.path().equals(JOBS_PATH);
    if (featureGate.isClosed()) {
      ApiError.unavailable(featureGate.notOpenReason()).sendTo(exchange);
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
      ApiError.unavailable(featureGate.isClosed() ? featureGate.notOpenReason() : "not ready")
          .sendTo(exchange);
    }
  }

  private void sendMetrics(Exchange exchange) {
    byte[] text = metricsText.get().getBytes(StandardCharsets.UTF_8);
    exchange.to().accept(new Answer(200, text, "text/plain; version=0.0.4", 0, false));
  }

  /** Handles a request about jobs on this controller, without a peer. */
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

  /** Routes a request about one job; {@code pathSuffix} is the path after {@code /v1/jobs/}. */
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

  /**
   * Runs the handler if the request has the given method, otherwise responds that the method is not
   * allowed.
   */
  private static void requireMethod(String method, Exchange exchange, Runnable handler) {
    if (exchange.method().equals(method)) {
      handler.run();
    } else {
      ApiError.METHOD_NOT_ALLOWED.sendTo(exchange);
    }
  }
}
