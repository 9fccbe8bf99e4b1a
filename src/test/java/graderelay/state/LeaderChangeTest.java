package graderelay.state;

import static graderelay.sim.ScenarioSteps.allOver;
import static graderelay.sim.ScenarioSteps.arrays;
import static graderelay.sim.ScenarioSteps.refuse;
import static graderelay.sim.ScenarioSteps.running;
import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.runner;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Single and repeated leader changes, also during an outage of the key-value store. */
class LeaderChangeTest {
  private static SimWorld world(long seed, int size) {
    return WorldAssertions.world(seed, size);
  }

  private static SimWorld oneZone(long seed, int size) {
    return WorldAssertions.zoned(seed, size, "a");
  }

  @ParameterizedTest
  @CsvSource({
    "crash, 0",
    "crash, 2",
    "crash, 4",
    "handover, 0.5",
    "handover, 1",
    "handover, 1.5",
    "isolate, 0.5",
    "isolate, 4",
    "isolate, 12",
    "restart, 0",
    "restart, 0.2"
  })
  void jobsCancelledDuringLeaderChangeAreStoppedInTime(String fault, double cancelAfterS) {
    SimWorld world = world(321, 3);
    world.users.lookClosely();
    SimJob[] jobs = running(world, 3);
    int leader = world.leader();
    switch (fault) {
      case "crash" -> world.crash(leader);
      case "handover" -> refuse(world, leader, true);
      case "isolate" -> world.isolate(leader, true);
      default -> {
        world.crash(leader);
        world.loop.after(0.1, () -> world.start(leader));
      }
    }
    world.loop.run(cancelAfterS);
    for (int i = 0; i < 3; i++) {
      world.users.cancel((leader + 1 + i) % 3, jobs[i]);
    }
    world.loop.run(8);
    if (fault.equals("isolate")) {
      world.isolate(leader, false);
    }
    world.loop.run(SimWorld.CANCEL_S);
    assertThat(world.workers.values()).allMatch(worker -> worker.running().isEmpty());
    fine(world);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void tenLeaderChangesInTwoMinutesIncludingStoreOutagesLoseNoJob(boolean restartsAtOnce) {
    SimWorld world = world(322, 3);
    List<SimJob> jobs = arrays(world, 24, 4, 9);
    for (int i = 0; i < 10; i++) {
      world.loop.run(10);
      if (i % 4 == 2) {
        world.store.outage(true);
        world.loop.after(8, () -> world.store.outage(false));
      }
      int leader = world.leader();
      if (leader >= 0) {
        world.crash(leader);
        world.loop.after(restartsAtOnce ? 0.2 : 5, () -> world.start(leader));
      }
    }
    world.loop.run(90);
    allOver(world, jobs);
  }

  @Test
  void cancelledJobStopsAndOtherKeepsRunningAfterHandoversAndCrashOfAllControllers() {
    SimWorld world = oneZone(323, 3);
    SimJob[] jobs = running(world, 2);
    for (int i = 0; i < 3; i++) {
      int leader = world.leader();
      refuse(world, leader, true);
      world.loop.run(2.5);
      assertThat(world.leader()).isNotEqualTo(leader);
      refuse(world, leader, false);
      world.loop.run(2);
    }
    world.users.cancel(0, jobs[0]);
    world.loop.run(0.1);
    world.crashAll();
    world.loop.run(0.4);
    world.start(1);
    world.loop.run(SimWorld.CANCEL_S);
    world.start(0);
    world.start(2);
    world.loop.run(10);
    assertThat(world.workers.values())
        .noneMatch(worker -> worker.running().contains(jobs[0].id + "/0"));
    assertThat(world.users.stage(1, jobs[1].id)).isEqualTo("running");
    assertThat(world.invariants.trace()).noneMatch(line -> line.contains("lease over"));
    fine(world);
  }

  @Test
  void jobStaysCancelledAndOtherRestartsAfterAllControllersAreDownLongerThanLease() {
    SimWorld world = world(324, 3);
    SimJob[] jobs = running(world, 2);
    world.users.cancel(0, jobs[0]);
    world.loop.run(0.05);
    world.crashAll();
    world.loop.run(SimWorld.LEASE_S + 5);
    world.startAll();
    world.loop.run(30);
    assertThat(world.users.stage(2, jobs[0].id)).isEqualTo("cancelled");
    assertThat(runner(world, jobs[1].id + "/0")).isNotNull(); // It was started again.
    fine(world);
  }

  @Test
  void jobIsDoneAfterItsTasksEndUnderDifferentLeaders() {
    SimWorld world = world(325, 3);
    world.cloud.capacity = 1; // Tasks run one after the other.
    SimJob job = world.users.job("j-000480", 3, 4, 9, false);
    world.users.submit(0, job);
    for (int i = 0; i < 3; i++) {
      world.loop.run(12);
      int leader = world.leader();
      world.crash(leader);
      world.loop.after(0.5 + i * 3, () -> world.start(leader));
    }
    world.loop.run(40);
    assertThat(world.invariants.starts).isEqualTo(3);
    assertThat(world.users.stage(0, job.id)).isEqualTo("done");
    fine(world);
  }
}
