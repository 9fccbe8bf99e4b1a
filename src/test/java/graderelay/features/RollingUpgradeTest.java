package graderelay.features;

import static graderelay.features.UpgradeSteps.LATEST;
import static graderelay.features.UpgradeSteps.SOAK_S;
import static graderelay.features.UpgradeSteps.allEnd;
import static graderelay.features.UpgradeSteps.change;
import static graderelay.features.UpgradeSteps.level;
import static graderelay.features.UpgradeSteps.levelled;
import static graderelay.features.UpgradeSteps.manual;
import static graderelay.features.UpgradeSteps.pinned;
import static graderelay.features.UpgradeSteps.production;
import static graderelay.features.UpgradeSteps.show;
import static graderelay.features.UpgradeSteps.steadyJobs;
import static graderelay.features.UpgradeSteps.upgrade;
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

/** Controllers that are upgraded one at a time, and a feature level that waits for all of them. */
class RollingUpgradeTest {
  @ParameterizedTest
  @CsvSource({"3, 201", "5, 202"})
  void theLevelRisesOnlyOnceAllControllersAreNewAndHaveBeenUpForTheSoakTime(int size, long seed) {
    SimWorld w = production(seed, size);
    final List<SimJob> jobs = steadyJobs(w, 80);
    for (int i = 0; i < size; i++) {
      assertThat(level(w)).isZero();
      upgrade(w, i, pinned(LATEST));
      w.loop.run(SOAK_S);
    }
    w.loop.run(SOAK_S + 3);
    assertThat(level(w)).isEqualTo(LATEST);
    assertThat(w.store.value(FeatureCodec.LEADER)).isNotNull();
    assertThat(w.store.value(StateCodec.LEADER).path("member").asText())
        .isEqualTo(FeatureCodec.SEALED_LEADER);
    assertThat(w.leader()).isNotNegative();
    allEnd(w, jobs);
  }

  @Test
  void nothingNewIsStoredBeforeFinalizationSoThatRollbackLosesNothing() {
    SimWorld w = production(203, 3);
    final List<SimJob> jobs = steadyJobs(w, 80);
    upgrade(w, 0, pinned(LATEST));
    upgrade(w, 1, pinned(LATEST));
    w.loop.run(2 * SOAK_S);
    assertThat(level(w)).isZero();
    for (String key : w.store.everWritten) {
      boolean ofLevels =
          key.startsWith(FeatureCodec.ROOT)
              || key.startsWith(FeatureCodec.HINTS)
              || key.startsWith(QuotaCodec.ROOT);
      assertThat(ofLevels && !key.startsWith(FeatureCodec.MEMBERS)).as(key).isFalse();
    }
    for (int i : new int[] {1, 0}) {
      w.rollBack(i);
      w.crash(i);
      w.loop.run(2);
      w.start(i);
      w.loop.run(4);
    }
    w.loop.run(3 * SOAK_S);
    assertThat(level(w)).isZero();
    allEnd(w, jobs);
  }

  @Test
  void theLeaderMayEndInAnUpgradeThatIsRolledBack() {
    SimWorld w = production(204, 3);
    final List<SimJob> jobs = steadyJobs(w, 80);
    upgrade(w, 0, pinned(LATEST));
    upgrade(w, 1, pinned(LATEST));
    int leader = w.leader();
    w.crash(leader);
    w.loop.run(1);
    w.rollBack(1);
    if (w.isUp(1)) {
      w.crash(1);
    }
    w.loop.run(3);
    for (int i = 0; i < 3; i++) {
      if (!w.isUp(i)) {
        w.start(i);
      }
    }
    w.loop.run(3 * SOAK_S);
    assertThat(level(w)).isZero();
    allEnd(w, jobs);
  }

  @Test
  void memberRecordLeftByAnEndedProcessCountsForNothing() {
    SimWorld w = production(205, 3);
    for (int i = 0; i < 3; i++) {
      upgrade(w, i, pinned(LATEST));
      if (i == 0) {
        // It comes back old; what its newer process has published stays behind.
        w.rollBack(0);
        w.crash(0);
        w.loop.run(1);
        w.start(0);
      }
    }
    w.loop.run(4 * SOAK_S);
    assertThat(w.store.value(FeatureCodec.memberKey("m-0"))).isNotNull();
    assertThat(level(w)).isZero();
    JsonNode shown = show(w, w.leader() == 0 ? 1 : w.leader());
    if (shown.has("waits_for")) {
      assertThat(shown.path("waits_for").toString()).contains("m-0");
    }
    fine(w);
  }

  @Test
  void controllerThatReturnsOlderInTheSameMomentMakesTheFinalizationFail() {
    SimWorld w = levelled(206, 3, manual(LATEST));
    w.loop.run(SOAK_S + 3);
    int leader = w.leader();
    final int other = (leader + 1) % 3;
    // The finalization is under way for so long that the other controller comes back in between.
    boolean[] delayed = {false};
    w.store.delay =
        t -> {
          boolean raises = t.path("then").toString().contains(FeatureCodec.LEVEL);
          delayed[0] |= raises;
          return raises;
        };
    w.store.delayS = 6;
    w.users.ask(
        leader,
        "POST",
        "/admin/features/finalize",
        Json.write(Json.object().put("level", LATEST)),
        (r, n) -> {});
    w.loop.run(0.2);
    assertThat(delayed[0]).isTrue();
    w.replace(other, manual(0));
    w.crash(other);
    w.start(other);
    w.loop.run(10);
    w.store.delay = t -> false;
    assertThat(level(w)).isZero();
    w.loop.run(20);
    fine(w);
  }

  @Test
  void finalizationWhoseAnswerIsLostIsFoundOutFromTheRecords() {
    SimWorld w = levelled(207, 3, manual(LATEST));
    final List<SimJob> jobs = steadyJobs(w, 40);
    w.loop.run(SOAK_S + 3);
    w.store.loseAnswer = t -> t.path("then").toString().contains(FeatureCodec.LEVEL);
    int before = w.leader();
    assertThat(change(w, before, "finalize", LATEST).path("http").asInt()).isEqualTo(503);
    w.store.loseAnswer = t -> false;
    w.loop.run(10);
    assertThat(level(w)).isEqualTo(LATEST);
    assertThat(w.leader()).isNotNegative();
    assertThat(show(w, before).path("level").asInt()).isEqualTo(LATEST);
    allEnd(w, jobs);
  }

  @Test
  void storeMayBeAwayInTheMiddle() {
    SimWorld w = levelled(208, 3, pinned(LATEST));
    w.users.submit(0, w.users.job("j-000600", 3, 1, 0, false));
    final List<SimJob> jobs = steadyJobs(w, 60);
    w.loop.run(SOAK_S - 6); // All are up, but not for long enough yet.
    final int starts = w.invariants.starts;
    w.store.outage(true);
    w.loop.run(8);
    w.store.outage(false);
    assertThat(level(w)).isZero();
    w.loop.run(3 * SOAK_S);
    assertThat(level(w)).isEqualTo(LATEST);
    assertThat(w.invariants.starts).isGreaterThanOrEqualTo(starts);
    w.store.outage(true); // And again right after it.
    w.loop.run(8);
    w.store.outage(false);
    w.loop.run(3);
    assertThat(w.users.stage(1, "j-000600")).isEqualTo("running");
    allEnd(w, jobs);
  }

  @Test
  void controllerTheStoreRefusesAloneKeepsTheLevelDownUntilServedAgain() {
    SimWorld w = new SimWorld(209, WorldShape.of(3));
    w.loop.run(4);
    int refused = (w.leader() + 1) % 3;
    for (int i = 0; i < 3; i++) {
      w.replace(i, pinned(LATEST));
      w.crash(i);
      w.refused[i][0] = i == refused;
      w.start(i);
    }
    w.loop.run(3 * SOAK_S);
    assertThat(level(w)).isZero();
    w.refused[refused][0] = false;
    w.loop.run(SOAK_S + 8);
    assertThat(level(w)).isEqualTo(LATEST);
    w.refused[refused][0] = true; // Refused alone once more, it still knows the level.
    SimJob job = w.users.job("j-000610", 2, 1, 5, true);
    w.users.submit(refused, job);
    w.loop.run(30);
    w.refused[refused][0] = false;
    w.loop.run(5);
    assertThat(w.users.stage(refused, job.id)).isEqualTo("done");
    fine(w);
  }

  @Test
  void allControllersMayRestartAtOnceJustAfterTheFinalization() {
    SimWorld w = levelled(210, 3, pinned(LATEST));
    w.users.submit(0, w.users.job("j-000620", 3, 1, 0, false));
    final List<SimJob> jobs = steadyJobs(w, 40);
    for (int i = 0; i < 600 && level(w) == 0; i++) {
      w.loop.run(0.05);
    }
    assertThat(level(w)).isEqualTo(LATEST);
    w.crashAll();
    w.loop.run(1);
    w.startAll();
    w.loop.run(10);
    assertThat(w.leader()).isNotNegative();
    assertThat(w.left).isEmpty();
    assertThat(w.users.stage(2, "j-000620")).isEqualTo("running");
    allEnd(w, jobs);
  }
}
