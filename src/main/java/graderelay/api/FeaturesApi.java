package graderelay.api;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.features.Feature;
import graderelay.features.FeatureGate;
import graderelay.features.UpgradeCoordinator;
import graderelay.net.Exchange;
import graderelay.state.Cache;
import graderelay.wire.BadRequestException;
import graderelay.wire.Json;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Operators' requests under {@code /admin/features}. Any controller can show the stored records;
 * only the leader tracks what blocks a higher level, and only it changes the level. Runs on the
 * event loop.
 */
public final class FeaturesApi {
  private static final PathPrefix PREFIX = new PathPrefix("/admin/features");

  private static final ApiError FEATURE_LEVELS_DISABLED =
      ApiError.conflict("feature levels are not enabled on this controller (serve --options)");

  private final FeatureGate gate;
  private final UpgradeCoordinator coordinator;
  private final LeaderRoute leaderRoute;
  private final FeaturesView view;

  /**
   * Creates the handler.
   *
   * @param member this controller's name
   * @param coordinator changes the level while this controller is the leader, or null if feature
   *     levels are disabled
   * @param isLeader true while this controller is the leader
   */
  public FeaturesApi(
      String member,
      Cache cache,
      UpgradeCoordinator coordinator,
      BooleanSupplier isLeader,
      LeaderRoute leaderRoute) {
    this.gate = cache.features().gate();
    this.coordinator = coordinator;
    this.leaderRoute = leaderRoute;
    this.view = new FeaturesView(member, cache, coordinator, isLeader);
  }

  /** True if the path is {@code /admin/features} or below it. */
  public static boolean matches(String path) {
    return PREFIX.matches(path);
  }

  /** Answers a request under {@code /admin/features}: 405 for an unsupported method. */
  public void handle(Exchange exchange) {
    String action = PREFIX.remainder(exchange.path());
    boolean isRead = action.isEmpty();
    if (!exchange.method().equals(isRead ? "GET" : "POST")) {
      ApiError.METHOD_NOT_ALLOWED.sendTo(exchange);
    } else if (isRead && gate.isClosed()) {
      show(exchange); // A shut gate bars requests to the leader; the answer shows the reason.
    } else if (isRead) {
      leaderRoute.handle(exchange, this::show);
    } else if (coordinator == null) {
      FEATURE_LEVELS_DISABLED.sendTo(exchange);
    } else {
      leaderRoute.handle(exchange, request -> change(request, action));
    }
  }

  private void show(Exchange exchange) {
    Replies.json(exchange, 200, view.toJson());
  }

  private void change(Exchange exchange, String action) {
    Consumer<UpgradeCoordinator.Result> done = answer -> reply(exchange, answer);
    try {
      switch (action) {
        case "finalize" -> coordinator.finalizeLevel(requestedLevel(exchange), done);
        case "downgrade" -> coordinator.downgrade(requestedLevel(exchange), done);
        case "hold" -> coordinator.hold(true, done);
        case "release" -> coordinator.hold(false, done);
        default ->
            ApiError.notFound("unknown action; use finalize, downgrade, hold or release")
                .sendTo(exchange);
      }
    } catch (BadRequestException malformed) {
      ApiError.badRequest(malformed.getMessage()).sendTo(exchange);
    }
  }

  private static int requestedLevel(Exchange exchange) throws BadRequestException {
    JsonNode body = Json.read(exchange.body());
    JsonNode level = body == null ? Json.object().path("level") : body.path("level");
    if (!level.isInt() || level.intValue() < 0 || level.intValue() > Feature.LATEST_LEVEL) {
      throw new BadRequestException("level must be an integer from 0 to " + Feature.LATEST_LEVEL);
    }
    return level.intValue();
  }

  private static void reply(Exchange exchange, UpgradeCoordinator.Result answer) {
    if (answer instanceof UpgradeCoordinator.Result.Accepted accepted) {
      Replies.message(exchange, accepted.message());
    } else if (answer instanceof UpgradeCoordinator.Result.Refused refused) {
      ApiError.conflict(refused.message()).sendTo(exchange);
    } else if (answer instanceof UpgradeCoordinator.Result.Unavailable unavailable) {
      ApiError.unavailable(unavailable.message()).sendTo(exchange);
    }
  }
}
