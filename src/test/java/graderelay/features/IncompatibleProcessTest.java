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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Processes that are too old for the feature level, and come too late to know of it. */
class IncompatibleProcessTest {
  @ParameterizedTest
  @CsvSource({"true, 211", "false, 212"})
  void suspendedOlderControllerThatReturnsAfterTheSwitchLeavesAndDoesNoHarm(
      boolean asLeader, long seed) {
    SimWorld w = levelled(seed, 3, manual(0));
    w.users.submit(0, w.users.job("j-000630", 3, 1, 0, false));
    w.loop.run(15);
    int old = asLeader ? w.leader() : (w.leader() + 1) % 3;
    for (int i = 0; i < 3; i++) {
      if (i != old) {
        upgrade(w, i, manual(LATEST));
      }
    }
    // The last one is replaced too, but its process was only suspended and not ended.
    w.suspend(old);
    w.loop.run(0.5);
    SimJob late = w.users.job("j-000631", 1, 1, 1, true);
    // Its user gives up; the process takes it up when it goes on, and must not write it.
    w.users.resubmit(old, late);
    w.loop.run(6);
    w.loseTrackOf(old);
    w.replace(old, manual(LATEST));
    w.start(old);
    w.loop.run(SOAK_S + 4);
    JsonNode answer = change(w, w.leader(), "finalize", LATEST);
    assertThat(answer.path("http").asInt()).as(answer.toString()).isEqualTo(200);
    w.loop.run(1);
    final int starts = w.invariants.starts;
    w.resumeLost(old);
    w.loop.run(10);
    assertThat(w.left).containsKey("m-" + old);
    assertThat(w.lostNode(old).isLeader()).isFalse();
    assertThat(w.lostNode(old).mayActAsLeader()).isFalse();
    assertThat(w.lostNode(old).isReady()).isFalse();
    // It may have handed the late submission on to a peer that supports the level.
    assertThat(w.invariants.starts).isEqualTo(starts + (Double.isNaN(late.firstStart) ? 0 : 1));
    assertThat(w.users.stage(old, "j-000630")).isEqualTo("running");
    fine(w);
  }

  @Test
  void suspendedOlderControllerKeepsTheLevelFromRising() {
    SimWorld w = levelled(213, 3, pinned(LATEST));
    int still = (w.leader() + 1) % 3;
    w.suspend(still);
    w.loop.run(3 * SOAK_S);
    assertThat(level(w)).isZero();
    w.resume(still);
    w.loop.run(SOAK_S + 6);
    assertThat(level(w)).isEqualTo(LATEST);
    fine(w);
  }

  @Test
  void anOlderProgramRefusesToBecomeReadyAndSaysWhy() {
    SimWorld w = finalized(214, 3);
    int old = (w.leader() + 1) % 3;
    w.replace(old, manual(0));
    w.crash(old);
    w.start(old);
    w.loop.run(10);
    JsonNode ready = w.users.answer(old, "GET", "/ready", null);
    assertThat(ready.path("http").asInt()).isEqualTo(503);
    assertThat(ready.path("error").asText())
        .contains("feature level is " + LATEST)
        .contains("0 to 0");
    assertThat(w.users.answer(old, "GET", "/v1/jobs/j-000001", null).path("http").asInt())
        .isEqualTo(503);
    assertThat(show(w, old).path("out_of_service").asText()).contains("0 to 0");
    assertThat(w.left).isEmpty(); // Ended, it would be started again and again.
    fine(w);
  }

  @Test
  void versionInProductionNeitherLeadsNorConfirmsCancellationsAfterTheSwitch() {
    SimWorld w = finalized(215, 3);
    SimJob job = w.users.job("j-000640", 2, 1, 0, false);
    w.users.submit(0, job);
    w.loop.run(15);
    final int starts = w.invariants.starts;
    w.crashAll();
    w.rollBack(1);
    w.start(1);
    w.loop.run(45); // Longer than a suspended controller waits when all others are gone.
    assertThat(w.leader()).isEqualTo(-1);
    JsonNode cancelled = w.users.answer(1, "POST", "/v1/jobs/j-000640/withdraw", null);
    assertThat(cancelled.path("http").asInt()).isEqualTo(503);
    w.start(0);
    w.start(2);
    w.loop.run(40);
    assertThat(w.leader()).isIn(0, 2);
    assertThat(w.invariants.starts).isGreaterThanOrEqualTo(starts);
    fine(w);
  }
}
