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

/** Passes requests of users, workers, operators and other controllers on to whom they concern. */
final class RequestRouter {
  private static final String JOBS = "/v1/jobs";
  private static final String WITHDRAW = "/withdraw";

  /** Whom requests concern. */
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
  void handle(Exchange e) {
    String path = e.path();
    switch (path) {
      case "/ready" -> only("GET", e, () -> showReady(e));
      case "/checkin" -> only("POST", e, () -> targets.workers().checkin(e));
      case "/metrics" -> only("GET", e, () -> showMetrics(e));
      default -> {
        if (!routedToOperatorApis(e)) {
          routeUserRequest(e);
        }
      }
    }
  }

  /** What another controller passes on. */
  void handleRelayed(Exchange e) {
    if (routedToOperatorApis(e)) {
      return;
    }
    if (gate.isShut()) {
      ApiError.unavailable(gate.closedBecause()).sendTo(e);
    } else {
      handleHere(e);
    }
  }

  /** Hands an operators' request to its interface; false if the request is none. */
  private boolean routedToOperatorApis(Exchange e) {
    String path = e.path();
    if (FeaturesApi.owns(path)) {
      targets.features().handle(e);
    } else if (QuotaApi.owns(path)) {
      targets.quota().handle(e);
    } else if (AdminApi.owns(path)) {
      targets.admin().handle(e);
    } else {
      return false;
    }
    return true;
  }

  /**
   * A user's request, hedged with a peer; a submission goes to a peer first if it would wait here.
   */
  private void routeUserRequest(Exchange e) {
    boolean submission = e.method().equals("POST") && e.path().equals(JOBS);
    if (gate.isShut()) {
      ApiError.unavailable(gate.closedBecause()).sendTo(e);
    } else if (submission && submissionsWaitHere.getAsBoolean()) {
      hedger.handleAtPeerFirst(e, this::handleHere);
    } else {
      hedger.handle(e, this::handleHere);
    }
  }

  private void showReady(Exchange e) {
    if (ready.getAsBoolean()) {
      e.to().accept(Answer.json(200, Json.write(Json.object().put("ready", true))));
    } else {
      ApiError.unavailable(gate.isShut() ? gate.closedBecause() : "not ready").sendTo(e);
    }
  }

  private void showMetrics(Exchange e) {
    byte[] text = metrics.get().getBytes(StandardCharsets.UTF_8);
    e.to().accept(new Answer(200, text, "text/plain; version=0.0.4", 0, false));
  }

  /** Requests about jobs, decided by this controller itself. */
  private void handleHere(Exchange e) {
    String path = e.path();
    if (path.equals(JOBS)) {
      only("POST", e, () -> targets.users().submit(e));
    } else if (path.startsWith(JOBS + "/")) {
      routeJobRequest(e, path.substring(JOBS.length() + 1));
    } else {
      ApiError.NO_SUCH_PATH.sendTo(e);
    }
  }

  /** A request about one job: {@code rest} is the path after {@code /v1/jobs/}. */
  private void routeJobRequest(Exchange e, String rest) {
    if (rest.endsWith(WITHDRAW) && rest.indexOf('/') == rest.length() - WITHDRAW.length()) {
      String id = rest.substring(0, rest.length() - WITHDRAW.length());
      only("POST", e, () -> targets.users().cancel(e, id));
    } else if (rest.isEmpty() || rest.indexOf('/') >= 0) {
      ApiError.NO_SUCH_PATH.sendTo(e);
    } else {
      only("GET", e, () -> targets.users().poll(e, rest));
    }
  }

  private static void only(String method, Exchange e, Runnable then) {
    if (e.method().equals(method)) {
      then.run();
    } else {
      ApiError.METHOD_NOT_ALLOWED.sendTo(e);
    }
  }
}
