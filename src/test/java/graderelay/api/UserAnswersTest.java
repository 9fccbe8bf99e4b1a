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

/**
 * Tests that the controllers give users consistent answers: none is older than an earlier answer of
 * another controller, even during store failures and leader changes.
 */
class UserAnswersTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 3);
  }

  private static SimWorld world(long seed, int size) {
    return WorldAssertions.world(seed, size);
  }

  @Test
  void pollNeverReturnsOlderStateThanAnotherController() {
    SimWorld world = world(13);
    SimJob job = world.users.job("j-000015", 2, 1, 2, true);
    world.users.submit(0, job);
    int controller = 0;
    for (int i = 0; i < 300; i++) {
      world.users.poll(controller = (controller + 1) % 3, job);
      world.loop.run(0.1);
    }
    assertThat(job.lastStage).isEqualTo("done");
    fine(world);
  }

  @Test
  void retryOfAcceptedJobIsConfirmedAfterMachineTypeIsGone() {
    SimWorld world = world(14);
    SimJob job = world.users.job("j-000016", 1, 1, 2, true);
    world.users.submit(0, job);
    world.loop.run(30);
    byte[] tooBig = Json.write(world.users.body(job).put("cpus", 512.0));
    assertThat(world.users.answer(1, "POST", "/v1/jobs", tooBig).path("http").asInt())
        .isEqualTo(200);
    byte[] other =
        Json.write(world.users.body(world.users.job("j-000017", 1, 1, 2, true)).put("cpus", 512.0));
    assertThat(world.users.answer(1, "POST", "/v1/jobs", other).path("http").asInt())
        .isEqualTo(422);
    fine(world);
  }

  @Test
  void unknownJobPathAndMethodHaveDistinctStatuses() {
    SimWorld world = world(15);
    assertThat(world.users.answer(0, "GET", "/v1/jobs/j-999999", null).path("http").asInt())
        .isEqualTo(404);
    assertThat(world.users.answer(0, "GET", "/v1/nothing", null).path("http").asInt())
        .isEqualTo(404);
    assertThat(world.users.answer(0, "DELETE", "/v1/jobs", null).path("http").asInt())
        .isEqualTo(405);
    assertThat(world.users.answer(0, "POST", "/v1/jobs", "[]".getBytes()).path("http").asInt())
        .isEqualTo(400);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "noFailure",
        "followerCutOff",
        "lostAnswers",
        "slowStore",
        "leaderCrash",
        "handover",
        "delayedRequests"
      })
  void noControllerReturnsStaleAnswersUnderFailure(String failure) {
    SimWorld world = world(311, 3);
    world.users.lookClosely();
    final List<SimJob> jobs = arrays(world, 24, 0.7, 2);
    world.loop.run(6);
    int leader = world.leader();
    switch (failure) {
      case "followerCutOff" -> refuse(world, other(world, leader), true);
      case "lostAnswers" -> world.store.loseAnswer = transaction -> world.random.nextInt(3) == 0;
      case "slowStore" -> world.store.slowS = 0.7;
      case "leaderCrash" -> {
        world.crash(leader);
        world.loop.after(0.3, () -> world.start(leader));
      }
      case "handover" -> refuse(world, leader, true);
      case "delayedRequests" -> {
        world.store.delayS = 4;
        world.store.delay = transaction -> world.random.nextInt(4) == 0;
      }
      default -> {}
    }
    world.loop.run(12);
    for (int i = 0; i < 3; i++) {
      refuse(world, i, false);
    }
    world.store.loseAnswer = transaction -> false;
    world.store.delay = transaction -> false;
    world.store.slowS = 0;
    world.loop.run(60);
    allOver(world, jobs);
  }

  @ParameterizedTest
  @CsvSource({"0, false", "0.002, false", "0.01, false", "0.5, false", "0, true"})
  void cancellationRacingWithLastTaskIsAnsweredConsistently(double delayS, boolean leaderCrashes) {
    SimWorld world = world(312, 3);
    world.users.lookClosely();
    List<SimJob> jobs = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      SimJob job = world.users.job(String.format("j-0004%02d", i), 1 + i % 2, 1, 2 + i % 5, true);
      jobs.add(job);
      world.users.submit(i % 3, job);
    }
    world.invariants.onComplete =
        job ->
            world.loop.after(
                delayS,
                () -> {
                  world.users.cancel(world.random.nextInt(3), job);
                  world.users.resubmit(world.random.nextInt(3), job);
                  world.users.poll(world.random.nextInt(3), job);
                  if (leaderCrashes && world.leader() >= 0) {
                    int leader = world.leader();
                    world.crash(leader);
                    world.loop.after(0.2, () -> world.start(leader));
                  }
                });
    world.loop.run(90);
    allOver(world, jobs);
  }

  @Test
  void transactionWithLostAnswerIsSeenAlikeByAllControllers() {
    SimWorld world = world(313, 3);
    world.users.lookClosely();
    world.store.loseAnswer = transaction -> world.random.nextInt(2) == 0;
    final List<SimJob> jobs = arrays(world, 20, 1, 3);
    world.loop.run(40);
    world.store.loseAnswer = transaction -> false;
    world.loop.run(60);
    allOver(world, jobs);
  }

  @Test
  void invalidSubmissionIsRejectedByEveryControllerInEveryState() {
    SimWorld world = world(314, 3);
    running(world, 1);
    byte[] tooBig =
        Json.write(world.users.body(world.users.job("j-000491", 1, 1, 2, true)).put("cpus", 512.0));
    ObjectNode incomplete = world.users.body(world.users.job("j-000492", 1, 1, 2, true));
    incomplete.remove("mem_gb");
    List<Runnable> states =
        List.of(
            () -> {},
            () -> refuse(world, world.leader(), true),
            () -> world.store.outage(true),
            () -> {
              world.crashAll();
              world.startAll();
            },
            () -> world.cloud.noTypes = true);
    for (Runnable state : states) {
      state.run();
      for (int k = 0; k < 4; k++) {
        world.loop.run(0.3);
        for (int i = 0; i < 3; i++) {
          assertThat(world.users.answer(i, "POST", "/v1/jobs", tooBig).path("http").asInt())
              .isIn(422, 503);
          assertThat(
                  world
                      .users
                      .answer(i, "POST", "/v1/jobs", Json.write(incomplete))
                      .path("http")
                      .asInt())
              .isIn(400, 503);
        }
      }
    }
    world.store.outage(false);
    world.cloud.noTypes = false;
    for (int i = 0; i < 3; i++) {
      refuse(world, i, false);
    }
    world.loop.run(20);
    assertThat(world.users.answer(1, "GET", "/v1/jobs/j-000491", null).path("http").asInt())
        .isEqualTo(404);
    fine(world);
  }
}
