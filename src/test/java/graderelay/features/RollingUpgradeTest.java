package graderelay.features;

import static graderelay.sim.WorldAssertions.fine;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.config.Options;
import graderelay.sim.Rules;
import graderelay.sim.ScenarioSteps;
import graderelay.sim.SimWorld;
import graderelay.wire.FeatureCodec;
import graderelay.wire.Json;
import graderelay.wire.QuotaCodec;
import graderelay.wire.StateCodec;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Controllers that are upgraded one at a time, and feature levels that wait for all of them. */
class RollingUpgradeTest {
  private static final double SOAK_S = 10;
  private static final int LATEST = 3;

  private static Options pinned(int max) {
    return new Options(new UpgradePolicy(true, SOAK_S), new FeatureRange(0, max));
  }

  private static Options manual(int max) {
    return new Options(new UpgradePolicy(false, SOAK_S), new FeatureRange(0, max));
  }

  /** Controllers of the version in production, with a service and a stream of short arrays. */
  private static SimWorld production(long seed, int size) {
    SimWorld w = SimWorld.inProduction(seed, SimWorld.Shape.of(size), SimWorld.SAME);
    w.loop.run(4);
    assertThat(w.leader()).isNotNegative();
    return w;
  }

  /** Controllers that support so much, none of which has raised the level. */
  private static SimWorld levelled(long seed, int size, Options options) {
    SimWorld w = new SimWorld(seed, SimWorld.Shape.of(size));
    w.judgeLevels();
    for (int i = 0; i < size; i++) {
      w.replace(i, options);
      w.crash(i);
      w.start(i);
    }
    w.loop.run(4);
    assertThat(w.leader()).isNotNegative();
    return w;
  }

  private static SimWorld finalized(long seed, int size) {
    SimWorld w = levelled(seed, size, pinned(LATEST));
    w.loop.run(SOAK_S + 5);
    assertThat(level(w)).isEqualTo(LATEST);
    return w;
  }

  /** The level that is stored. */
  private static int level(SimWorld w) {
    JsonNode record = w.state.value(FeatureCodec.LEVEL);
    return record == null ? 0 : record.path("level").asInt();
  }

  private static List<Rules.Known> steadyJobs(SimWorld w, double seconds) {
    List<Rules.Known> jobs = new ArrayList<>();
    for (int i = 0; i < seconds / 2; i++) {
      Rules.Known job = w.job(String.format("j-0050%02d", i), 1 + i % 3, 1, 3 + i % 5, true);
      jobs.add(job);
      int node = i % w.size;
      w.loop.after(2 * i, () -> w.submit(node, job));
      if (i % 5 == 4) {
        w.loop.after(2 * i + 1.3, () -> w.cancel((node + 1) % w.size, job));
      }
    }
    return jobs;
  }

  private static void upgrade(SimWorld w, int controller, Options options) {
    w.replace(controller, options);
    w.crash(controller);
    w.loop.run(2);
    w.start(controller);
    w.loop.run(4);
  }

  private static JsonNode change(SimWorld w, int node, String what, int level) {
    byte[] body = Json.write(Json.object().put("level", level));
    return w.answer(node, "POST", "/admin/features/" + what, body);
  }

  private static JsonNode show(SimWorld w, int node) {
    return w.answer(node, "GET", "/admin/features", null);
  }

  private static void allEnd(SimWorld w, List<Rules.Known> jobs) {
    w.loop.run(60);
    ScenarioSteps.allOver(w, jobs);
  }

  // ---------------------------------------------------------------- the way up

  @ParameterizedTest
  @CsvSource({"3, 201", "5, 202"})
  void theLevelRisesOnlyOnceAllControllersAreNewAndHaveBeenUpForTheSoakTime(int size, long seed) {
    SimWorld w = production(seed, size);
    final List<Rules.Known> jobs = steadyJobs(w, 80);
    for (int i = 0; i < size; i++) {
      assertThat(level(w)).isZero();
      upgrade(w, i, pinned(LATEST));
      w.loop.run(SOAK_S);
    }
    w.loop.run(SOAK_S + 3);
    assertThat(level(w)).isEqualTo(LATEST);
    assertThat(w.state.value(FeatureCodec.LEADER)).isNotNull();
    assertThat(w.state.value(StateCodec.LEADER).path("member").asText())
        .isEqualTo(FeatureCodec.SEALED_LEADER);
    assertThat(w.leader()).isNotNegative();
    allEnd(w, jobs);
  }

  @Test
  void nothingNewIsStoredBeforeFinalizationSoThatRollbackLosesNothing() {
    SimWorld w = production(203, 3);
    final List<Rules.Known> jobs = steadyJobs(w, 80);
    upgrade(w, 0, pinned(LATEST));
    upgrade(w, 1, pinned(LATEST));
    w.loop.run(2 * SOAK_S);
    assertThat(level(w)).isZero();
    for (String key : w.state.everWritten) {
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
    final List<Rules.Known> jobs = steadyJobs(w, 80);
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
    assertThat(w.state.value(FeatureCodec.memberKey("m-0"))).isNotNull();
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
    w.state.delay =
        t -> {
          boolean raises = t.path("then").toString().contains(FeatureCodec.LEVEL);
          delayed[0] |= raises;
          return raises;
        };
    w.state.delayS = 6;
    w.ask(
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
    w.state.delay = t -> false;
    assertThat(level(w)).isZero();
    w.loop.run(20);
    fine(w);
  }

  @Test
  void finalizationWhoseAnswerIsLostIsFoundOutFromTheRecords() {
    SimWorld w = levelled(207, 3, manual(LATEST));
    final List<Rules.Known> jobs = steadyJobs(w, 40);
    w.loop.run(SOAK_S + 3);
    w.state.loseAnswer = t -> t.path("then").toString().contains(FeatureCodec.LEVEL);
    int before = w.leader();
    assertThat(change(w, before, "finalize", LATEST).path("http").asInt()).isEqualTo(503);
    w.state.loseAnswer = t -> false;
    w.loop.run(10);
    assertThat(level(w)).isEqualTo(LATEST);
    assertThat(w.leader()).isNotNegative();
    assertThat(show(w, before).path("level").asInt()).isEqualTo(LATEST);
    allEnd(w, jobs);
  }

  @Test
  void storeMayBeAwayInTheMiddle() {
    SimWorld w = levelled(208, 3, pinned(LATEST));
    w.submit(0, w.job("j-000600", 3, 1, 0, false));
    final List<Rules.Known> jobs = steadyJobs(w, 60);
    w.loop.run(SOAK_S - 6); // All are up, but not for long enough yet.
    final int starts = w.rules.starts;
    w.state.outage(true);
    w.loop.run(8);
    w.state.outage(false);
    assertThat(level(w)).isZero();
    w.loop.run(3 * SOAK_S);
    assertThat(level(w)).isEqualTo(LATEST);
    assertThat(w.rules.starts).isGreaterThanOrEqualTo(starts);
    w.state.outage(true); // And again right after it.
    w.loop.run(8);
    w.state.outage(false);
    w.loop.run(3);
    assertThat(w.stage(1, "j-000600")).isEqualTo("running");
    allEnd(w, jobs);
  }

  @Test
  void controllerTheStoreRefusesAloneKeepsTheLevelDownUntilServedAgain() {
    SimWorld w = new SimWorld(209, SimWorld.Shape.of(3));
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
    Rules.Known job = w.job("j-000610", 2, 1, 5, true);
    w.submit(refused, job);
    w.loop.run(30);
    w.refused[refused][0] = false;
    w.loop.run(5);
    assertThat(w.stage(refused, job.id)).isEqualTo("done");
    fine(w);
  }

  @Test
  void allControllersMayRestartAtOnceJustAfterTheFinalization() {
    SimWorld w = levelled(210, 3, pinned(LATEST));
    w.submit(0, w.job("j-000620", 3, 1, 0, false));
    final List<Rules.Known> jobs = steadyJobs(w, 40);
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
    assertThat(w.stage(2, "j-000620")).isEqualTo("running");
    allEnd(w, jobs);
  }

  // ---------------------------------------------------------------- processes that come too late

  @ParameterizedTest
  @CsvSource({"true, 211", "false, 212"})
  void suspendedOlderControllerThatReturnsAfterTheSwitchLeavesAndDoesNoHarm(
      boolean asLeader, long seed) {
    SimWorld w = levelled(seed, 3, manual(0));
    w.submit(0, w.job("j-000630", 3, 1, 0, false));
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
    Rules.Known late = w.job("j-000631", 1, 1, 1, true);
    // Its user gives up; the process takes it up when it goes on, and must not write it.
    w.resubmit(old, late);
    w.loop.run(6);
    w.loseTrackOf(old);
    w.replace(old, manual(LATEST));
    w.start(old);
    w.loop.run(SOAK_S + 4);
    JsonNode answer = change(w, w.leader(), "finalize", LATEST);
    assertThat(answer.path("http").asInt()).as(answer.toString()).isEqualTo(200);
    w.loop.run(1);
    final int starts = w.rules.starts;
    w.resumeLost(old);
    w.loop.run(10);
    assertThat(w.left).containsKey("m-" + old);
    assertThat(w.lostNode(old).leader()).isFalse();
    assertThat(w.lostNode(old).speaks()).isFalse();
    assertThat(w.lostNode(old).ready()).isFalse();
    // It may have handed the late submission on to a peer that supports the level.
    assertThat(w.rules.starts).isEqualTo(starts + (Double.isNaN(late.firstStart) ? 0 : 1));
    assertThat(w.stage(old, "j-000630")).isEqualTo("running");
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
    JsonNode ready = w.answer(old, "GET", "/ready", null);
    assertThat(ready.path("http").asInt()).isEqualTo(503);
    assertThat(ready.path("error").asText())
        .contains("feature level is " + LATEST)
        .contains("0 to 0");
    assertThat(w.answer(old, "GET", "/v1/jobs/j-000001", null).path("http").asInt()).isEqualTo(503);
    assertThat(show(w, old).path("out_of_service").asText()).contains("0 to 0");
    assertThat(w.left).isEmpty(); // Ended, it would be started again and again.
    fine(w);
  }

  @Test
  void versionInProductionNeitherLeadsNorConfirmsCancellationsAfterTheSwitch() {
    SimWorld w = finalized(215, 3);
    Rules.Known job = w.job("j-000640", 2, 1, 0, false);
    w.submit(0, job);
    w.loop.run(15);
    final int starts = w.rules.starts;
    w.crashAll();
    w.rollBack(1);
    w.start(1);
    w.loop.run(45); // Longer than a suspended controller waits when all others are gone.
    assertThat(w.leader()).isEqualTo(-1);
    JsonNode cancelled = w.answer(1, "POST", "/v1/jobs/j-000640/withdraw", null);
    assertThat(cancelled.path("http").asInt()).isEqualTo(503);
    w.start(0);
    w.start(2);
    w.loop.run(40);
    assertThat(w.leader()).isIn(0, 2);
    assertThat(w.rules.starts).isGreaterThanOrEqualTo(starts);
    fine(w);
  }

  // ---------------------------------------------------------------- the way down

  @ParameterizedTest
  @CsvSource({"1, 216", "0, 217"})
  void downgradeRemovesTheNewFormsBeforeTheLevelFalls(int target, long seed) {
    SimWorld w = finalized(seed, 3);
    w.submit(0, w.job("j-000650", 3, 1, 0, false));
    w.loop.run(40);
    assertThat(w.state.items.keySet()).anyMatch(k -> k.startsWith(FeatureCodec.HINTS));
    final int starts = w.rules.starts;
    assertThat(change(w, w.leader(), "downgrade", target).path("http").asInt()).isEqualTo(200);
    w.loop.run(10);
    assertThat(level(w)).isEqualTo(target);
    assertThat(w.state.items.keySet()).noneMatch(k -> k.startsWith(FeatureCodec.HINTS));
    w.loop.run(3 * SOAK_S); // It is held, and does not rise again by itself.
    assertThat(level(w)).isEqualTo(target);
    assertThat(w.rules.starts).isEqualTo(starts);
    if (target == 0) {
      assertThat(w.state.value(FeatureCodec.LEADER)).isNull();
      assertThat(w.state.items.keySet()).noneMatch(k -> k.startsWith(StateCodec.SUSPENSIONS));
      upgradeToProduction(w);
    }
    fine(w);
  }

  /** The version in production leads again. */
  private static void upgradeToProduction(SimWorld w) {
    for (int i = 0; i < w.size; i++) {
      w.rollBack(i);
      w.crash(i);
      w.loop.run(1);
      w.start(i);
      w.loop.run(5);
    }
    assertThat(w.leader()).isNotNegative();
    assertThat(w.stage(0, "j-000650")).isEqualTo("running");
  }

  @ParameterizedTest
  @CsvSource({"1, 218", "2, 219", "3, 220", "4, 221", "5, 222", "6, 223"})
  void downgradeInterruptedAfterAnyStepGoesOnUnderTheNextLeader(int step, long seed) {
    SimWorld w = finalized(seed, 3);
    final List<Rules.Known> jobs = steadyJobs(w, 30);
    w.loop.run(40);
    int[] steps = {0};
    int leader = w.leader();
    w.state.loseAnswer =
        t -> {
          String changes = t.path("then").toString();
          boolean ofTheDowngrade =
              changes.contains(FeatureCodec.LEVEL)
                  || changes.contains("\"drop\":\"" + FeatureCodec.HINTS)
                  || changes.contains("\"drop\":\"" + StateCodec.SUSPENSIONS);
          if (ofTheDowngrade && ++steps[0] == step) {
            w.loop.after(0, () -> w.crash(leader));
            return true;
          }
          return false;
        };
    change(w, leader, "downgrade", 0);
    w.loop.run(8);
    w.state.loseAnswer = t -> false;
    if (!w.isUp(leader)) {
      w.start(leader);
    }
    w.loop.run(25);
    assertThat(level(w)).as("after step " + step + " of " + steps[0]).isZero();
    assertThat(w.state.items.keySet()).noneMatch(k -> k.startsWith(FeatureCodec.HINTS));
    assertThat(w.leader()).isNotNegative();
    allEnd(w, jobs);
  }

  // ---------------------------------------------------------------- operators

  @Test
  void heldLevelRisesOnlyOnceTheHoldIsTakenBack() {
    SimWorld w = levelled(224, 3, pinned(LATEST));
    assertThat(w.answer(0, "POST", "/admin/features/hold", null).path("http").asInt())
        .isEqualTo(200);
    w.loop.run(3 * SOAK_S);
    assertThat(level(w)).isZero();
    assertThat(show(w, 1).path("held").asBoolean()).isTrue();
    assertThat(w.answer(2, "POST", "/admin/features/release", null).path("http").asInt())
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
    w.state.overwrite(FeatureCodec.LEVEL, Json.read(record.getBytes()));
    w.loop.run(15);
    for (int i = 0; i < 3; i++) {
      JsonNode ready = w.answer(i, "GET", "/ready", null);
      assertThat(ready.path("http").asInt()).isEqualTo(503);
      assertThat(ready.path("error").asText()).contains("malformed").contains("level");
    }
    assertThat(w.left).isEmpty();
    w.state.overwrite(FeatureCodec.LEVEL, Json.object().put("level", LATEST));
    w.loop.run(10);
    assertThat(w.leader()).isNotNegative();
    Rules.Known job = w.job("j-000660", 1, 1, 2, true);
    w.submit(0, job);
    w.loop.run(30);
    assertThat(w.stage(1, job.id)).isEqualTo("done");
    fine(w);
  }

  @Test
  void unknownFutureLevelIsRefusedWithMessage() {
    SimWorld w = new SimWorld(229, SimWorld.Shape.of(3));
    w.crashAll();
    w.state.overwrite(FeatureCodec.LEVEL, Json.object().put("level", 99));
    w.startAll();
    w.loop.run(10);
    assertThat(w.leader()).isEqualTo(-1);
    assertThat(w.left).isEmpty();
    assertThat(w.answer(0, "GET", "/ready", null).path("error").asText()).contains("99");
  }
}
