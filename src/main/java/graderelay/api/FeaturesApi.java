package graderelay.api;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.features.Feature;
import graderelay.features.FeatureGate;
import graderelay.features.UpgradeCoordinator;
import graderelay.net.Exchange;
import graderelay.state.Cache;
import graderelay.wire.BadRequest;
import graderelay.wire.Json;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Operators' requests under {@code /admin/features}. Any controller shows what is stored; the
 * leader alone knows what a higher level waits for, and changes the level. Runs on the event loop.
 */
public final class FeaturesApi {
  private static final PathPrefix PREFIX = new PathPrefix("/admin/features");

  private static final ApiError SWITCHED_OFF =
      ApiError.conflict("feature levels are not switched on here (serve --options)");

  private final FeatureGate gate;
  private final UpgradeCoordinator coordinator;
  private final LeaderRoute leader;
  private final FeaturesView view;

  /**
   * Makes the interface.
   *
   * @param member this controller's name
   * @param coordinator changes the level while this controller leads, or null where feature levels
   *     are left alone
   * @param leads true while this controller leads
   */
  public FeaturesApi(
      String member,
      Cache cache,
      UpgradeCoordinator coordinator,
      BooleanSupplier leads,
      LeaderRoute leader) {
    this.gate = cache.features().gate();
    this.coordinator = coordinator;
    this.leader = leader;
    this.view = new FeaturesView(member, cache, coordinator, leads);
  }

  /** True if the path is {@code /admin/features} or below it. */
  public static boolean owns(String path) {
    return PREFIX.covers(path);
  }

  /** Answers a request below {@code /admin/features}: 405 for a wrong method. */
  public void handle(Exchange exchange) {
    String action = PREFIX.rest(exchange.path());
    boolean read = action.isEmpty();
    if (!exchange.method().equals(read ? "GET" : "POST")) {
      ApiError.METHOD_NOT_ALLOWED.sendTo(exchange);
    } else if (read && gate.isClosed()) {
      show(exchange); // It can't ask the leader, and has to say why it takes no part.
    } else if (read) {
      leader.handle(exchange, this::show);
    } else if (coordinator == null) {
      SWITCHED_OFF.sendTo(exchange);
    } else {
      leader.handle(exchange, here -> change(here, action));
    }
  }

  private void show(Exchange exchange) {
    Replies.json(exchange, 200, view.current());
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
            ApiError.notFound("there are finalize, downgrade, hold and release").sendTo(exchange);
      }
    } catch (BadRequest malformed) {
      ApiError.badRequest(malformed.getMessage()).sendTo(exchange);
    }
  }

  private static int requestedLevel(Exchange exchange) throws BadRequest {
    JsonNode body = Json.read(exchange.body());
    JsonNode level = body == null ? Json.object().path("level") : body.path("level");
    if (!level.isInt() || level.intValue() < 0 || level.intValue() > Feature.LATEST_LEVEL) {
      throw new BadRequest("level must be an integer from 0 to " + Feature.LATEST_LEVEL);
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
