package graderelay.worker;

import static graderelay.core.SchedulerFixture.registerMachine;
import static graderelay.sim.ScenarioSteps.allOver;
import static graderelay.sim.ScenarioSteps.arrays;
import static graderelay.sim.ScenarioSteps.checkin;
import static graderelay.sim.ScenarioSteps.other;
import static graderelay.sim.ScenarioSteps.refuse;
import static graderelay.sim.ScenarioSteps.running;
import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.runner;
import static graderelay.sim.WorldAssertions.secondsToNextStart;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.core.Action;
import graderelay.core.CommandDeliveryOutcome;
import graderelay.core.Scheduler;
import graderelay.core.SchedulerFixture;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Delayed heartbeats, duplicates of heartbeats and delayed transactions. */
class LateMessagesTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 5);
  }

  private static SimWorld world(long seed, int size) {
    return WorldAssertions.world(seed, size);
  }

  @Test
  void duplicateOfOldHeartbeatDoesNotRenewTheLease() {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    registerMachine(scheduler, "n-1", 0);
    SchedulerFixture.exchangeHeartbeat(scheduler, "n-1", 1, 2, 2);
    for (double time = 3; time < 2 + SimWorld.LEASE_S; time += 1) {
      assertThat(scheduler.onHeartbeat(SchedulerFixture.heartbeat("n-1", 1, 1, 1), time)).isFalse();
    }
    scheduler.tick(2 + SimWorld.LEASE_S + 1);
    assertThat(SchedulerFixture.logLines(scheduler))
        .anyMatch(line -> line.contains("lease of n-1 has expired"));
  }

  @Test
  void heartbeatOvertakenByCommandResponseStillRenewsTheLease() {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    registerMachine(scheduler, "n-1", 0);
    // The worker's response to a direct command overtakes the heartbeat it sent before.
    var probe = new Action.SendCommands("n-1", "n-1:9000", 1, 1, List.of());
    scheduler.onCommandDelivery(
        probe, CommandDeliveryOutcome.EXECUTED, SchedulerFixture.heartbeat("n-1", 1, 3, 1), 4);
    scheduler.onHeartbeat(
        SchedulerFixture.heartbeat("n-1", 1, 2, 1), 4.1); // It is answered, which renews the lease.
    scheduler.tick(SimWorld.LEASE_S + 3);
    assertThat(SchedulerFixture.logLines(scheduler))
        .noneMatch(line -> line.contains("lease of n-1 has expired"));
    scheduler.tick(4 + SimWorld.LEASE_S + 1);
    assertThat(SchedulerFixture.logLines(scheduler))
        .anyMatch(line -> line.contains("lease of n-1 has expired"));
  }

  @Test
  void afterFailoverOldHeartbeatOfLostMachineAttractsNoClaims() {
    Scheduler scheduler = SchedulerFixture.scheduler(7);
    scheduler.onHeartbeat(
        SchedulerFixture.heartbeat("n-1", 1, 40, 6), 0.5); // Sent under the previous leader.
    scheduler.onJob(SchedulerFixture.array("j-1", 1), false, 5, 1, 1);
    SchedulerFixture.commitAll(scheduler, 10, 1.1);
    assertThat(SchedulerFixture.claimCount(scheduler, "n-1")).isZero();
    scheduler.onHeartbeat(
        SchedulerFixture.heartbeat("n-1", 1, 41, 7), 1.5); // The worker has received the new term.
    SchedulerFixture.commitAll(scheduler, 11, 1.6);
    assertThat(SchedulerFixture.claimCount(scheduler, "n-1")).isEqualTo(1);
  }

  @Test
  void duplicateHeartbeatsDelayedByTwoLeasesAreHarmless() {
    SimWorld world = world(32);
    world.net.copies = 1;
    world.net.copyDelayS = 2 * SimWorld.LEASE_S;
    SimJob service = world.users.job("j-000062", 3, 1, 0, false);
    SimJob array = world.users.job("j-000063", 8, 2, 6, true);
    world.users.submit(0, service);
    world.users.submit(1, array);
    world.loop.run(25);
    world.crash(world.leader());
    world.loop.run(40);
    assertThat(world.users.stage(world.leader(), array.id)).isEqualTo("done");
    assertThat(world.users.stage(world.leader(), service.id)).isEqualTo("running");
    fine(world);
  }

  @Test
  void duplicateHeartbeatAtPeerIsRedirectedAndNotRelayed() {
    SimWorld world = world(40);
    int peer = (world.leader() + 1) % world.size;
    byte[] heartbeat = checkin(5);
    assertThat(world.users.answer(peer, "POST", "/checkin", heartbeat).path("http").asInt())
        .isEqualTo(421);
    assertThat(world.users.answer(peer, "POST", "/checkin", heartbeat).path("http").asInt())
        .isEqualTo(421);
    // A new heartbeat shows that the worker can't reach the leader: it is relayed and answered.
    assertThat(world.users.answer(peer, "POST", "/checkin", checkin(6)).path("http").asInt())
        .isEqualTo(200);
  }

  @Test
  void duplicateHeartbeatsOfPartitionedMachineDoNotDelayItsTasksRestart() {
    SimWorld world = world(38);
    world.net.copies = 1;
    world.net.copyDelayS = 2 * SimWorld.LEASE_S;
    world.users.submit(0, world.users.job("j-000067", 1, 4, 300, false));
    world.loop.run(30);
    world.cutOff(runner(world, "j-000067/0"));
    // The lease, and the time to scale out a machine and to start the task again.
    assertThat(secondsToNextStart(world)).isBetween(SimWorld.LEASE_S, SimWorld.LEASE_S + 10);
    fine(world);
  }

  @ParameterizedTest
  @CsvSource({"crash, 3", "crash, 8", "handover, 2", "crash, 0.3"})
  void heartbeatsDelayedUntilTheNextLeaderNeitherEndAttemptsNorRenewLeases(
      String change, double afterDeliveryS) {
    SimWorld world = world(341, 3);
    SimJob[] jobs = running(world, 2);
    world.net.keepHeartbeats();
    world.loop.run(5);
    world.users.cancel(0, jobs[0]);
    String lostMachine = runner(world, jobs[1].id + "/0");
    world.loop.run(3);
    world.cloud.take(lostMachine);
    int leader = world.leader();
    if (change.equals("crash")) {
      world.crash(leader);
    } else {
      refuse(world, leader, true);
    }
    double until = world.loop.now() + 20;
    while ((world.leader() < 0 || world.leader() == leader) && world.loop.now() < until) {
      world.loop.run(0.01);
    }
    world.net.deliverKept("c0:80", "c1:80", "c2:80");
    world.loop.run(afterDeliveryS);
    refuse(world, leader, false);
    world.loop.run(40);
    assertThat(world.users.stage(world.leader(), jobs[0].id)).isEqualTo("cancelled");
    assertThat(runner(world, jobs[1].id + "/0")).isNotEqualTo(lostMachine);
    fine(world);
  }

  @Test
  void heartbeatDelayedUntilTheNewLeaderHasActedEndsNoAttempts() {
    SimWorld world = world(342, 3);
    final SimJob[] jobs = running(world, 2);
    SimJob array = world.users.job("j-000484", 3, 1, 25, false);
    world.users.submit(0, array);
    world.loop.run(8);
    world.net.alwaysPooled = true;
    int leader = world.leader();
    List<String> machines = new ArrayList<>(world.workers.keySet());
    for (String machine : machines) {
      world.net.cut("c" + other(world, leader), machine);
      world.net.cut("c" + (leader + 2) % 3, machine);
    }
    world.crash(leader);
    world.loop.run(9);
    world.users.cancel(other(world, leader), jobs[0]);
    world.loop.run(1);
    for (String machine : machines) {
      world.net.heal("c" + other(world, leader), machine);
      world.net.heal("c" + (leader + 2) % 3, machine);
    }
    world.loop.run(80);
    assertThat(world.users.stage(other(world, leader), array.id)).isEqualTo("done");
    fine(world);
  }

  @Test
  void duplicatesFromAnEarlierSessionOrAttemptEndNoAttempts() {
    SimWorld world = world(343, 3);
    running(world, 2);
    SimJob array = world.users.job("j-000485", 3, 2, 20, false);
    world.net.copies = 0.7;
    world.net.copyDelayS = 2.5 * SimWorld.LEASE_S;
    world.users.submit(0, array);
    world.loop.run(10);
    List<String> machines = new ArrayList<>(world.workers.keySet());
    machines.forEach(world::cutOff);
    world.loop.run(SimWorld.LEASE_S + 4); // Their sessions and attempts end.
    for (String machine : machines) {
      for (int i = 0; i < 3; i++) {
        world.net.heal("c" + i, machine);
      }
    }
    world.loop.run(120);
    assertThat(world.users.stage(1, array.id)).isEqualTo("done");
    fine(world);
  }

  @ParameterizedTest
  @ValueSource(longs = {344, 345, 346, 347, 348, 349})
  void transactionsCommittedAfterNewerOnesOfTheSameLeaderAreHarmless(long seed) {
    SimWorld world = world(seed, 3);
    world.users.lookClosely();
    final List<SimJob> jobs = arrays(world, 24, 1, 4);
    world.store.delay =
        time -> {
          world.store.delayS = 2 + world.random.nextDouble() * 10;
          return world.random.nextInt(4) == 0;
        };
    world.loop.run(40);
    world.store.delay = time -> false;
    world.loop.run(80);
    allOver(world, jobs);
  }
}
