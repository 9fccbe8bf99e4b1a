package graderelay.features;

import static graderelay.features.UpgradeSteps.LATEST;
import static graderelay.features.UpgradeSteps.SOAK_S;
import static graderelay.features.UpgradeSteps.assertAllJobsEnd;
import static graderelay.features.UpgradeSteps.automaticUpgrade;
import static graderelay.features.UpgradeSteps.manualUpgrade;
import static graderelay.features.UpgradeSteps.productionWorld;
import static graderelay.features.UpgradeSteps.requestLevelChange;
import static graderelay.features.UpgradeSteps.showLevel;
import static graderelay.features.UpgradeSteps.storedLevel;
import static graderelay.features.UpgradeSteps.submitSteadyJobs;
import static graderelay.features.UpgradeSteps.upgrade;
import static graderelay.features.UpgradeSteps.worldAtBaseLevel;
import static graderelay.sim.WorldAssertions.fine;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldShape;
import graderelay.wire.FeatureCodec;
import graderelay.wire.Json;
import graderelay.wire.QuotaCodec;
import graderelay.wire.StateCodec;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Rolling upgrades: the feature level is raised only after all controllers are upgraded. */
class RollingUpgradeTest {
  @ParameterizedTest
  @CsvSource({"3, 201", "5, 202"})
  void levelRisesOnlyAfterAllControllersAreUpgradedAndCompletedTheSoak(int size, long seed) {
    SimWorld world = productionWorld(seed, size);
    final List<SimJob> jobs = submitSteadyJobs(world, 80);
    for (int i = 0; i < size; i++) {
      assertThat(storedLevel(world)).isZero();
      upgrade(world, i, automaticUpgrade(LATEST));
      world.loop.run(SOAK_S);
    }
    world.loop.run(SOAK_S + 3);
    assertThat(storedLevel(world)).isEqualTo(LATEST);
    assertThat(world.store.value(FeatureCodec.LEADER)).isNotNull();
    assertThat(world.store.value(StateCodec.LEADER).path("member").asText())
        .isEqualTo(FeatureCodec.SEALED_LEADER);
    assertThat(world.leader()).isNotNegative();
    assertAllJobsEnd(world, jobs);
  }

  @Test
  void noNewRecordsAreStoredBeforeFinalizationSoRollbackIsSafe() {
    SimWorld world = productionWorld(203, 3);
    final List<SimJob> jobs = submitSteadyJobs(world, 80);
    upgrade(world, 0, automaticUpgrade(LATEST));
    upgrade(world, 1, automaticUpgrade(LATEST));
    world.loop.run(2 * SOAK_S);
    assertThat(storedLevel(world)).isZero();
    for (String key : world.store.everWritten) {
      boolean belongsToFeatures =
          key.startsWith(FeatureCodec.ROOT)
              || key.startsWith(FeatureCodec.HINTS)
              || key.startsWith(QuotaCodec.ROOT);
      assertThat(belongsToFeatures && !key.startsWith(FeatureCodec.MEMBERS)).as(key).isFalse();
    }
    for (int i : new int[] {1, 0}) {
      world.rollBack(i);
      world.crash(i);
      world.loop.run(2);
      world.start(i);
      world.loop.run(4);
    }
    world.loop.run(3 * SOAK_S);
    assertThat(storedLevel(world)).isZero();
    assertAllJobsEnd(world, jobs);
  }

  @Test
  void leaderMayCrashDuringAnUpgradeThatIsRolledBack() {
    SimWorld world = productionWorld(204, 3);
    final List<SimJob> jobs = submitSteadyJobs(world, 80);
    upgrade(world, 0, automaticUpgrade(LATEST));
    upgrade(world, 1, automaticUpgrade(LATEST));
    int leader = world.leader();
    world.crash(leader);
    world.loop.run(1);
    world.rollBack(1);
    if (world.isUp(1)) {
      world.crash(1);
    }
    world.loop.run(3);
    for (int i = 0; i < 3; i++) {
      if (!world.isUp(i)) {
        world.start(i);
      }
    }
    world.loop.run(3 * SOAK_S);
    assertThat(storedLevel(world)).isZero();
    assertAllJobsEnd(world, jobs);
  }

  @Test
  void staleMemberRecordOfAnEndedProcessDoesNotEnableFinalization() {
    SimWorld world = productionWorld(205, 3);
    for (int i = 0; i < 3; i++) {
      upgrade(world, i, automaticUpgrade(LATEST));
      if (i == 0) {
        // It is rolled back; the member record of its upgraded process stays in the store.
        world.rollBack(0);
        world.crash(0);
        world.loop.run(1);
        world.start(0);
      }
    }
    world.loop.run(4 * SOAK_S);
    assertThat(world.store.value(FeatureCodec.memberKey("m-0"))).isNotNull();
    assertThat(storedLevel(world)).isZero();
    JsonNode shown = showLevel(world, world.leader() == 0 ? 1 : world.leader());
    if (shown.has("waits_for")) {
      assertThat(shown.path("waits_for").toString()).contains("m-0");
    }
    fine(world);
  }

  @Test
  void controllerRolledBackDuringFinalizationMakesItFail() {
    SimWorld world = worldAtBaseLevel(206, 3, manualUpgrade(LATEST));
    world.loop.run(SOAK_S + 3);
    int leader = world.leader();
    final int other = (leader + 1) % 3;
    // The transaction is delayed until the other controller has restarted with the old version.
    boolean[] levelWriteDelayed = {false};
    world.store.delay =
        transaction -> {
          boolean raisesLevel = transaction.path("then").toString().contains(FeatureCodec.LEVEL);
          levelWriteDelayed[0] |= raisesLevel;
          return raisesLevel;
        };
    world.store.delayS = 6;
    world.users.ask(
        leader,
        "POST",
        "/admin/features/finalize",
        Json.write(Json.object().put("level", LATEST)),
        (reply, body) -> {});
    world.loop.run(0.2);
    assertThat(levelWriteDelayed[0]).isTrue();
    world.replace(other, manualUpgrade(0));
    world.crash(other);
    world.start(other);
    world.loop.run(10);
    world.store.delay = transaction -> false;
    assertThat(storedLevel(world)).isZero();
    world.loop.run(20);
    fine(world);
  }

  @Test
  void finalizationWhoseCommitResponseIsLostIsDetectedFromTheRecords() {
    SimWorld world = worldAtBaseLevel(207, 3, manualUpgrade(LATEST));
    final List<SimJob> jobs = submitSteadyJobs(world, 40);
    world.loop.run(SOAK_S + 3);
    world.store.loseAnswer =
        transaction -> transaction.path("then").toString().contains(FeatureCodec.LEVEL);
    int before = world.leader();
    assertThat(requestLevelChange(world, before, "finalize", LATEST).path("http").asInt())
        .isEqualTo(503);
    world.store.loseAnswer = transaction -> false;
    world.loop.run(10);
    assertThat(storedLevel(world)).isEqualTo(LATEST);
    assertThat(world.leader()).isNotNegative();
    assertThat(showLevel(world, before).path("level").asInt()).isEqualTo(LATEST);
    assertAllJobsEnd(world, jobs);
  }

  @Test
  void storeOutageDuringUpgradeOnlyDelaysFinalization() {
    SimWorld world = worldAtBaseLevel(208, 3, automaticUpgrade(LATEST));
    world.users.submit(0, world.users.job("j-000600", 3, 1, 0, false));
    final List<SimJob> jobs = submitSteadyJobs(world, 60);
    world.loop.run(SOAK_S - 6); // All are up, but not yet for the soak time.
    final int starts = world.invariants.starts;
    world.store.outage(true);
    world.loop.run(8);
    world.store.outage(false);
    assertThat(storedLevel(world)).isZero();
    world.loop.run(3 * SOAK_S);
    assertThat(storedLevel(world)).isEqualTo(LATEST);
    assertThat(world.invariants.starts).isGreaterThanOrEqualTo(starts);
    world.store.outage(true); // Another outage right after finalization.
    world.loop.run(8);
    world.store.outage(false);
    world.loop.run(3);
    assertThat(world.users.stage(1, "j-000600")).isEqualTo("running");
    assertAllJobsEnd(world, jobs);
  }

  @Test
  void controllerWithoutStoreAccessBlocksFinalizationUntilItHasAccessAgain() {
    SimWorld world = new SimWorld(209, WorldShape.of(3));
    world.loop.run(4);
    int refused = (world.leader() + 1) % 3;
    for (int i = 0; i < 3; i++) {
      world.replace(i, automaticUpgrade(LATEST));
      world.crash(i);
      world.refused[i][0] = i == refused;
      world.start(i);
    }
    world.loop.run(3 * SOAK_S);
    assertThat(storedLevel(world)).isZero();
    world.refused[refused][0] = false;
    world.loop.run(SOAK_S + 8);
    assertThat(storedLevel(world)).isEqualTo(LATEST);
    world.refused[refused][0] = true; // Without store access again, it still knows the level.
    SimJob job = world.users.job("j-000610", 2, 1, 5, true);
    world.users.submit(refused, job);
    world.loop.run(30);
    world.refused[refused][0] = false;
    world.loop.run(5);
    assertThat(world.users.stage(refused, job.id)).isEqualTo("done");
    fine(world);
  }

  @Test
  void allControllersMayRestartAtOnceRightAfterFinalization() {
    SimWorld world = worldAtBaseLevel(210, 3, automaticUpgrade(LATEST));
    world.users.submit(0, world.users.job("j-000620", 3, 1, 0, false));
    final List<SimJob> jobs = submitSteadyJobs(world, 40);
    for (int i = 0; i < 600 && storedLevel(world) == 0; i++) {
      world.loop.run(0.05);
    }
    assertThat(storedLevel(world)).isEqualTo(LATEST);
    world.crashAll();
    world.loop.run(1);
    world.startAll();
    world.loop.run(10);
    assertThat(world.leader()).isNotNegative();
    assertThat(world.left).isEmpty();
    assertThat(world.users.stage(2, "j-000620")).isEqualTo("running");
    assertAllJobsEnd(world, jobs);
  }
}
