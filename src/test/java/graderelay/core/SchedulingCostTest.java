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

/**
 * Cost of heartbeats, rounds and writes: machines and claims examined, and changes of the store.
 */
class SchedulingCostTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 5);
  }

  @Test
  void costOfHeartbeatIsIndependentOfFleetSize() {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    int machines = 1600;
    for (int i = 0; i < machines; i++) {
      registerMachine(scheduler, machineName(i), 0);
    }
    for (int k = 0; k < 40; k++) {
      scheduler.onJob(
          SchedulerFixture.array("j-" + k, 250),
          false,
          5,
          0,
          0); // Far more than there is room for.
    }
    scheduler.step(0.1);
    scheduler.step(0.2);
    long before = scheduler.examinedCount();
    for (int i = 0; i < machines; i++) {
      scheduler.onHeartbeat(SchedulerFixture.heartbeat(machineName(i), 1, 2, 1), 0.3);
      scheduler.step(0.3 + i * 1e-5);
    }
    assertThat(scheduler.examinedCount() - before).isZero();
  }

  @Test
  void jobsWithoutRoomAreNotExaminedAgainUntilRoomIsFreed() {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    for (int i = 0; i < 5; i++) {
      registerMachine(scheduler, machineName(i), 0);
    }
    for (int k = 0; k < 40; k++) {
      scheduler.onJob(SchedulerFixture.array("j-" + k, 10), false, 5, 0, 0);
    }
    SchedulerFixture.commitAll(scheduler, 10, 0.1);
    scheduler.step(0.2);
    long before = scheduler.examinedCount();
    for (int i = 0; i < 9; i++) {
      scheduler.onScaleOutResponse(
          99, List.of(), false, 0.21 + i * 0.011); // Something that starts a round.
      scheduler.step(0.21 + i * 0.011);
    }
    assertThat(scheduler.examinedCount() - before).isZero();
  }

  @Test
  void costOfRoundGrowsWithMachinesPlusTasksAndNotWithTheirProduct() {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    int machines = 1600;
    for (int i = 0; i < machines; i++) {
      registerMachine(scheduler, machineName(i), 0);
    }
    scheduler.step(0.1);
    long before = scheduler.examinedCount();
    scheduler.onJob(SchedulerFixture.array("j-1", 250), false, 5, 0.2, 0.2);
    scheduler.step(0.3);
    // Each machine is examined a few times for the job, and a few more for each task.
    assertThat(scheduler.examinedCount() - before).isLessThan(4L * machines + 250 * 8);
  }

  @Test
  void endsOfAllTasksOfAnArrayTakeOneWrite() {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    int machines = 60;
    for (int i = 0; i < machines; i++) {
      registerMachine(scheduler, machineName(i), 0);
    }
    int tasks = 24; // As many as the team's limit allows at once.
    scheduler.onJob(SchedulerFixture.array("j-1", tasks), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(scheduler, 10, 0.2);
    final int before = SchedulerFixture.committedWrites(scheduler);
    for (int i = 0; i < machines; i++) {
      SchedulerFixture.runTasks(scheduler, machineName(i), 2, 4, 1);
    }
    SchedulerFixture.commitAll(scheduler, 20, 1.7);
    SchedulerFixture.commitAll(scheduler, 30, 1.9);
    assertThat(SchedulerFixture.committedWrites(scheduler) - before)
        .isEqualTo(1); // Includes the end of the job itself.
    assertThat(SchedulerFixture.logLines(scheduler)).anyMatch(line -> line.contains("j-1 is done"));
  }

  @Test
  void endsUseOnlyTheirShareOfChangesSoThatClaimsAreNotDelayed() {
    Scheduler scheduler = SchedulerFixture.loadingScheduler(1, Map.of(), 10);
    scheduler.onRecordsLoaded(0);
    for (int i = 0; i < 6; i++) {
      registerMachine(scheduler, machineName(i), 0);
    }
    for (int k = 0; k < 12; k++) {
      scheduler.onJob(SchedulerFixture.array("j-" + k, 2), false, 5, 0, 0);
    }
    int revision = 10;
    for (int i = 0; i < 12; i++) {
      SchedulerFixture.commitAll(scheduler, revision++, 0.1 + i * 0.1);
    }
    for (int i = 0; i < 6; i++) {
      SchedulerFixture.runTasks(scheduler, machineName(i), 2, 2, 3);
    }
    scheduler.step(4);
    // Twelve tasks of many jobs have ended. Ends may use 0.4 s worth of ten changes a second.
    assertThat(SchedulerFixture.changesInFlight(scheduler)).isBetween(1, 4);
    for (int i = 0; i < 40; i++) {
      SchedulerFixture.commitAll(scheduler, revision++, 5 + i * 0.1);
    }
    assertThat(scheduler.usageByTeam().get("team").cpus())
        .isGreaterThan(0); // The other tasks have started.
  }

  @Test
  void recordsOfFinishedJobAreDeletedWithFiveControllers() {
    SimWorld world = world(36);
    SimJob job = world.users.job("j-000080", 9, 2, 3, true);
    world.users.submit(0, job);
    world.loop.run(60);
    for (int i = 0; i < world.size; i++) {
      assertThat(world.users.stage(i, job.id)).isEqualTo("done");
    }
    assertThat(world.store.items.keySet()).noneMatch(k -> k.startsWith(StateCodec.TASK_BATCHES));
    fine(world);
  }
}
