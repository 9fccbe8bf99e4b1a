package graderelay.api;

import static graderelay.sim.ScenarioSteps.allOver;
import static graderelay.sim.ScenarioSteps.arrays;
import static graderelay.sim.ScenarioSteps.other;
import static graderelay.sim.ScenarioSteps.refuse;
import static graderelay.sim.ScenarioSteps.running;
import static graderelay.sim.WorldAssertions.fine;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import graderelay.wire.Json;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What users are told, at every controller, however soon they ask. */
class UserAnswersTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 3);
  }

  private static SimWorld world(long seed, int size) {
    return WorldAssertions.world(seed, size);
  }

  @Test
  void pollNeverReturnsOlderStateThanAnotherController() {
    SimWorld w = world(13);
    SimJob j = w.users.job("j-000015", 2, 1, 2, true);
    w.users.submit(0, j);
    int controller = 0;
    for (int i = 0; i < 300; i++) {
      w.users.poll(controller = (controller + 1) % 3, j);
      w.loop.run(0.1);
    }
    assertThat(j.lastStage).isEqualTo("done");
    fine(w);
  }

  @Test
  void retryOfAcceptedJobIsConfirmedAfterMachineTypeIsGone() {
    SimWorld w = world(14);
    SimJob j = w.users.job("j-000016", 1, 1, 2, true);
    w.users.submit(0, j);
    w.loop.run(30);
    byte[] tooBig = Json.write(w.users.body(j).put("cpus", 512.0));
    assertThat(w.users.answer(1, "POST", "/v1/jobs", tooBig).path("http").asInt()).isEqualTo(200);
    byte[] other =
        Json.write(w.users.body(w.users.job("j-000017", 1, 1, 2, true)).put("cpus", 512.0));
    assertThat(w.users.answer(1, "POST", "/v1/jobs", other).path("http").asInt()).isEqualTo(422);
    fine(w);
  }

  @Test
  void unknownJobPathAndMethodHaveDistinctStatuses() {
    SimWorld w = world(15);
    assertThat(w.users.answer(0, "GET", "/v1/jobs/j-999999", null).path("http").asInt())
        .isEqualTo(404);
    assertThat(w.users.answer(0, "GET", "/v1/nothing", null).path("http").asInt()).isEqualTo(404);
    assertThat(w.users.answer(0, "DELETE", "/v1/jobs", null).path("http").asInt()).isEqualTo(405);
    assertThat(w.users.answer(0, "POST", "/v1/jobs", "[]".getBytes()).path("http").asInt())
        .isEqualTo(400);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"nothing", "refused", "lostAnswers", "slowState", "ownerEnds", "handover", "late"})
  void noControllerReturnsStaleAnswersUnderFailure(String failure) {
    SimWorld w = world(311, 3);
    w.users.lookClosely();
    final List<SimJob> jobs = arrays(w, 24, 0.7, 2);
    w.loop.run(6);
    int leader = w.leader();
    switch (failure) {
      case "refused" -> refuse(w, other(w, leader), true);
      case "lostAnswers" -> w.store.loseAnswer = t -> w.random.nextInt(3) == 0;
      case "slowState" -> w.store.slowS = 0.7;
      case "ownerEnds" -> {
        w.crash(leader);
        w.loop.after(0.3, () -> w.start(leader));
      }
      case "handover" -> refuse(w, leader, true);
      case "late" -> {
        w.store.delayS = 4;
        w.store.delay = t -> w.random.nextInt(4) == 0;
      }
      default -> {}
    }
    w.loop.run(12);
    for (int i = 0; i < 3; i++) {
      refuse(w, i, false);
    }
    w.store.loseAnswer = t -> false;
    w.store.delay = t -> false;
    w.store.slowS = 0;
    w.loop.run(60);
    allOver(w, jobs);
  }

  @ParameterizedTest
  @CsvSource({"0, false", "0.002, false", "0.01, false", "0.5, false", "0, true"})
  void cancellationRacingWithLastTaskIsAnsweredConsistently(double delayS, boolean leaderCrashes) {
    SimWorld w = world(312, 3);
    w.users.lookClosely();
    List<SimJob> jobs = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      SimJob j = w.users.job(String.format("j-0004%02d", i), 1 + i % 2, 1, 2 + i % 5, true);
      jobs.add(j);
      w.users.submit(i % 3, j);
    }
    w.invariants.onComplete =
        j ->
            w.loop.after(
                delayS,
                () -> {
                  w.users.cancel(w.random.nextInt(3), j);
                  w.users.resubmit(w.random.nextInt(3), j);
                  w.users.poll(w.random.nextInt(3), j);
                  if (leaderCrashes && w.leader() >= 0) {
                    int leader = w.leader();
                    w.crash(leader);
                    w.loop.after(0.2, () -> w.start(leader));
                  }
                });
    w.loop.run(90);
    allOver(w, jobs);
  }

  @Test
  void transactionWithLostAnswerIsSeenAlikeByAllControllers() {
    SimWorld w = world(313, 3);
    w.users.lookClosely();
    w.store.loseAnswer = t -> w.random.nextInt(2) == 0;
    final List<SimJob> jobs = arrays(w, 20, 1, 3);
    w.loop.run(40);
    w.store.loseAnswer = t -> false;
    w.loop.run(60);
    allOver(w, jobs);
  }

  @Test
  void invalidSubmissionIsRejectedByEveryControllerInEveryState() {
    SimWorld w = world(314, 3);
    running(w, 1);
    byte[] tooBig =
        Json.write(w.users.body(w.users.job("j-000491", 1, 1, 2, true)).put("cpus", 512.0));
    ObjectNode incomplete = w.users.body(w.users.job("j-000492", 1, 1, 2, true));
    incomplete.remove("mem_gb");
    List<Runnable> states =
        List.of(
            () -> {},
            () -> refuse(w, w.leader(), true),
            () -> w.store.outage(true),
            () -> {
              w.crashAll();
              w.startAll();
            },
            () -> w.cloud.noTypes = true);
    for (Runnable state : states) {
      state.run();
      for (int k = 0; k < 4; k++) {
        w.loop.run(0.3);
        for (int i = 0; i < 3; i++) {
          assertThat(w.users.answer(i, "POST", "/v1/jobs", tooBig).path("http").asInt())
              .isIn(422, 503);
          assertThat(
                  w.users
                      .answer(i, "POST", "/v1/jobs", Json.write(incomplete))
                      .path("http")
                      .asInt())
              .isIn(400, 503);
        }
      }
    }
    w.store.outage(false);
    w.cloud.noTypes = false;
    for (int i = 0; i < 3; i++) {
      refuse(w, i, false);
    }
    w.loop.run(20);
    assertThat(w.users.answer(1, "GET", "/v1/jobs/j-000491", null).path("http").asInt())
        .isEqualTo(404);
    fine(w);
  }
}
