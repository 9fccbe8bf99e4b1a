package graderelay.state;

import static graderelay.core.SchedulerFixture.registerMachine;
import static graderelay.sim.WorldAssertions.fine;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.core.Action;
import graderelay.core.Scheduler;
import graderelay.core.SchedulerFixture;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import graderelay.sim.WorldShape;
import graderelay.wire.StateCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Controllers that restart, stand alone or have just begun. */
class ControllerRestartTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 5);
  }

  @Test
  void controllersStayReadyInTotalOutageButNotWhenTheyAreAlone() {
    SimWorld w = world(39);
    w.loop.run(5);
    w.store.outage(true);
    w.loop.run(8);
    for (int i = 0; i < w.size; i++) {
      assertThat(w.users.answer(i, "GET", "/ready", null).path("http").asInt()).isEqualTo(200);
    }
    w.store.outage(false);
    w.loop.run(5);
    w.isolate(1, true);
    w.refused[2][0] = true; // Some of their peers are served, so users are better off there.
    w.refused[3][0] = true;
    w.loop.run(8);
    assertThat(w.users.answer(1, "GET", "/ready", null).path("http").asInt()).isEqualTo(503);
    assertThat(w.users.answer(2, "GET", "/ready", null).path("http").asInt()).isEqualTo(503);
    assertThat(w.users.answer(3, "GET", "/ready", null).path("http").asInt()).isEqualTo(503);
    assertThat(w.users.answer(0, "GET", "/ready", null).path("http").asInt()).isEqualTo(200);
  }

  @Test
  void workersOfIsolatedLeaderFindTheNextWithoutLosingTheirLease() {
    SimWorld w = world(33);
    w.users.submit(0, w.users.job("j-000064", 4, 1, 0, false));
    w.loop.run(20);
    final int starts = w.invariants.starts;
    int leader = w.leader();
    w.isolate(leader, true);
    w.loop.run(40);
    assertThat(w.leader()).isNotNegative().isNotEqualTo(leader);
    assertThat(w.controllers[leader].leader()).isFalse();
    w.isolate(leader, false);
    w.loop.run(20);
    assertThat(w.invariants.starts).isEqualTo(starts);
    fine(w);
  }

  @Test
  void leaderBackAtOnceAndAnotherThatRestartsInTheElectionCostNoLease() {
    SimWorld w = world(34);
    w.users.submit(0, w.users.job("j-000065", 4, 1, 0, false));
    w.loop.run(20);
    final int starts = w.invariants.starts;
    int leader = w.leader();
    w.crash(leader);
    w.loop.run(0.2);
    w.start(leader);
    for (int i = 0; i < 4; i++) {
      int k = (leader + 1 + i) % w.size;
      w.loop.run(0.15);
      w.crash(k);
      w.loop.run(0.1);
      w.start(k);
    }
    w.loop.run(30);
    assertThat(w.leader()).isNotNegative();
    assertThat(w.invariants.starts).isEqualTo(starts);
    fine(w);
  }

  @Test
  void leaderThatStillReadsTheRecordsKeepsLeasesAliveAndCommandsNothing() {
    // In one zone, since lease delegates elsewhere use the time that a cancellation leaves.
    SimWorld w = new SimWorld(37, WorldShape.of(5).fleet(8, List.of("a")));
    w.loop.run(4);
    w.users.submit(0, w.users.job("j-000066", 4, 1, 0, false));
    w.loop.run(20);
    final int starts = w.invariants.starts;
    w.crashAll();
    w.loop.run(5);
    // Reading all takes longer than the leases last; who leads is known at once.
    w.store.refusedList = StateCodec.JOBS;
    w.startAll();
    w.loop.run(9);
    assertThat(w.leader()).isNotNegative();
    assertThat(w.controllers[w.leader()].core()).isNull();
    w.store.refusedList = null;
    w.loop.run(20);
    assertThat(w.controllers[w.leader()].core()).isNotNull();
    assertThat(w.invariants.starts).isEqualTo(starts);
    fine(w);
  }

  @Test
  void whenFaultsEndEveryJobIsAnsweredOnEveryControllerAtOnce() {
    SimWorld w = world(35);
    List<SimJob> jobs = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      SimJob j = w.users.job("j-00007" + i, 1 + i, 1, i % 2 == 0 ? 0 : 4, false);
      jobs.add(j);
      w.users.submit(i % w.size, j);
    }
    w.loop.run(15);
    // Watches, lists and catch-up reads die on the way, on some controllers for long.
    w.net.cut("c1", "state");
    w.refused[2][0] = true;
    w.net.loseAnswers = 0.4;
    w.loop.run(20);
    w.store.outage(true);
    w.loop.run(10);
    w.store.outage(false);
    w.net.loseAnswers = 0;
    w.refused[2][0] = false;
    w.net.heal("c1", "state");
    w.loop.run(5);
    for (SimJob j : jobs) {
      for (int i = 0; i < w.size; i++) {
        double asked = w.loop.now();
        assertThat(w.users.answer(i, "GET", "/v1/jobs/" + j.id, null).path("http").asInt())
            .as(j.id + " on m-" + i)
            .isEqualTo(200);
        assertThat(w.loop.now() - asked).isLessThan(1);
      }
    }
    fine(w);
  }

  @Test
  void nextLeaderKnowsWhichMachinesHaveAnImage() {
    Scheduler first = SchedulerFixture.scheduler(1);
    registerMachine(first, "n-1", 0);
    registerMachine(first, "n-2", 0);
    first.onJob(SchedulerFixture.array("j-1", 1), false, 5, 0, 0);
    SchedulerFixture.commitAll(first, 10, 0.1);
    String warm = SchedulerFixture.claimCount(first, "n-1") == 1 ? "n-1" : "n-2";
    SchedulerFixture.runTasks(first, warm, 2, 1, 1);
    first.tick(20);
    Action.KeepImages kept =
        (Action.KeepImages)
            SchedulerFixture.pendingActions(first).stream()
                .filter(a -> a instanceof Action.KeepImages)
                .findFirst()
                .orElseThrow();
    Scheduler next = SchedulerFixture.loadingScheduler(2);
    next.onImages(StateCodec.decodeImages(StateCodec.encodeImages(kept.machines(), 60)));
    next.loaded(20);
    for (int i = 1; i <= 6; i++) {
      SchedulerFixture.exchangeHeartbeat(next, "n-" + i, 1, 9, 20);
    }
    next.onJob(SchedulerFixture.array("j-2", 3), false, 6, 20, 20);
    SchedulerFixture.commitAll(next, 11, 20.1);
    assertThat(SchedulerFixture.claimCount(next, warm)).isEqualTo(3);
  }

  @Test
  void onFullFleetTheFreeSlotGoesToTheArrayWhoseImageIsPresent() {
    Scheduler s = SchedulerFixture.loadingScheduler(1);
    s.onImages(Map.of("n-1", List.of("x"), "n-2", List.of("y")));
    s.loaded(0);
    registerMachine(s, "n-1", 0);
    registerMachine(s, "n-2", 0);
    s.onJob(SchedulerFixture.array("j-1", 8, "y"), false, 5, 0, 0);
    s.onJob(SchedulerFixture.array("j-2", 8, "x"), false, 6, 0, 0);
    SchedulerFixture.commitAll(s, 10, 0.1);
    assertThat(SchedulerFixture.tasksStarted(s, "j-1")).isEqualTo(4);
    assertThat(SchedulerFixture.tasksStarted(s, "j-2")).isEqualTo(4);
    assertThat(SchedulerFixture.logLines(s)).noneMatch(n -> n.contains("to be fetched"));
  }
}
