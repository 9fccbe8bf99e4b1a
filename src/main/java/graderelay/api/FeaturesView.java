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
 * JSON view of the feature levels for operators: the cluster's level, its features, the members
 * and, on the leader, what blocks a higher level. Used on the event loop only.
 */
final class FeaturesView {
  private final String member;
  private final Cache cache;
  private final FeatureGate gate;
  private final UpgradeCoordinator coordinator;
  private final BooleanSupplier isLeader;

  /**
   * Creates the view.
   *
   * @param coordinator provides on the leader what blocks a higher level, or null if feature levels
   *     are disabled
   * @param isLeader true while this controller is the leader
   */
  FeaturesView(
      String member, Cache cache, UpgradeCoordinator coordinator, BooleanSupplier isLeader) {
    this.member = member;
    this.cache = cache;
    this.gate = cache.features().gate();
    this.coordinator = coordinator;
    this.isLeader = isLeader;
  }

  /** The current state as a JSON body. */
  ObjectNode toJson() {
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
    if (coordinator != null && isLeader.getAsBoolean()) {
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
    for (Member clusterMember : new TreeMap<>(cache.features().members()).values()) {
      members
          .addObject()
          .put("member", clusterMember.name())
          .put("version", clusterMember.version())
          .put("min", clusterMember.range().min())
          .put("max", clusterMember.range().max());
    }
  }

  /**
   * Adds the next level with what blocks it: the highest level that all members support if it is
   * above the current one, else the latest level.
   */
  private void putNextLevel(ObjectNode body, ClusterLevel level) {
    int commonLevel = coordinator.commonLevel();
    int nextLevel = commonLevel > level.level() ? commonLevel : Feature.LATEST_LEVEL;
    if (nextLevel > level.level()) {
      body.put("next", nextLevel);
      ArrayNode waitsFor = body.putArray("waits_for");
      for (Blocker blocker : coordinator.blockers(nextLevel)) {
        waitsFor.addObject().put("member", blocker.member()).put("reason", blocker.reason());
      }
    }
  }
}
