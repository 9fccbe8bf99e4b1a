package graderelay.api;

import static graderelay.sim.ScenarioSteps.allOver;
import static graderelay.sim.ScenarioSteps.other;
import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.world;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import graderelay.wire.Json;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests bursts of polls, submissions and small jobs far above the usual load. */
class RequestStormTest {
  private static SimWorld world(long seed, int size) {
    return WorldAssertions.world(seed, size);
  }

  @Test
  void burstOfPollsForUnknownAndFinishedJobsIsAnsweredWithFewStoreRequests() {
    SimWorld world = world(81, 3);
    List<SimJob> finishedJobs = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      finishedJobs.add(world.users.job(String.format("j-%06d", 810 + i), 1, 1, 1, false));
      world.users.submit(i % 3, finishedJobs.get(i));
    }
    world.loop.run(60);
    int controller = (world.leader() + 1) % 3;
    world.crash(controller);
    world.start(controller); // A restarted controller has no final states in its cache.
    world.loop.run(5);
    final int before = world.store.requests;
    int[] answered = {0, 0};
    for (int i = 0; i < 400; i++) {
      String id = i < 20 ? finishedJobs.get(i).id : String.format("j-%06d", 900000 + i);
      int expectedStatus = i < 20 ? 200 : 404;
      world.users.ask(
          controller,
          "GET",
          "/v1/jobs/" + id,
          null,
          (answer, json) -> answered[answer.status() == expectedStatus ? 0 : 1]++);
    }
    world.loop.run(2);
    assertThat(answered).containsExactly(400, 0);
    assertThat(world.store.requests - before).isLessThan(120);
    fine(world);
  }

  @Test
  void eachSubmissionOfBurstIsWrittenOnce() {
    SimWorld world = world(82, 3);
    int leader = world.leader();
    final long before = world.store.revision();
    // More than the controller may write in two seconds: the rest is rejected at once with 429.
    int[] status = new int[600];
    for (int i = 0; i < 600; i++) {
      SimJob job = world.users.job(String.format("j-%06d", 820000 + i), 1, 1, 1, false);
      world.users.ask(
          (leader + 1) % 3,
          "POST",
          "/v1/jobs",
          Json.write(world.users.body(job)),
          (answer, json) -> {
            status[answer.status()]++;
            job.accepted |= answer.status() == 201;
          });
    }
    world.loop.run(0.3);
    assertThat(status[429]).isPositive();
    world.loop.run(4);
    assertThat(status[201] + status[429]).isEqualTo(600);
    assertThat(status[201]).isGreaterThan(100);
    assertThat(world.store.conflicts).as("submissions written twice").isZero();
    assertThat(world.store.revision()).isGreaterThan(before);
  }

  @Test
  void burstOfSingleTaskJobsWithCancellationsIsCompleted() {
    SimWorld world = world(351, 3);
    world.cloud.capacity = 8;
    List<SimJob> jobs = new ArrayList<>();
    for (int i = 0; i < 480; i++) {
      SimJob job = world.users.job(String.format("j-%06d", 5000 + i), 1, 1, 4, true);
      jobs.add(job);
      int controller = i % 3;
      world.loop.after(i * 0.25, () -> world.users.submit(controller, job));
      if (i % 4 == 3) {
        world.loop.after(
            i * 0.25 + 0.3 + i % 16, () -> world.users.cancel(other(world, controller), job));
      }
    }
    world.loop.run(200);
    for (SimJob job : jobs) {
      assertThat(job.accepted).isTrue();
    }
    allOver(world, jobs);
  }
}
