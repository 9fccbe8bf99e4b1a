package graderelay.core;

import static graderelay.core.SchedulerFixture.registerMachine;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Starts of the largest jobs, and rejection of malformed heartbeats. */
class LargeJobsTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 5);
  }

  @Test
  void largeArrayStartsUnderConstantArrivalOfSmallArrays() {
    Scheduler scheduler = SchedulerFixture.loadingScheduler(1, Map.of("batch", List.of(5.0, 20.0)));
    scheduler.onRecordsLoaded(0);
    registerMachine(scheduler, "n-1", 0);
    scheduler.onJob(SchedulerFixture.array("j-8", 4), false, 5, 0, 0);
    SchedulerFixture.commitAll(
        scheduler, 10, 0.1); // The machine is full before the large array is submitted.
    scheduler.onJob(SchedulerFixture.array("j-9", 200), false, 5, 0.2, 0.2);
    double now = 0.2;
    int revision = 10;
    for (int i = 0; i < 60 && SchedulerFixture.tasksStarted(scheduler, "j-9") == 0; i++) {
      now += 2;
      scheduler.onJob(SchedulerFixture.array("j-s" + i, 1), false, 5, now, now);
      // One task ends, so there is room for one task of either array.
      SchedulerFixture.runTasks(scheduler, "n-1", 2 + 2 * i, 1, now);
      SchedulerFixture.commitAll(scheduler, revision += 2, now + 0.6);
      SchedulerFixture.commitAll(scheduler, revision += 2, now + 0.7);
    }
    assertThat(SchedulerFixture.tasksStarted(scheduler, "j-9")).isPositive();
    assertThat(now).isBetween(SchedulerLimits.STARVATION_THRESHOLD_S, 120.0);
  }

  @Test
  void malformedHeartbeatIsRejectedAndHasNoEffect() {
    SimWorld world = world(41);
    int leader = world.leader();
    String commonFields =
        "\"saw\":\"n-9\",\"address\":\"n-9:1\",\"rig\":\"small\",\"yard\":\"a\",\"foreman\":0";
    String[] malformedBodies = {
      "[]",
      "{}",
      "{" + commonFields + ",\"shift\":1}",
      "{" + commonFields + ",\"shift\":1,\"tally\":-4}",
      "{" + commonFields + ",\"shift\":\"x\",\"tally\":1}",
      "{" + commonFields + ",\"shift\":1,\"tally\":1,\"boards\":{}}",
      "{" + commonFields + ",\"shift\":1,\"tally\":1,\"boards\":[{\"board\":\"j-1/0\"}]}",
      "{\"saw\":1,"
          + commonFields.substring(commonFields.indexOf(',') + 1)
          + ",\"shift\":1,\"tally\":1}"
    };
    for (String body : malformedBodies) {
      assertThat(
              world.users.answer(leader, "POST", "/checkin", body.getBytes()).path("http").asInt())
          .as(body)
          .isEqualTo(400);
    }
    assertThat(world.controllers[leader].core().machines(0))
        .noneMatch(machine -> machine.name().equals("n-9"));
    String validBody =
        "{" + commonFields + ",\"shift\":1,\"tally\":1,\"boards\":null,\"recall_s\":null}";
    assertThat(
            world
                .users
                .answer(leader, "POST", "/checkin", validBody.getBytes())
                .path("http")
                .asInt())
        .isEqualTo(200);
  }
}
