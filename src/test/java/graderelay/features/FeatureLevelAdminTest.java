package graderelay.features;

import static graderelay.features.UpgradeSteps.LATEST;
import static graderelay.features.UpgradeSteps.SOAK_S;
import static graderelay.features.UpgradeSteps.automaticUpgrade;
import static graderelay.features.UpgradeSteps.manualUpgrade;
import static graderelay.features.UpgradeSteps.requestLevelChange;
import static graderelay.features.UpgradeSteps.showLevel;
import static graderelay.features.UpgradeSteps.storedLevel;
import static graderelay.features.UpgradeSteps.upgrade;
import static graderelay.features.UpgradeSteps.worldAtBaseLevel;
import static graderelay.features.UpgradeSteps.worldAtLatestLevel;
import static graderelay.sim.WorldAssertions.fine;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldShape;
import graderelay.wire.FeatureCodec;
import graderelay.wire.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Operators hold and raise the feature level, or find its record malformed. */
class FeatureLevelAdminTest {
  @Test
  void heldLevelRisesOnlyAfterTheHoldIsReleased() {
    SimWorld world = worldAtBaseLevel(224, 3, automaticUpgrade(LATEST));
    assertThat(world.users.answer(0, "POST", "/admin/features/hold", null).path("http").asInt())
        .isEqualTo(200);
    world.loop.run(3 * SOAK_S);
    assertThat(storedLevel(world)).isZero();
    assertThat(showLevel(world, 1).path("held").asBoolean()).isTrue();
    assertThat(world.users.answer(2, "POST", "/admin/features/release", null).path("http").asInt())
        .isEqualTo(200);
    world.loop.run(3);
    assertThat(storedLevel(world)).isEqualTo(LATEST);
    fine(world);
  }

  @Test
  void refusedFinalizationNamesTheControllerThatDoesNotSupportTheLevel() {
    SimWorld world = worldAtBaseLevel(225, 3, manualUpgrade(LATEST));
    upgrade(world, 1, manualUpgrade(1));
    world.loop.run(SOAK_S + 4);
    JsonNode refused = requestLevelChange(world, 0, "finalize", LATEST);
    assertThat(refused.path("http").asInt()).isEqualTo(409);
    assertThat(refused.path("error").asText()).contains("m-1 supports feature levels 0 to 1");
    assertThat(requestLevelChange(world, 0, "finalize", 9).path("http").asInt()).isEqualTo(400);
    JsonNode raised = requestLevelChange(world, 0, "finalize", 1);
    assertThat(raised.path("http").asInt()).as(raised.toString()).isEqualTo(200);
    assertThat(storedLevel(world)).isEqualTo(1);
    fine(world);
  }

  @ParameterizedTest
  @CsvSource({"'{\"level\":\"two\"}', 226", "'{\"level\":-1}', 227", "'{}', 228"})
  void malformedLevelRecordStopsAllControllersUntilItIsRepaired(String record, long seed) {
    SimWorld world = worldAtLatestLevel(seed, 3);
    world.store.overwrite(FeatureCodec.LEVEL, Json.read(record.getBytes()));
    world.loop.run(15);
    for (int i = 0; i < 3; i++) {
      JsonNode ready = world.users.answer(i, "GET", "/ready", null);
      assertThat(ready.path("http").asInt()).isEqualTo(503);
      assertThat(ready.path("error").asText()).contains("malformed").contains("level");
    }
    assertThat(world.left).isEmpty();
    world.store.overwrite(FeatureCodec.LEVEL, Json.object().put("level", LATEST));
    world.loop.run(10);
    assertThat(world.leader()).isNotNegative();
    SimJob job = world.users.job("j-000660", 1, 1, 2, true);
    world.users.submit(0, job);
    world.loop.run(30);
    assertThat(world.users.stage(1, job.id)).isEqualTo("done");
    fine(world);
  }

  @Test
  void unsupportedFutureLevelIsReportedByTheReadinessCheck() {
    SimWorld world = new SimWorld(229, WorldShape.of(3));
    world.crashAll();
    world.store.overwrite(FeatureCodec.LEVEL, Json.object().put("level", 99));
    world.startAll();
    world.loop.run(10);
    assertThat(world.leader()).isEqualTo(-1);
    assertThat(world.left).isEmpty();
    assertThat(world.users.answer(0, "GET", "/ready", null).path("error").asText()).contains("99");
  }
}
