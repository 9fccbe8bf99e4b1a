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

/** Controllers that restart, are isolated, or have just started. */
class ControllerRestartTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 5);
  }

  @Test
  void controllersStayReadyInTotalStoreOutageButNotIfPeersAreServed() {
    SimWorld world = world(39);
    world.loop.run(5);
    world.store.outage(true);
    world.loop.run(8);
    for (int i = 0; i < world.size; i++) {
      assertThat(world.users.answer(i, "GET", "/ready", null).path("http").asInt()).isEqualTo(200);
    }
    world.store.outage(false);
    world.loop.run(5);
    world.isolate(1, true);
    world.refused[2][0] = true; // Some of their peers are served, and users should be routed there.
    world.refused[3][0] = true;
    world.loop.run(8);
    assertThat(world.users.answer(1, "GET", "/ready", null).path("http").asInt()).isEqualTo(503);
    assertThat(world.users.answer(2, "GET", "/ready", null).path("http").asInt()).isEqualTo(503);
    assertThat(world.users.answer(3, "GET", "/ready", null).path("http").asInt()).isEqualTo(503);
    assertThat(world.users.answer(0, "GET", "/ready", null).path("http").asInt()).isEqualTo(200);
  }

  @Test
  void workersOfIsolatedLeaderReachNewLeaderBeforeTheirLeasesEnd() {
    SimWorld world = world(33);
    world.users.submit(0, world.users.job("j-000064", 4, 1, 0, false));
    world.loop.run(20);
    final int starts = world.invariants.starts;
    int leader = world.leader();
    world.isolate(leader, true);
    world.loop.run(40);
    assertThat(world.leader()).isNotNegative().isNotEqualTo(leader);
    assertThat(world.controllers[leader].isLeader()).isFalse();
    world.isolate(leader, false);
    world.loop.run(20);
    assertThat(world.invariants.starts).isEqualTo(starts);
    fine(world);
  }

  @Test
  void quickRestartsOfLeaderAndFollowersDuringElectionEndNoWorkerLease() {
    SimWorld world = world(34);
    world.users.submit(0, world.users.job("j-000065", 4, 1, 0, false));
    world.loop.run(20);
    final int starts = world.invariants.starts;
    int leader = world.leader();
    world.crash(leader);
    world.loop.run(0.2);
    world.start(leader);
    for (int i = 0; i < 4; i++) {
      int restarted = (leader + 1 + i) % world.size;
      world.loop.run(0.15);
      world.crash(restarted);
      world.loop.run(0.1);
      world.start(restarted);
    }
    world.loop.run(30);
    assertThat(world.leader()).isNotNegative();
    assertThat(world.invariants.starts).isEqualTo(starts);
    fine(world);
  }

  @Test
  void leaderStillLoadingRecordsKeepsWorkerLeasesAlive() {
    // A single zone: with lease delegates, new processes may not renew leases without knowing
    // cancellations.
    SimWorld world = new SimWorld(37, WorldShape.of(5).fleet(8, List.of("a")));
    world.loop.run(4);
    world.users.submit(0, world.users.job("j-000066", 4, 1, 0, false));
    world.loop.run(20);
    final int starts = world.invariants.starts;
    world.crashAll();
    world.loop.run(5);
    // Loading the records takes longer than a worker lease; only the election records are known.
    world.store.refusedList = StateCodec.JOBS;
    world.startAll();
    world.loop.run(9);
    assertThat(world.leader()).isNotNegative();
    assertThat(world.controllers[world.leader()].core()).isNull();
    world.store.refusedList = null;
    world.loop.run(20);
    assertThat(world.controllers[world.leader()].core()).isNotNull();
    assertThat(world.invariants.starts).isEqualTo(starts);
    fine(world);
  }

  @Test
  void everyControllerAnswersForEveryJobAtOnceAfterFaultsEnd() {
    SimWorld world = world(35);
    List<SimJob> jobs = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      SimJob job = world.users.job("j-00007" + i, 1 + i, 1, i % 2 == 0 ? 0 : 4, false);
      jobs.add(job);
      world.users.submit(i % world.size, job);
    }
    world.loop.run(15);
    // Watches, listings and catch-up reads fail, on some controllers for long.
    world.net.cut("c1", "state");
    world.refused[2][0] = true;
    world.net.loseAnswers = 0.4;
    world.loop.run(20);
    world.store.outage(true);
    world.loop.run(10);
    world.store.outage(false);
    world.net.loseAnswers = 0;
    world.refused[2][0] = false;
    world.net.heal("c1", "state");
    world.loop.run(5);
    for (SimJob job : jobs) {
      for (int i = 0; i < world.size; i++) {
        double askedAt = world.loop.now();
        assertThat(world.users.answer(i, "GET", "/v1/jobs/" + job.id, null).path("http").asInt())
            .as(job.id + " on m-" + i)
            .isEqualTo(200);
        assertThat(world.loop.now() - askedAt).isLessThan(1);
      }
    }
    fine(world);
  }

  @Test
  void newLeaderKnowsFromHintsWhichMachinesHaveAnImage() {
    Scheduler first = SchedulerFixture.scheduler(1);
    registerMachine(first, "n-1", 0);
    registerMachine(first, "n-2", 0);
    first.onJob(SchedulerFixture.array("j-1", 1), false, 5, 0, 0);
    SchedulerFixture.commitAll(first, 10, 0.1);
    String machineWithImage = SchedulerFixture.claimCount(first, "n-1") == 1 ? "n-1" : "n-2";
    SchedulerFixture.runTasks(first, machineWithImage, 2, 1, 1);
    first.tick(20);
    Action.StoreImages keepImages =
        (Action.StoreImages)
            SchedulerFixture.pendingActions(first).stream()
                .filter(action -> action instanceof Action.StoreImages)
                .findFirst()
                .orElseThrow();
    Scheduler next = SchedulerFixture.loadingScheduler(2);
    next.onStoredImages(
        StateCodec.decodeImages(StateCodec.encodeImages(keepImages.imagesByMachine(), 60)));
    next.onRecordsLoaded(20);
    for (int i = 1; i <= 6; i++) {
      SchedulerFixture.exchangeHeartbeat(next, "n-" + i, 1, 9, 20);
    }
    next.onJob(SchedulerFixture.array("j-2", 3), false, 6, 20, 20);
    SchedulerFixture.commitAll(next, 11, 20.1);
    assertThat(SchedulerFixture.claimCount(next, machineWithImage)).isEqualTo(3);
  }

  @Test
  void freeSlotsOfFullFleetGoToArrayWhoseImageIsPresent() {
    Scheduler scheduler = SchedulerFixture.loadingScheduler(1);
    scheduler.onStoredImages(Map.of("n-1", List.of("x"), "n-2", List.of("y")));
    scheduler.onRecordsLoaded(0);
    registerMachine(scheduler, "n-1", 0);
    registerMachine(scheduler, "n-2", 0);
    scheduler.onJob(SchedulerFixture.array("j-1", 8, "y"), false, 5, 0, 0);
    scheduler.onJob(SchedulerFixture.array("j-2", 8, "x"), false, 6, 0, 0);
    SchedulerFixture.commitAll(scheduler, 10, 0.1);
    assertThat(SchedulerFixture.tasksStarted(scheduler, "j-1")).isEqualTo(4);
    assertThat(SchedulerFixture.tasksStarted(scheduler, "j-2")).isEqualTo(4);
    assertThat(SchedulerFixture.logLines(scheduler))
        .noneMatch(line -> line.contains("to be fetched"));
  }
}
