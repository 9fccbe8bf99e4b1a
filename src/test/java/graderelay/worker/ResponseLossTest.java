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

/** Machines whose heartbeats arrive while the responses to them are lost. */
class ResponseLossTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 5);
  }

  private static SimWorld world(long seed, WorldShape shape) {
    SimWorld world = new SimWorld(seed, shape);
    world.loop.run(4);
    assertThat(world.leader()).isNotNegative();
    return world;
  }

  @Test
  void machineThatLosesResponsesGetsNoNewTasksUntilItReceivesOne() {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    registerMachine(scheduler, "n-1", 0);
    // A worker that received the response would not have switched to another controller.
    scheduler.onHeartbeat(SchedulerFixture.heartbeat("n-1", 1, 2, 1), "m-1", 5.1);
    scheduler.onHeartbeatResponse("n-1", 5.1);
    scheduler.onJob(SchedulerFixture.array("j-1", 1), false, 5, 5.2, 5.2);
    SchedulerFixture.commitAll(scheduler, 10, 5.3);
    assertThat(SchedulerFixture.claimCount(scheduler, "n-1")).isZero();
    // It stays with that controller, so it has received the response relayed through it.
    scheduler.onHeartbeat(SchedulerFixture.heartbeat("n-1", 1, 3, 1), "m-1", 7.1);
    scheduler.onHeartbeatResponse("n-1", 7.1);
    SchedulerFixture.commitAll(scheduler, 11, 7.2);
    assertThat(SchedulerFixture.claimCount(scheduler, "n-1")).isEqualTo(1);
  }

  @Test
  void machineWhoseLeaseExpiresAlthoughItWasAnsweredLosesResponses() {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    registerMachine(scheduler, "n-1", 0);
    SchedulerFixture.exchangeHeartbeat(scheduler, "n-1", 2, 9, 4);
    scheduler.onJob(SchedulerFixture.array("j-1", 1), false, 5, 4.1, 4.1);
    SchedulerFixture.commitAll(scheduler, 10, 4.2);
    assertThat(SchedulerFixture.claimCount(scheduler, "n-1")).isZero();
  }

  @Test
  void servicesOfMachineThatLosesResponsesStartElsewhereAndItIsScaledIn() {
    SimWorld world = world(31);
    SimJob job = world.users.job("j-000060", 1, 3, 0, false);
    world.users.submit(0, job);
    world.users.submit(1, world.users.job("j-000061", 4, 3, 300, false));
    world.loop.run(20);
    String machine = runner(world, "j-000060/0");
    world.net.deaf(machine, true);
    world.loop.run(30);
    assertThat(world.cloud.names()).doesNotContain(machine);
    world.loop.run(15);
    assertThat(runner(world, "j-000060/0")).isNotEqualTo(machine);
    fine(world);
  }

  @Test
  void heartbeatWithinItsIntervalIsNoEvidenceOfResponseLoss() {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    SchedulerFixture.exchangeHeartbeat(scheduler, "n-1", 1, 1, 0);
    SchedulerFixture.exchangeHeartbeat(
        scheduler, "n-1", 1, 2,
        4.4); // The worker stays with the leader, so it received the response.
    scheduler.onJob(SchedulerFixture.array("j-1", 1), false, 5, 4.5, 4.5);
    SchedulerFixture.commitAll(scheduler, 10, 4.6);
    assertThat(SchedulerFixture.claimCount(scheduler, "n-1")).isEqualTo(1);
    assertThat(SchedulerFixture.logLines(scheduler))
        .noneMatch(line -> line.contains("does not receive heartbeat responses"));
  }

  @ParameterizedTest
  @CsvSource({"2, 12, 3", "2.5, 16, 5", "4, 22, 3", "4, 22, 5", "6, 30, 5"})
  void onlyMachinesThatLoseResponsesAreDetectedAtEveryHeartbeatInterval(
      double heartbeatIntervalS, double leaseS, int size) {
    SimWorld world = world(51, WorldShape.of(size).workers(heartbeatIntervalS, leaseS));
    world.users.submit(0, world.users.job("j-000100", 2, 2, 0, false));
    world.users.submit(1, world.users.job("j-000101", 4, 3, 300, false));
    world.loop.run(30 + 5 * heartbeatIntervalS);
    assertThat(world.invariants.trace()).noneMatch(line -> line.contains("lease over"));
    int starts = world.invariants.starts;
    world.loop.run(40); // No task may be moved and no machine scaled in.
    assertThat(world.invariants.starts).isEqualTo(starts);
    String machine = runner(world, "j-000100/0");
    world.net.deaf(machine, true);
    // The worker waits five seconds for each controller that it tries in vain.
    world.loop.run(leaseS + 15);
    assertThat(world.cloud.names()).doesNotContain(machine);
    world.loop.run(15);
    assertThat(runner(world, "j-000100/0")).isNotEqualTo(machine);
    fine(world);
  }

  @Test
  void machineThatDoesNotListAnAttemptLaunchedByResponseLosesResponses() {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    SchedulerFixture.exchangeHeartbeat(scheduler, "n-1", 1, 1, 0);
    scheduler.onJob(SchedulerFixture.array("j-1", 1), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(scheduler, 10, 0.2);
    // The direct command was never sent, so the response to the next heartbeat carries the launch.
    for (Action action : SchedulerFixture.pendingActions(scheduler)) {
      if (action instanceof Action.SendCommands c) {
        scheduler.onCommandDelivery(c, CommandDeliveryOutcome.NEVER_LEFT, null, 0.3);
      }
    }
    SchedulerFixture.exchangeHeartbeat(scheduler, "n-1", 1, 2, 4);
    assertThat(scheduler.respond(SchedulerFixture.heartbeat("n-1", 1, 2, 1), 4).commands())
        .hasSize(1);
    SchedulerFixture.exchangeHeartbeat(scheduler, "n-1", 1, 3, 8);
    assertThat(SchedulerFixture.logLines(scheduler))
        .anyMatch(line -> line.contains("does not receive heartbeat responses"));
  }

  @Test
  void machineThatKeepsTheOldTermAfterResponseLosesResponses() {
    Scheduler scheduler = SchedulerFixture.scheduler(7);
    for (int seq = 1; seq <= 2; seq++) {
      scheduler.onHeartbeat(SchedulerFixture.heartbeat("n-1", 1, seq, 6), seq * 4);
      scheduler.onHeartbeatResponse("n-1", seq * 4);
    }
    assertThat(SchedulerFixture.logLines(scheduler))
        .anyMatch(line -> line.contains("does not receive heartbeat responses"));
  }

  @Test
  void workerWhoseHeartbeatWasLostIsNotReportedAsLosingResponses() {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    SchedulerFixture.exchangeHeartbeat(scheduler, "n-1", 1, 1, 0);
    // Its second heartbeat was lost, so it sent the third one to another controller.
    scheduler.onHeartbeat(SchedulerFixture.heartbeat("n-1", 1, 3, 1), "m-2", 9);
    scheduler.onHeartbeatResponse("n-1", 9);
    assertThat(SchedulerFixture.logLines(scheduler))
        .noneMatch(line -> line.contains("does not receive heartbeat responses"));
  }
}
