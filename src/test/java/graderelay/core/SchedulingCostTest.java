package graderelay.core;

import static graderelay.core.SchedulerFixture.machineName;
import static graderelay.core.SchedulerFixture.registerMachine;
import static graderelay.sim.WorldAssertions.fine;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import graderelay.wire.StateCodec;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What heartbeats, rounds and writes cost, in looks and in changes. */
class SchedulingCostTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 5);
  }

  @Test
  void costOfOneHeartbeatDoesNotGrowWithTheFleet() {
    Scheduler s = SchedulerFixture.scheduler(1);
    int machines = 1600;
    for (int i = 0; i < machines; i++) {
      registerMachine(s, machineName(i), 0);
    }
    for (int k = 0; k < 40; k++) {
      s.onJob(
          SchedulerFixture.array("j-" + k, 250),
          false,
          5,
          0,
          0); // Far more than there is room for.
    }
    s.step(0.1);
    s.step(0.2);
    long before = s.examinedCount();
    for (int i = 0; i < machines; i++) {
      s.onHeartbeat(SchedulerFixture.heartbeat(machineName(i), 1, 2, 1), 0.3);
      s.step(0.3 + i * 1e-5);
    }
    assertThat(s.examinedCount() - before).isZero();
  }

  @Test
  void jobsThatFoundNoRoomAreNotConsideredAgainWhileNoneWasReleased() {
    Scheduler s = SchedulerFixture.scheduler(1);
    for (int i = 0; i < 5; i++) {
      registerMachine(s, machineName(i), 0);
    }
    for (int k = 0; k < 40; k++) {
      s.onJob(SchedulerFixture.array("j-" + k, 10), false, 5, 0, 0);
    }
    SchedulerFixture.commitAll(s, 10, 0.1);
    s.step(0.2);
    long before = s.examinedCount();
    for (int i = 0; i < 9; i++) {
      s.onScaleOutAnswered(
          99, List.of(), false, 0.21 + i * 0.011); // Something that starts a round.
      s.step(0.21 + i * 0.011);
    }
    assertThat(s.examinedCount() - before).isZero();
  }

  @Test
  void costOfOneRoundGrowsWithTheTasksAndNotWithTasksTimesFleet() {
    Scheduler s = SchedulerFixture.scheduler(1);
    int machines = 1600;
    for (int i = 0; i < machines; i++) {
      registerMachine(s, machineName(i), 0);
    }
    s.step(0.1);
    long before = s.examinedCount();
    s.onJob(SchedulerFixture.array("j-1", 250), false, 5, 0.2, 0.2);
    s.step(0.3);
    // Each machine is looked at a few times for the job, and a few more for each task.
    assertThat(s.examinedCount() - before).isLessThan(4L * machines + 250 * 8);
  }

  @Test
  void settlingLargeArrayTakesOneChangeForManyTasks() {
    Scheduler s = SchedulerFixture.scheduler(1);
    int machines = 60;
    for (int i = 0; i < machines; i++) {
      registerMachine(s, machineName(i), 0);
    }
    int tasks = 24; // As many as the team's limit allows at once.
    s.onJob(SchedulerFixture.array("j-1", tasks), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(s, 10, 0.2);
    final int before = SchedulerFixture.committedWrites(s);
    for (int i = 0; i < machines; i++) {
      SchedulerFixture.runTasks(s, machineName(i), 2, 4, 1);
    }
    SchedulerFixture.commitAll(s, 20, 1.7);
    SchedulerFixture.commitAll(s, 30, 1.9);
    assertThat(SchedulerFixture.committedWrites(s) - before)
        .isEqualTo(1); // With the job's own end.
    assertThat(SchedulerFixture.logLines(s)).anyMatch(n -> n.contains("j-1 is done"));
  }

  @Test
  void endsWaitForTheirShareOfTheChangesSoThatClaimsDoNotQueueBehindThem() {
    Scheduler s = SchedulerFixture.loadingScheduler(1, Map.of(), 10);
    s.loaded(0);
    for (int i = 0; i < 6; i++) {
      registerMachine(s, machineName(i), 0);
    }
    for (int k = 0; k < 12; k++) {
      s.onJob(SchedulerFixture.array("j-" + k, 2), false, 5, 0, 0);
    }
    int revision = 10;
    for (int i = 0; i < 12; i++) {
      SchedulerFixture.commitAll(s, revision++, 0.1 + i * 0.1);
    }
    for (int i = 0; i < 6; i++) {
      SchedulerFixture.runTasks(s, machineName(i), 2, 2, 3);
    }
    s.step(4);
    // Twelve tasks have ended, of many jobs; 0.4 s of ten a second are under way.
    assertThat(SchedulerFixture.changesInFlight(s)).isBetween(1, 4);
    for (int i = 0; i < 40; i++) {
      SchedulerFixture.commitAll(s, revision++, 5 + i * 0.1);
    }
    assertThat(s.teamUse().get("team").cpus()).isGreaterThan(0); // The rest has begun.
  }

  @Test
  void recordsOfFinishedJobAreGoneAlsoWithFiveControllers() {
    SimWorld w = world(36);
    SimJob j = w.users.job("j-000080", 9, 2, 3, true);
    w.users.submit(0, j);
    w.loop.run(60);
    for (int i = 0; i < w.size; i++) {
      assertThat(w.users.stage(i, j.id)).isEqualTo("done");
    }
    assertThat(w.store.items.keySet()).noneMatch(k -> k.startsWith(StateCodec.TASK_BATCHES));
    fine(w);
  }
}
