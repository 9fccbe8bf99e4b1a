package graderelay.worker;

import static graderelay.sim.ScenarioSteps.allOver;
import static graderelay.sim.ScenarioSteps.arrays;
import static graderelay.sim.ScenarioSteps.other;
import static graderelay.sim.ScenarioSteps.running;
import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.runner;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorker;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import graderelay.sim.WorldShape;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Machines that hang, are partitioned, or boot at the same time as a failover. */
class UnreachableMachinesTest {
  private static SimWorld world(long seed, int size) {
    return WorldAssertions.world(seed, size);
  }

  @ParameterizedTest
  @CsvSource({"2, cancel", "6, cancel", "11, cancel", "20, cancel", "6, owner", "20, owner"})
  void machineThatHangsAndResumesStopsItsCancelledTasks(double hangS, String fault) {
    SimWorld world = world(331, 3);
    SimJob[] jobs = running(world, 2);
    int leader = world.leader();
    world.workers.values().forEach(worker -> worker.hang(hangS));
    world.users.cancel(other(world, leader), jobs[0]);
    world.loop.run(0.5);
    if (fault.equals("owner")) {
      world.crash(leader);
    }
    world.loop.run(hangS + 15);
    assertThat(world.workers.values())
        .noneMatch(worker -> worker.running().contains(jobs[0].id + "/0"));
    world.loop.run(SimWorld.CANCEL_S);
    fine(world);
  }

  @Test
  void commandDelayedForSecondsStartsNoTaskOfCancelledJob() {
    SimWorld world = world(332, 3);
    running(world, 1);
    world.net.alwaysPooled = true;
    String machine = world.workers.keySet().iterator().next();
    int leader = world.leader();
    world.net.cut("c" + leader, machine);
    SimJob job = world.users.job("j-000481", 3, 1, 30, true);
    world.users.submit(other(world, leader), job);
    world.loop.run(1.5);
    world.users.cancel(other(world, leader), job);
    world.loop.run(6);
    world.net.heal("c" + leader, machine);
    world.loop.run(SimWorld.CANCEL_S);
    assertThat(world.workers.values())
        .noneMatch(worker -> worker.running().contains(job.id + "/0"));
    fine(world);
  }

  @ParameterizedTest
  @CsvSource({"cut, 6", "cut, 30", "hang, 6", "hang, 30", "deaf, 30", "mute, 30"})
  void teamAtItsLimitStaysWithinItWhileMachinesAreUnreachableAndTheLeaderChanges(
      String fault, double durationS) {
    SimWorld world = new SimWorld(333, WorldShape.of(3).fleet(20, List.of("a", "b")));
    world.cloud.capacity = 20;
    world.loop.run(3);
    List<SimJob> jobs = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      SimJob job = world.users.job(String.format("j-0004%02d", i), 4, 3, 300, false);
      jobs.add(job);
      world.users.submit(i % 3, job);
    }
    world.loop.run(25);
    assertThat(world.invariants.starts)
        .isEqualTo(20); // 60 of 60 CPUs; the team limit keeps four tasks waiting.
    List<SimWorker> affected = new ArrayList<>(world.workers.values()).subList(0, 5);
    for (SimWorker worker : affected) {
      switch (fault) {
        case "cut" -> world.cutOff(worker.name);
        case "hang" -> worker.hang(durationS);
        case "deaf" -> world.net.deaf(worker.name, true);
        default -> world.net.mute(worker.name, true);
      }
    }
    int leader = world.leader();
    world.users.cancel(other(world, leader), jobs.get(0));
    world.users.cancel(other(world, leader), jobs.get(1));
    world.loop.run(0.3);
    world.crash(leader);
    world.users.cancel(other(world, leader), jobs.get(2));
    world.loop.run(durationS);
    for (SimWorker worker : affected) {
      world.net.deaf(worker.name, false);
      world.net.mute(worker.name, false);
      for (int i = 0; i < 3; i++) {
        world.net.heal("c" + i, worker.name);
      }
    }
    world.start(leader);
    world.loop.run(SimWorld.CANCEL_S + 20);
    for (int i = 3; i < 6; i++) {
      assertThat(world.users.stage(0, jobs.get(i).id)).isEqualTo("running");
    }
    fine(world);
  }

  @Test
  void workersThatCannotOpenConnectionsLoseTheirLeasesAndNoTaskRunsTwice() {
    SimWorld world = world(334, 3);
    SimJob[] jobs = running(world, 3);
    world.workers.keySet().forEach(machine -> world.net.mute(machine, true));
    world.users.cancel(0, jobs[0]);
    world.loop.run(SimWorld.LEASE_S + 12);
    world.workers.keySet().forEach(machine -> world.net.mute(machine, false));
    world.loop.run(40);
    assertThat(world.users.stage(1, jobs[0].id)).isEqualTo("cancelled");
    assertThat(world.users.stage(1, jobs[1].id)).isEqualTo("running");
    fine(world);
  }

  @ParameterizedTest
  @CsvSource({"cut, 8", "cut, 25", "deaf, 8", "deaf, 25"})
  void leaderCrashesWhileMachinesWithLongTasksCannotReachTheNextLeader(
      String fault, double durationS) {
    SimWorld world = world(335, 3);
    final SimJob[] jobs = running(world, 2);
    SimJob longArray = world.users.job("j-000482", 3, 1, 70, false);
    world.users.submit(0, longArray);
    world.loop.run(10);
    List<String> machines = new ArrayList<>(world.workers.keySet());
    for (String machine : machines) {
      if (fault.equals("cut")) {
        world.cutOff(machine);
      } else {
        world.net.deaf(machine, true);
      }
    }
    world.crash(world.leader());
    world.users.cancel(world.isUp(0) ? 0 : 1, jobs[0]);
    world.loop.run(durationS);
    for (String machine : machines) {
      world.net.deaf(machine, false);
      for (int i = 0; i < 3; i++) {
        world.net.heal("c" + i, machine);
      }
    }
    world.loop.run(140);
    assertThat(world.users.stage(world.leader(), longArray.id)).isEqualTo("done");
    fine(world);
  }

  @ParameterizedTest
  @CsvSource({"0.2, 1", "0.2, 4", "3, 1"})
  void newMachinesGetTasksWhileWritesAreDelayedAndTheLeaderCrashes(
      double writeDelayS, double crashAfterS) {
    SimWorld world = world(336, 3);
    world.cloud.bootFactor = 0.15;
    world.store.delayS = writeDelayS;
    world.store.delay = transaction -> transaction.toString().contains("g/slice/");
    final List<SimJob> jobs = arrays(world, 8, 0.1, 6);
    world.loop.run(1 + crashAfterS);
    int leader = world.leader();
    world.crash(leader);
    world.loop.run(3);
    world.start(leader);
    world.loop.run(60);
    world.store.delay = transaction -> false;
    world.loop.run(40);
    allOver(world, jobs);
  }

  @Test
  void jobsRestrictedToOneZoneRestartAfterItsMachinesWereLost() {
    SimWorld world = world(337, 3);
    List<SimJob> jobs = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      SimJob job =
          world.users.job(String.format("j-0004%02d", i), 2, 1, i % 2 == 0 ? 0 : 120, false);
      job.zone = i < 2 ? "a" : "b";
      jobs.add(job);
      world.users.submit(i % 3, job);
    }
    world.loop.run(20);
    assertThat(world.invariants.starts).isEqualTo(8);
    for (SimWorker worker : new ArrayList<>(world.workers.values())) {
      if (worker.zone.equals("a")) {
        world.cloud.take(worker.name);
      }
    }
    world.loop.run(60);
    for (int i = 0; i < 2; i++) {
      assertThat(runner(world, jobs.get(i).id + "/1")).isNotNull();
    }
    fine(world);
  }

  @Test
  void higherPriorityStartsFirstAndAllJobsEndWithScarceCapacityAndSlowLinks() {
    SimWorld world = world(338, 3);
    world.net.slow = 50; // 1/8 s each way, at most 1/4 s.
    world.cloud.capacity = 3;
    List<SimJob> jobs = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      SimJob job = world.users.job(String.format("j-0004%02d", i), 4, 1, 8, true);
      job.guest = i % 2 == 0; // Jobs of the guest team have the lowest priority.
      jobs.add(job);
      world.users.submit(i % 3, job);
    }
    world.loop.run(30);
    SimJob service = world.users.job("j-000483", 2, 2, 0, true);
    world.users.submit(0, service);
    world.loop.run(25);
    assertThat(service.firstStart).isNotNaN();
    world.loop.run(120);
    for (SimJob job : jobs) {
      assertThat(world.users.stage(1, job.id)).isEqualTo("done");
    }
    fine(world);
  }
}
