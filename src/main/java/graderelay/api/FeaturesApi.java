package graderelay.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.features.Blocker;
import graderelay.features.ClusterLevel;
import graderelay.features.Feature;
import graderelay.features.FeatureGate;
import graderelay.features.Member;
import graderelay.features.UpgradeCoordinator;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.state.Cache;
import graderelay.wire.Json;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * What operators see and change of feature levels. Any controller shows what is stored; the leader
 * alone knows what a higher level waits for, and changes the level.
 */
public final class FeaturesApi {
  private static final String ROOT = "/admin/features";
  private static final int CONFLICT = 409;

  /** Passes a request on to the leader, unless this controller is it. */
  public interface Leader {
    void handle(Exchange e, Consumer<Exchange> here);
  }

  private final String member;
  private final Cache cache;
  private final FeatureGate gate;
  private final UpgradeCoordinator coordinator;
  private final BooleanSupplier leads;
  private final Leader leader;

  /**
   * Makes the interface.
   *
   * @param coordinator the leader's duty, or null where feature levels are left alone
   */
  public FeaturesApi(
      String member,
      Cache cache,
      UpgradeCoordinator coordinator,
      BooleanSupplier leads,
      Leader leader) {
    this.member = member;
    this.cache = cache;
    this.gate = cache.features().gate();
    this.coordinator = coordinator;
    this.leads = leads;
    this.leader = leader;
  }

  public static boolean owns(String path) {
    return path.equals(ROOT) || path.startsWith(ROOT + "/");
  }

  public void handle(Exchange e) {
    String rest = e.path().length() <= ROOT.length() ? "" : e.path().substring(ROOT.length() + 1);
    boolean read = rest.isEmpty();
    if (!e.method().equals(read ? "GET" : "POST")) {
      UserApi.refuse(e, 405, "method not allowed");
    } else if (read && gate.isShut()) {
      show(e); // It can't ask the leader, and has to say why it takes no part.
    } else if (read) {
      leader.handle(e, this::show);
    } else if (coordinator == null) {
      UserApi.refuse(e, CONFLICT, "feature levels are not switched on here (serve --options)");
    } else {
      leader.handle(e, here -> change(here, rest));
    }
  }

  private void change(Exchange e, String what) {
    switch (what) {
      case "finalize" -> withLevel(e, level -> coordinator.finalizeLevel(level, told(e)));
      case "downgrade" -> withLevel(e, level -> coordinator.downgrade(level, told(e)));
      case "hold" -> coordinator.hold(true, told(e));
      case "release" -> coordinator.hold(false, told(e));
      default -> UserApi.refuse(e, 404, "there are finalize, downgrade, hold and release");
    }
  }

  private static void withLevel(Exchange e, Consumer<Integer> then) {
    JsonNode body = Json.read(e.body());
    JsonNode level = body == null ? Json.object().path("level") : body.path("level");
    if (!level.isInt() || level.intValue() < 0 || level.intValue() > Feature.LATEST_LEVEL) {
      UserApi.refuse(e, 400, "level must be an integer from 0 to " + Feature.LATEST_LEVEL);
    } else {
      then.accept(level.intValue());
    }
  }

  private static Consumer<UpgradeCoordinator.Answer> told(Exchange e) {
    return answer -> {
      if (answer instanceof UpgradeCoordinator.Answer.Accepted a) {
        ObjectNode n = Json.object().put("message", a.message());
        e.to().accept(Answer.json(200, Json.write(n)));
      } else if (answer instanceof UpgradeCoordinator.Answer.Refused r) {
        UserApi.refuse(e, CONFLICT, r.message());
      } else if (answer instanceof UpgradeCoordinator.Answer.Unavailable u) {
        UserApi.unavailable(e, u.message());
      }
    };
  }

  private void show(Exchange e) {
    ClusterLevel level = gate.current();
    ObjectNode n = Json.object().put("member", member).put("level", level.level());
    if (level.lowering()) {
      n.put("lowering_to", level.target());
    }
    n.put("held", cache.features().held());
    if (gate.closedBecause() != null) {
      n.put("out_of_service", gate.closedBecause());
    }
    ArrayNode features = n.putArray("features");
    for (Feature f : Feature.values()) {
      features
          .addObject()
          .put("name", f.externalName())
          .put("level", f.level())
          .put("used", gate.enabled(f));
    }
    ArrayNode members = n.putArray("members");
    for (Member m : new TreeMap<>(cache.features().members()).values()) {
      members
          .addObject()
          .put("member", m.name())
          .put("version", m.version())
          .put("min", m.range().min())
          .put("max", m.range().max());
    }
    if (coordinator != null && leads.getAsBoolean()) {
      next(n, level);
    }
    e.to().accept(Answer.json(200, Json.write(n)));
  }

  /** The level that all support and what it waits for, or what keeps the latest level away. */
  private void next(ObjectNode n, ClusterLevel level) {
    int common = coordinator.commonLevel();
    int next = common > level.level() ? common : Feature.LATEST_LEVEL;
    if (next > level.level()) {
      n.put("next", next);
      ArrayNode waits = n.putArray("waits_for");
      for (Blocker b : coordinator.blockers(next)) {
        waits.addObject().put("member", b.member()).put("reason", b.reason());
      }
    }
  }
}
