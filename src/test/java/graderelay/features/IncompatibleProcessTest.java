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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Processes that don't support the feature level and learn of its change late or on start. */
class IncompatibleProcessTest {
  @ParameterizedTest
  @CsvSource({"true, 211", "false, 212"})
  void suspendedOutdatedControllerTerminatesWhenResumedAfterFinalization(
      boolean asLeader, long seed) {
    SimWorld world = worldAtBaseLevel(seed, 3, manualUpgrade(0));
    world.users.submit(0, world.users.job("j-000630", 3, 1, 0, false));
    world.loop.run(15);
    int outdated = asLeader ? world.leader() : (world.leader() + 1) % 3;
    for (int i = 0; i < 3; i++) {
      if (i != outdated) {
        upgrade(world, i, manualUpgrade(LATEST));
      }
    }
    // The last controller is replaced too, but its old process is suspended instead of ended.
    world.suspend(outdated);
    world.loop.run(0.5);
    SimJob late = world.users.job("j-000631", 1, 1, 1, true);
    // The user's request times out; the process handles it when resumed, and must not store the
    // job.
    world.users.resubmit(outdated, late);
    world.loop.run(6);
    world.loseTrackOf(outdated);
    world.replace(outdated, manualUpgrade(LATEST));
    world.start(outdated);
    world.loop.run(SOAK_S + 4);
    JsonNode answer = requestLevelChange(world, world.leader(), "finalize", LATEST);
    assertThat(answer.path("http").asInt()).as(answer.toString()).isEqualTo(200);
    world.loop.run(1);
    final int starts = world.invariants.starts;
    world.resumeLost(outdated);
    world.loop.run(10);
    assertThat(world.left).containsKey("m-" + outdated);
    assertThat(world.lostNode(outdated).isLeader()).isFalse();
    assertThat(world.lostNode(outdated).mayActAsLeader()).isFalse();
    assertThat(world.lostNode(outdated).isReady()).isFalse();
    // It may have forwarded the late submission to a peer that supports the level.
    assertThat(world.invariants.starts).isEqualTo(starts + (Double.isNaN(late.firstStart) ? 0 : 1));
    assertThat(world.users.stage(outdated, "j-000630")).isEqualTo("running");
    fine(world);
  }

  @Test
  void suspendedControllerBlocksFinalization() {
    SimWorld world = worldAtBaseLevel(213, 3, automaticUpgrade(LATEST));
    int suspended = (world.leader() + 1) % 3;
    world.suspend(suspended);
    world.loop.run(3 * SOAK_S);
    assertThat(storedLevel(world)).isZero();
    world.resume(suspended);
    world.loop.run(SOAK_S + 6);
    assertThat(storedLevel(world)).isEqualTo(LATEST);
    fine(world);
  }

  @Test
  void outdatedProgramDoesNotBecomeReadyAndReportsTheReason() {
    SimWorld world = worldAtLatestLevel(214, 3);
    int outdated = (world.leader() + 1) % 3;
    world.replace(outdated, manualUpgrade(0));
    world.crash(outdated);
    world.start(outdated);
    world.loop.run(10);
    JsonNode ready = world.users.answer(outdated, "GET", "/ready", null);
    assertThat(ready.path("http").asInt()).isEqualTo(503);
    assertThat(ready.path("error").asText())
        .contains("feature level is " + LATEST)
        .contains("0 to 0");
    assertThat(world.users.answer(outdated, "GET", "/v1/jobs/j-000001", null).path("http").asInt())
        .isEqualTo(503);
    assertThat(showLevel(world, outdated).path("out_of_service").asText()).contains("0 to 0");
    assertThat(world.left).isEmpty(); // If it terminated, it would be restarted in a loop.
    fine(world);
  }

  @Test
  void productionVersionNeitherLeadsNorConfirmsCancellationsAfterFinalization() {
    SimWorld world = worldAtLatestLevel(215, 3);
    SimJob job = world.users.job("j-000640", 2, 1, 0, false);
    world.users.submit(0, job);
    world.loop.run(15);
    final int starts = world.invariants.starts;
    world.crashAll();
    world.rollBack(1);
    world.start(1);
    world.loop.run(45); // Longer than a suspended controller waits if all others are down.
    assertThat(world.leader()).isEqualTo(-1);
    JsonNode cancelled = world.users.answer(1, "POST", "/v1/jobs/j-000640/withdraw", null);
    assertThat(cancelled.path("http").asInt()).isEqualTo(503);
    world.start(0);
    world.start(2);
    world.loop.run(40);
    assertThat(world.leader()).isIn(0, 2);
    assertThat(world.invariants.starts).isGreaterThanOrEqualTo(starts);
    fine(world);
  }
}
