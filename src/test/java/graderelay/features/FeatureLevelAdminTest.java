package graderelay.features;

import static graderelay.features.UpgradeSteps.LATEST;
import static graderelay.features.UpgradeSteps.SOAK_S;
import static graderelay.features.UpgradeSteps.change;
import static graderelay.features.UpgradeSteps.finalized;
import static graderelay.features.UpgradeSteps.level;
import static graderelay.features.UpgradeSteps.levelled;
import static graderelay.features.UpgradeSteps.manual;
import static graderelay.features.UpgradeSteps.pinned;
import static graderelay.features.UpgradeSteps.show;
import static graderelay.features.UpgradeSteps.upgrade;
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

/** Operators hold and raise the feature level, and meet bad records of it. */
class FeatureLevelAdminTest {
  @Test
  void heldLevelRisesOnlyOnceTheHoldIsTakenBack() {
    SimWorld w = levelled(224, 3, pinned(LATEST));
    assertThat(w.users.answer(0, "POST", "/admin/features/hold", null).path("http").asInt())
        .isEqualTo(200);
    w.loop.run(3 * SOAK_S);
    assertThat(level(w)).isZero();
    assertThat(show(w, 1).path("held").asBoolean()).isTrue();
    assertThat(w.users.answer(2, "POST", "/admin/features/release", null).path("http").asInt())
        .isEqualTo(200);
    w.loop.run(3);
    assertThat(level(w)).isEqualTo(LATEST);
    fine(w);
  }

  @Test
  void finalizationThatNotAllSupportNamesTheController() {
    SimWorld w = levelled(225, 3, manual(LATEST));
    upgrade(w, 1, manual(1));
    w.loop.run(SOAK_S + 4);
    JsonNode refused = change(w, 0, "finalize", LATEST);
    assertThat(refused.path("http").asInt()).isEqualTo(409);
    assertThat(refused.path("error").asText()).contains("m-1 supports feature levels 0 to 1");
    assertThat(change(w, 0, "finalize", 9).path("http").asInt()).isEqualTo(400);
    JsonNode raised = change(w, 0, "finalize", 1);
    assertThat(raised.path("http").asInt()).as(raised.toString()).isEqualTo(200);
    assertThat(level(w)).isEqualTo(1);
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"'{\"level\":\"two\"}', 226", "'{\"level\":-1}', 227", "'{}', 228"})
  void malformedLevelRecordStopsEverybodyUntilItIsMended(String record, long seed) {
    SimWorld w = finalized(seed, 3);
    w.store.overwrite(FeatureCodec.LEVEL, Json.read(record.getBytes()));
    w.loop.run(15);
    for (int i = 0; i < 3; i++) {
      JsonNode ready = w.users.answer(i, "GET", "/ready", null);
      assertThat(ready.path("http").asInt()).isEqualTo(503);
      assertThat(ready.path("error").asText()).contains("malformed").contains("level");
    }
    assertThat(w.left).isEmpty();
    w.store.overwrite(FeatureCodec.LEVEL, Json.object().put("level", LATEST));
    w.loop.run(10);
    assertThat(w.leader()).isNotNegative();
    SimJob job = w.users.job("j-000660", 1, 1, 2, true);
    w.users.submit(0, job);
    w.loop.run(30);
    assertThat(w.users.stage(1, job.id)).isEqualTo("done");
    fine(w);
  }

  @Test
  void unknownFutureLevelIsRefusedWithMessage() {
    SimWorld w = new SimWorld(229, WorldShape.of(3));
    w.crashAll();
    w.store.overwrite(FeatureCodec.LEVEL, Json.object().put("level", 99));
    w.startAll();
    w.loop.run(10);
    assertThat(w.leader()).isEqualTo(-1);
    assertThat(w.left).isEmpty();
    assertThat(w.users.answer(0, "GET", "/ready", null).path("error").asText()).contains("99");
  }
}
