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

/** Heartbeats, copies of heartbeats and transactions that arrive late. */
class LateMessagesTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 5);
  }

  private static SimWorld world(long seed, int size) {
    return WorldAssertions.world(seed, size);
  }

  @Test
  void oldHeartbeatCopyExtendsNoLease() {
    Scheduler s = SchedulerFixture.scheduler(1);
    registerMachine(s, "n-1", 0);
    SchedulerFixture.exchangeHeartbeat(s, "n-1", 1, 2, 2);
    for (double t = 3; t < 2 + SimWorld.LEASE_S; t += 1) {
      assertThat(s.onHeartbeat(SchedulerFixture.heartbeat("n-1", 1, 1, 1), t)).isFalse();
    }
    s.tick(2 + SimWorld.LEASE_S + 1);
    assertThat(SchedulerFixture.logLines(s)).anyMatch(n -> n.contains("lease of n-1 is over"));
  }

  @Test
  void answerToHeartbeatOvertakenByDirectCommandStillCountsForTheLease() {
    Scheduler s = SchedulerFixture.scheduler(1);
    registerMachine(s, "n-1", 0);
    // The worker's answer to a direct command, sent after its heartbeat, comes first.
    var probe = new Action.SendCommands("n-1", "n-1:9000", 1, 1, List.of());
    s.onCommandDelivery(
        probe, CommandDeliveryOutcome.EXECUTED, SchedulerFixture.heartbeat("n-1", 1, 3, 1), 4);
    s.onHeartbeat(
        SchedulerFixture.heartbeat("n-1", 1, 2, 1), 4.1); // Answered, so the lease goes on.
    s.tick(SimWorld.LEASE_S + 3);
    assertThat(SchedulerFixture.logLines(s)).noneMatch(n -> n.contains("lease of n-1 is over"));
    s.tick(4 + SimWorld.LEASE_S + 1);
    assertThat(SchedulerFixture.logLines(s)).anyMatch(n -> n.contains("lease of n-1 is over"));
  }

  @Test
  void afterFailoverHeartbeatCopyFromLostMachineMakesItNoTarget() {
    Scheduler s = SchedulerFixture.scheduler(7);
    s.onHeartbeat(
        SchedulerFixture.heartbeat("n-1", 1, 40, 6), 0.5); // From the earlier leader's time.
    s.onJob(SchedulerFixture.array("j-1", 1), false, 5, 1, 1);
    SchedulerFixture.commitAll(s, 10, 1.1);
    assertThat(SchedulerFixture.claimCount(s, "n-1")).isZero();
    s.onHeartbeat(
        SchedulerFixture.heartbeat("n-1", 1, 41, 7), 1.5); // It has heard of the new term.
    SchedulerFixture.commitAll(s, 11, 1.6);
    assertThat(SchedulerFixture.claimCount(s, "n-1")).isEqualTo(1);
  }

  @Test
  void heartbeatCopiesForTwoLeasesBreakNothing() {
    SimWorld w = world(32);
    w.net.copies = 1;
    w.net.copyDelayS = 2 * SimWorld.LEASE_S;
    SimJob service = w.users.job("j-000062", 3, 1, 0, false);
    SimJob array = w.users.job("j-000063", 8, 2, 6, true);
    w.users.submit(0, service);
    w.users.submit(1, array);
    w.loop.run(25);
    w.crash(w.leader());
    w.loop.run(40);
    assertThat(w.users.stage(w.leader(), array.id)).isEqualTo("done");
    assertThat(w.users.stage(w.leader(), service.id)).isEqualTo("running");
    fine(w);
  }

  @Test
  void copyAtPeerIsNoSignThatItsWorkerCannotReachTheLeader() {
    SimWorld w = world(40);
    int peer = (w.leader() + 1) % w.size;
    byte[] heartbeat = checkin(5);
    assertThat(w.users.answer(peer, "POST", "/checkin", heartbeat).path("http").asInt())
        .isEqualTo(421);
    assertThat(w.users.answer(peer, "POST", "/checkin", heartbeat).path("http").asInt())
        .isEqualTo(421);
    // The worker itself is back, so it could not: its heartbeat is passed on and answered.
    assertThat(w.users.answer(peer, "POST", "/checkin", checkin(6)).path("http").asInt())
        .isEqualTo(200);
  }

  @Test
  void heartbeatCopiesOfCutOffMachineKeepItsTasksFromNobody() {
    SimWorld w = world(38);
    w.net.copies = 1;
    w.net.copyDelayS = 2 * SimWorld.LEASE_S;
    w.users.submit(0, w.users.job("j-000067", 1, 4, 300, false));
    w.loop.run(30);
    w.cutOff(runner(w, "j-000067/0"));
    // A lease, and what it takes to scale out a machine and to start again.
    assertThat(secondsToNextStart(w)).isBetween(SimWorld.LEASE_S, SimWorld.LEASE_S + 10);
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"crash, 3", "crash, 8", "handover, 2", "crash, 0.3"})
  void heartbeatsKeptForTheNextLeaderProveAndRenewNothing(String how, double meanwhile) {
    SimWorld w = world(341, 3);
    SimJob[] jobs = running(w, 2);
    w.net.keepHeartbeats();
    w.loop.run(5);
    w.users.cancel(0, jobs[0]);
    String gone = runner(w, jobs[1].id + "/0");
    w.loop.run(3);
    w.cloud.take(gone);
    int leader = w.leader();
    if (how.equals("crash")) {
      w.crash(leader);
    } else {
      refuse(w, leader, true);
    }
    double until = w.loop.now() + 20;
    while ((w.leader() < 0 || w.leader() == leader) && w.loop.now() < until) {
      w.loop.run(0.01);
    }
    w.net.deliverKept("c0:80", "c1:80", "c2:80");
    w.loop.run(meanwhile);
    refuse(w, leader, false);
    w.loop.run(40);
    assertThat(w.users.stage(w.leader(), jobs[0].id)).isEqualTo("cancelled");
    assertThat(runner(w, jobs[1].id + "/0")).isNotEqualTo(gone);
    fine(w);
  }

  @Test
  void heartbeatHeldUpUntilTheNewLeaderHasActedProvesNothing() {
    SimWorld w = world(342, 3);
    final SimJob[] jobs = running(w, 2);
    SimJob array = w.users.job("j-000484", 3, 1, 25, false);
    w.users.submit(0, array);
    w.loop.run(8);
    w.net.alwaysPooled = true;
    int leader = w.leader();
    List<String> machines = new ArrayList<>(w.workers.keySet());
    for (String m : machines) {
      w.net.cut("c" + other(w, leader), m);
      w.net.cut("c" + (leader + 2) % 3, m);
    }
    w.crash(leader);
    w.loop.run(9);
    w.users.cancel(other(w, leader), jobs[0]);
    w.loop.run(1);
    for (String m : machines) {
      w.net.heal("c" + other(w, leader), m);
      w.net.heal("c" + (leader + 2) % 3, m);
    }
    w.loop.run(80);
    assertThat(w.users.stage(other(w, leader), array.id)).isEqualTo("done");
    fine(w);
  }

  @Test
  void copiesFromAnEarlierSessionOrAttemptProveNothing() {
    SimWorld w = world(343, 3);
    running(w, 2);
    SimJob array = w.users.job("j-000485", 3, 2, 20, false);
    w.net.copies = 0.7;
    w.net.copyDelayS = 2.5 * SimWorld.LEASE_S;
    w.users.submit(0, array);
    w.loop.run(10);
    List<String> machines = new ArrayList<>(w.workers.keySet());
    machines.forEach(w::cutOff);
    w.loop.run(SimWorld.LEASE_S + 4); // Their sessions end, and so do their attempts.
    for (String m : machines) {
      for (int i = 0; i < 3; i++) {
        w.net.heal("c" + i, m);
      }
    }
    w.loop.run(120);
    assertThat(w.users.stage(1, array.id)).isEqualTo("done");
    fine(w);
  }

  @ParameterizedTest
  @ValueSource(longs = {344, 345, 346, 347, 348, 349})
  void transactionsCarriedOutLateAfterNewerOnesOfTheSameLeaderBreakNothing(long seed) {
    SimWorld w = world(seed, 3);
    w.users.lookClosely();
    final List<SimJob> jobs = arrays(w, 24, 1, 4);
    w.store.delay =
        t -> {
          w.store.delayS = 2 + w.random.nextDouble() * 10;
          return w.random.nextInt(4) == 0;
        };
    w.loop.run(40);
    w.store.delay = t -> false;
    w.loop.run(80);
    allOver(w, jobs);
  }
}
