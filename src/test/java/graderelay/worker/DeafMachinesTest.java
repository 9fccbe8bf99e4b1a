package graderelay.worker;

import static graderelay.core.SchedulerFixture.registerMachine;
import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.runner;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.core.Action;
import graderelay.core.CommandDeliveryOutcome;
import graderelay.core.Scheduler;
import graderelay.core.SchedulerFixture;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import graderelay.sim.WorldShape;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Machines whose heartbeats arrive and that hear nothing. */
class DeafMachinesTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 5);
  }

  private static SimWorld world(long seed, WorldShape shape) {
    SimWorld w = new SimWorld(seed, shape);
    w.loop.run(4);
    assertThat(w.leader()).isNotNegative();
    return w;
  }

  @Test
  void deafMachineGetsNoNewTasksUntilItHasShownThatItHears() {
    Scheduler s = SchedulerFixture.scheduler(1);
    registerMachine(s, "n-1", 0);
    // A worker that took our answer would have stayed with us.
    s.onHeartbeat(SchedulerFixture.heartbeat("n-1", 1, 2, 1), "m-1", 5.1);
    s.onHeartbeatResponse("n-1", 5.1);
    s.onJob(SchedulerFixture.array("j-1", 1), false, 5, 5.2, 5.2);
    SchedulerFixture.commitAll(s, 10, 5.3);
    assertThat(SchedulerFixture.claimCount(s, "n-1")).isZero();
    // It stays there: the answer that went back that way has arrived.
    s.onHeartbeat(SchedulerFixture.heartbeat("n-1", 1, 3, 1), "m-1", 7.1);
    s.onHeartbeatResponse("n-1", 7.1);
    SchedulerFixture.commitAll(s, 11, 7.2);
    assertThat(SchedulerFixture.claimCount(s, "n-1")).isEqualTo(1);
  }

  @Test
  void machineWhoseLeaseEndsAlthoughItWasAnsweredIsDeaf() {
    Scheduler s = SchedulerFixture.scheduler(1);
    registerMachine(s, "n-1", 0);
    SchedulerFixture.exchangeHeartbeat(s, "n-1", 2, 9, 4);
    s.onJob(SchedulerFixture.array("j-1", 1), false, 5, 4.1, 4.1);
    SchedulerFixture.commitAll(s, 10, 4.2);
    assertThat(SchedulerFixture.claimCount(s, "n-1")).isZero();
  }

  @Test
  void servicesOfDeafMachineStartElsewhereAndItIsScaledIn() {
    SimWorld w = world(31);
    SimJob j = w.users.job("j-000060", 1, 3, 0, false);
    w.users.submit(0, j);
    w.users.submit(1, w.users.job("j-000061", 4, 3, 300, false));
    w.loop.run(20);
    String machine = runner(w, "j-000060/0");
    w.net.deaf(machine, true);
    w.loop.run(30);
    assertThat(w.cloud.names()).doesNotContain(machine);
    w.loop.run(15);
    assertThat(runner(w, "j-000060/0")).isNotEqualTo(machine);
    fine(w);
  }

  @Test
  void heartbeatAsLateAsItsIntervalAllowsIsNoSignOfDeafness() {
    Scheduler s = SchedulerFixture.scheduler(1);
    SchedulerFixture.exchangeHeartbeat(s, "n-1", 1, 1, 0);
    SchedulerFixture.exchangeHeartbeat(
        s, "n-1", 1, 2, 4.4); // Its worker stays with us: it took our answer.
    s.onJob(SchedulerFixture.array("j-1", 1), false, 5, 4.5, 4.5);
    SchedulerFixture.commitAll(s, 10, 4.6);
    assertThat(SchedulerFixture.claimCount(s, "n-1")).isEqualTo(1);
    assertThat(SchedulerFixture.logLines(s)).noneMatch(n -> n.contains("does not hear us"));
  }

  @ParameterizedTest
  @CsvSource({"2, 12, 3", "2.5, 16, 5", "4, 22, 3", "4, 22, 5", "6, 30, 5"})
  void atEveryIntervalOnlyDeafMachinesAreFoundDeaf(double reportS, double leaseS, int size) {
    SimWorld w = world(51, WorldShape.of(size).workers(reportS, leaseS));
    w.users.submit(0, w.users.job("j-000100", 2, 2, 0, false));
    w.users.submit(1, w.users.job("j-000101", 4, 3, 300, false));
    w.loop.run(30 + 5 * reportS);
    assertThat(w.invariants.trace()).noneMatch(n -> n.contains("lease over"));
    int starts = w.invariants.starts;
    w.loop.run(40); // Quiet: nothing is moved, nothing scaled in.
    assertThat(w.invariants.starts).isEqualTo(starts);
    String machine = runner(w, "j-000100/0");
    w.net.deaf(machine, true);
    // Each controller that it tries in vain takes it five seconds.
    w.loop.run(leaseS + 15);
    assertThat(w.cloud.names()).doesNotContain(machine);
    w.loop.run(15);
    assertThat(runner(w, "j-000100/0")).isNotEqualTo(machine);
    fine(w);
  }

  @Test
  void machineThatDoesNotShowWhatOurAnswerStartedIsDeaf() {
    Scheduler s = SchedulerFixture.scheduler(1);
    SchedulerFixture.exchangeHeartbeat(s, "n-1", 1, 1, 0);
    s.onJob(SchedulerFixture.array("j-1", 1), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(s, 10, 0.2);
    // The direct command never left, so the answer to the next heartbeat carries the start.
    for (Action a : SchedulerFixture.pendingActions(s)) {
      if (a instanceof Action.SendCommands c) {
        s.onCommandDelivery(c, CommandDeliveryOutcome.NEVER_LEFT, null, 0.3);
      }
    }
    SchedulerFixture.exchangeHeartbeat(s, "n-1", 1, 2, 4);
    assertThat(s.commandsFor(SchedulerFixture.heartbeat("n-1", 1, 2, 1), 4)).hasSize(1);
    SchedulerFixture.exchangeHeartbeat(s, "n-1", 1, 3, 8);
    assertThat(SchedulerFixture.logLines(s)).anyMatch(n -> n.contains("does not hear us"));
  }

  @Test
  void machineThatStillHasTheOldTermAfterOurAnswerIsDeaf() {
    Scheduler s = SchedulerFixture.scheduler(7);
    for (int seq = 1; seq <= 2; seq++) {
      s.onHeartbeat(SchedulerFixture.heartbeat("n-1", 1, seq, 6), seq * 4);
      s.onHeartbeatResponse("n-1", seq * 4);
    }
    assertThat(SchedulerFixture.logLines(s)).anyMatch(n -> n.contains("does not hear us"));
  }

  @Test
  void workerWhoseHeartbeatWasLostIsNotTakenForDeaf() {
    Scheduler s = SchedulerFixture.scheduler(1);
    SchedulerFixture.exchangeHeartbeat(s, "n-1", 1, 1, 0);
    // Its second heartbeat found nobody, so it went on to another controller with the third.
    s.onHeartbeat(SchedulerFixture.heartbeat("n-1", 1, 3, 1), "m-2", 9);
    s.onHeartbeatResponse("n-1", 9);
    assertThat(SchedulerFixture.logLines(s)).noneMatch(n -> n.contains("does not hear us"));
  }
}
