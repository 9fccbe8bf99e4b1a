package graderelay.api;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.features.Blocker;
import graderelay.features.ClusterLevel;
import graderelay.features.Feature;
import graderelay.features.FeatureGate;
import graderelay.features.Member;
import graderelay.features.UpgradeCoordinator;
import graderelay.state.Cache;
import graderelay.wire.Json;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/**
 * What operators see of feature levels: the cluster's level, its features, the members, and on the
 * leader what a higher level waits for. Used on the event loop only.
 */
final class FeaturesView {
  private final String member;
  private final Cache cache;
  private final FeatureGate gate;
  private final UpgradeCoordinator coordinator;
  private final BooleanSupplier leads;

  /**
   * Makes the view.
   *
   * @param coordinator knows on the leader what a higher level waits for, or null where feature
   *     levels are left alone
   * @param leads true while this controller leads
   */
  FeaturesView(String member, Cache cache, UpgradeCoordinator coordinator, BooleanSupplier leads) {
    this.member = member;
    this.cache = cache;
    this.gate = cache.features().gate();
    this.coordinator = coordinator;
    this.leads = leads;
  }

  /** The JSON body as of now. */
  ObjectNode current() {
    ClusterLevel level = gate.current();
    ObjectNode body = Json.object().put("member", member).put("level", level.level());
    if (level.isLowering()) {
      body.put("lowering_to", level.target());
    }
    body.put("held", cache.features().isOnHold());
    if (gate.notOpenReason() != null) {
      body.put("out_of_service", gate.notOpenReason());
    }
    addFeatures(body.putArray("features"));
    addMembers(body.putArray("members"));
    if (coordinator != null && leads.getAsBoolean()) {
      putNextLevel(body, level);
    }
    return body;
  }

  private void addFeatures(ArrayNode features) {
    for (Feature feature : Feature.values()) {
      features
          .addObject()
          .put("name", feature.externalName())
          .put("level", feature.level())
          .put("used", gate.isEnabled(feature));
    }
  }

  private void addMembers(ArrayNode members) {
    for (Member each : new TreeMap<>(cache.features().members()).values()) {
      members
          .addObject()
          .put("member", each.name())
          .put("version", each.version())
          .put("min", each.range().min())
          .put("max", each.range().max());
    }
  }

  /** The level that all support and what it waits for, or what keeps the latest level away. */
  private void putNextLevel(ObjectNode body, ClusterLevel level) {
    int common = coordinator.commonLevel();
    int next = common > level.level() ? common : Feature.LATEST_LEVEL;
    if (next > level.level()) {
      body.put("next", next);
      ArrayNode waitsFor = body.putArray("waits_for");
      for (Blocker blocker : coordinator.blockers(next)) {
        waitsFor.addObject().put("member", blocker.member()).put("reason", blocker.reason());
      }
    }
  }
}
