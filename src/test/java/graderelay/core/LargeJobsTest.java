package graderelay.core;

import static graderelay.core.SchedulerFixture.registerMachine;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The largest jobs, and malformed heartbeats. */
class LargeJobsTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 5);
  }

  @Test
  void largeArrayBeginsAlthoughSmallerOnesKeepComing() {
    Scheduler s = SchedulerFixture.loadingScheduler(1, Map.of("batch", List.of(5.0, 20.0)));
    s.loaded(0);
    registerMachine(s, "n-1", 0);
    s.onJob(SchedulerFixture.array("j-8", 4), false, 5, 0, 0);
    SchedulerFixture.commitAll(s, 10, 0.1); // The machine is full before the large one comes.
    s.onJob(SchedulerFixture.array("j-9", 200), false, 5, 0.2, 0.2);
    double now = 0.2;
    int revision = 10;
    for (int i = 0; i < 60 && SchedulerFixture.tasksStarted(s, "j-9") == 0; i++) {
      now += 2;
      s.onJob(SchedulerFixture.array("j-s" + i, 1), false, 5, now, now);
      // One task ends, so there is room for one more of somebody.
      SchedulerFixture.runTasks(s, "n-1", 2 + 2 * i, 1, now);
      SchedulerFixture.commitAll(s, revision += 2, now + 0.6);
      SchedulerFixture.commitAll(s, revision += 2, now + 0.7);
    }
    assertThat(SchedulerFixture.tasksStarted(s, "j-9")).isPositive();
    assertThat(now).isBetween(SchedulerLimits.WAITING_WINS_S, 120.0);
  }

  @Test
  void malformedHeartbeatIsRefusedAndChangesNothing() {
    SimWorld w = world(41);
    int leader = w.leader();
    String good =
        "\"saw\":\"n-9\",\"address\":\"n-9:1\",\"rig\":\"small\",\"yard\":\"a\",\"foreman\":0";
    String[] bad = {
      "[]",
      "{}",
      "{" + good + ",\"shift\":1}",
      "{" + good + ",\"shift\":1,\"tally\":-4}",
      "{" + good + ",\"shift\":\"x\",\"tally\":1}",
      "{" + good + ",\"shift\":1,\"tally\":1,\"boards\":{}}",
      "{" + good + ",\"shift\":1,\"tally\":1,\"boards\":[{\"board\":\"j-1/0\"}]}",
      "{\"saw\":1," + good.substring(good.indexOf(',') + 1) + ",\"shift\":1,\"tally\":1}"
    };
    for (String b : bad) {
      assertThat(w.users.answer(leader, "POST", "/checkin", b.getBytes()).path("http").asInt())
          .as(b)
          .isEqualTo(400);
    }
    assertThat(w.controllers[leader].core().machines(0)).noneMatch(m -> m.name().equals("n-9"));
    String right = "{" + good + ",\"shift\":1,\"tally\":1,\"boards\":null,\"recall_s\":null}";
    assertThat(w.users.answer(leader, "POST", "/checkin", right.getBytes()).path("http").asInt())
        .isEqualTo(200);
  }
}
