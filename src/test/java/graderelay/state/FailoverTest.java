package graderelay.state;

import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.runner;
import static graderelay.sim.WorldAssertions.secondsToNextStart;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.core.Scheduler;
import graderelay.core.SchedulerFixture;
import graderelay.core.TaskBatchKey;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import org.junit.jupiter.api.Test;

/** What a new leader adopts from the one before, and when it starts a task again. */
class FailoverTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 3);
  }

  @Test
  void newLeaderAdoptsRunningTasksWithoutStartingThemAgain() {
    SimWorld world = world(7);
    SimJob job = world.users.job("j-000007", 4, 1, 0, false);
    world.users.submit(0, job);
    world.loop.run(15);
    int starts = world.invariants.starts;
    world.crash(world.leader());
    world.loop.run(30);
    assertThat(world.invariants.starts).isEqualTo(starts);
    fine(world);
  }

  @Test
  void taskOfUnreachableWorkerIsRestartedOnlyAfterItsWorkerLease() {
    SimWorld world = world(8);
    SimJob job = world.users.job("j-000008", 1, 4, 300, false);
    world.users.submit(0, job);
    world.loop.run(15);
    String machine = runner(world, "j-000008/0");
    int leader = world.leader();
    world.crash(leader);
    world.loop.after(3, () -> world.start(leader));
    world.cutOff(machine);
    assertThat(secondsToNextStart(world)).isBetween(SimWorld.LEASE_S, 40.0);
    fine(world);
  }

  @Test
  void unreachableMachineIsScaledInAndItsServiceStartsElsewhereBeforeItsLeaseEnds() {
    SimWorld world = world(8);
    SimJob job = world.users.job("j-000020", 1, 3, 0, false);
    world.users.submit(0, world.users.job("j-000021", 4, 3, 300, false));
    world.users.submit(0, job);
    world.loop.run(20);
    String machine = runner(world, "j-000020/0");
    world.cutOff(machine);
    world.loop.run(SimWorld.LEASE_S - 2);
    assertThat(world.cloud.names())
        .doesNotContain(machine); // Deleted, so the task can't run any more.
    world.loop.run(15);
    assertThat(world.users.stage(0, job.id)).isEqualTo("running");
    assertThat(runner(world, "j-000020/0")).isNotEqualTo(machine);
    fine(world);
  }

  @Test
  void workerSessionKnownOnlyFromDirectCommandAnswersKeepsItsFullLease() {
    // The worker can't reach any controller, but the leader reaches it. The leader learns of a new
    // worker session only from answers to direct commands and launches a task in it, so it has to
    // wait for a full lease of that session before it considers the lease over.
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    SchedulerFixture.exchangeHeartbeat(scheduler, "n-1", 1, 1, 0.0);
    scheduler.onJob(SchedulerFixture.array("j-1", 1), false, 5, 0, 0);
    SchedulerFixture.commitAll(scheduler, 10, 0.1);
    SchedulerFixture.refuseDirectCommands(
        scheduler, SchedulerFixture.heartbeat("n-1", 2, 9, 1), 11);
    SchedulerFixture.commitAll(scheduler, 11, 11.1); // The first attempt ends with the old session.
    SchedulerFixture.commitAll(
        scheduler, 12, 11.2); // The second attempt is claimed in the new session.
    assertThat(SchedulerFixture.claimCount(scheduler, "n-1")).isEqualTo(1);
    scheduler.tick(14); // A lease counted from the last answered heartbeat would be over.
    assertThat(SchedulerFixture.logLines(scheduler))
        .noneMatch(line -> line.contains("lease of n-1 has expired"));
    scheduler.tick(11 + SimWorld.LEASE_S + 1);
    assertThat(SchedulerFixture.logLines(scheduler))
        .anyMatch(line -> line.contains("lease of n-1 has expired"));
  }

  @Test
  void leaderCutOffFromStoreAndPeersStepsDownBeforeAnotherCanBeElected() {
    SimWorld world = world(24);
    SimJob job = world.users.job("j-000050", 3, 1, 0, false);
    world.users.submit(0, job);
    world.loop.run(15);
    int leader = world.leader();
    world.net.cut("c" + leader, "state");
    world.net.cut("c" + leader, "c" + (leader + 1) % 3);
    world.net.cut("c" + leader, "c" + (leader + 2) % 3);
    world.loop.run(4);
    assertThat(world.controllers[leader].isLeader()).isFalse();
    world.loop.run(36);
    world.net.heal("c" + leader, "state");
    world.loop.run(10);
    assertThat(world.leader()).isNotNegative();
    fine(world);
  }

  @Test
  void heartbeatOfOlderTermDoesNotReleaseClaimOfEarlierLeader() {
    Scheduler scheduler = SchedulerFixture.loadingScheduler(2);
    scheduler.onJob(SchedulerFixture.array("j-1", 1), false, 3, 0, 0);
    scheduler.onTaskBatch(
        new TaskBatchKey("j-1", 0), SchedulerFixture.claimedRecord("n-1", 1), 4, 0);
    scheduler.onRecordsLoaded(0);
    // The launch command of the earlier leader may still arrive.
    scheduler.onHeartbeat(SchedulerFixture.heartbeat("n-1", 1, 5, 1), 1);
    SchedulerFixture.commitAll(scheduler, 10, 1.1);
    assertThat(SchedulerFixture.claimCount(scheduler, "n-1")).isEqualTo(1);
    assertThat(SchedulerFixture.committedWrites(scheduler)).isZero();
    // From now on the worker refuses that launch command.
    scheduler.onHeartbeat(SchedulerFixture.heartbeat("n-1", 1, 6, 2), 2);
    SchedulerFixture.commitAll(scheduler, 11, 2.1);
    assertThat(SchedulerFixture.committedWrites(scheduler)).isPositive();
  }
}
