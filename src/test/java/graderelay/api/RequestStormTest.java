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

/** Many more requests than usual: questions, submissions, swarms of small jobs. */
class RequestStormTest {
  private static SimWorld world(long seed, int size) {
    return WorldAssertions.world(seed, size);
  }

  @Test
  void burstOfPollsForUnknownAndFinishedJobsIsAnsweredWithFewStoreRequests() {
    SimWorld w = world(81, 3);
    List<SimJob> finishedJobs = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      finishedJobs.add(w.users.job(String.format("j-%06d", 810 + i), 1, 1, 1, false));
      w.users.submit(i % 3, finishedJobs.get(i));
    }
    w.loop.run(60);
    int controller = (w.leader() + 1) % 3;
    w.crash(controller);
    w.start(controller); // It remembers no final state.
    w.loop.run(5);
    final int before = w.store.requests;
    int[] answered = {0, 0};
    for (int i = 0; i < 400; i++) {
      String id = i < 20 ? finishedJobs.get(i).id : String.format("j-%06d", 900000 + i);
      int expectedStatus = i < 20 ? 200 : 404;
      w.users.ask(
          controller,
          "GET",
          "/v1/jobs/" + id,
          null,
          (r, n) -> answered[r.status() == expectedStatus ? 0 : 1]++);
    }
    w.loop.run(2);
    assertThat(answered).containsExactly(400, 0);
    assertThat(w.store.requests - before).isLessThan(120);
    fine(w);
  }

  @Test
  void eachSubmissionOfBurstIsWrittenOnce() {
    SimWorld w = world(82, 3);
    int leader = w.leader();
    final long before = w.store.revision();
    // More than the controller may write in two seconds: the rest is told at once to come back.
    int[] status = new int[600];
    for (int i = 0; i < 600; i++) {
      SimJob j = w.users.job(String.format("j-%06d", 820000 + i), 1, 1, 1, false);
      w.users.ask(
          (leader + 1) % 3,
          "POST",
          "/v1/jobs",
          Json.write(w.users.body(j)),
          (r, n) -> {
            status[r.status()]++;
            j.accepted |= r.status() == 201;
          });
    }
    w.loop.run(0.3);
    assertThat(status[429]).isPositive();
    w.loop.run(4);
    assertThat(status[201] + status[429]).isEqualTo(600);
    assertThat(status[201]).isGreaterThan(100);
    assertThat(w.store.conflicts).as("submissions written twice").isZero();
    assertThat(w.store.revision()).isGreaterThan(before);
  }

  @Test
  void burstOfSingleTaskJobsWithCancellationsIsCompleted() {
    SimWorld w = world(351, 3);
    w.cloud.capacity = 8;
    List<SimJob> jobs = new ArrayList<>();
    for (int i = 0; i < 480; i++) {
      SimJob j = w.users.job(String.format("j-%06d", 5000 + i), 1, 1, 4, true);
      jobs.add(j);
      int controller = i % 3;
      w.loop.after(i * 0.25, () -> w.users.submit(controller, j));
      if (i % 4 == 3) {
        w.loop.after(i * 0.25 + 0.3 + i % 16, () -> w.users.cancel(other(w, controller), j));
      }
    }
    w.loop.run(200);
    for (SimJob j : jobs) {
      assertThat(j.accepted).isTrue();
    }
    allOver(w, jobs);
  }
}
