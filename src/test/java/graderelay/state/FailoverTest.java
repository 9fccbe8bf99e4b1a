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

/** What a new leader adopts, and when it starts a task anew. */
class FailoverTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 3);
  }

  @Test
  void failoverAdoptsWhatRunsAndStartsNothingTwice() {
    SimWorld w = world(7);
    SimJob j = w.users.job("j-000007", 4, 1, 0, false);
    w.users.submit(0, j);
    w.loop.run(15);
    int starts = w.invariants.starts;
    w.crash(w.leader());
    w.loop.run(30);
    assertThat(w.invariants.starts).isEqualTo(starts);
    fine(w);
  }

  @Test
  void missingTaskIsRequeuedOnlyAfterItsWorkersLease() {
    SimWorld w = world(8);
    SimJob j = w.users.job("j-000008", 1, 4, 300, false);
    w.users.submit(0, j);
    w.loop.run(15);
    String machine = runner(w, "j-000008/0");
    int leader = w.leader();
    w.crash(leader);
    w.loop.after(3, () -> w.start(leader));
    w.cutOff(machine);
    assertThat(secondsToNextStart(w)).isBetween(SimWorld.LEASE_S, 40.0);
    fine(w);
  }

  @Test
  void silentMachineWithServicesIsScaledInAndItsReplicasStartElsewhereBeforeItsLeaseEnds() {
    SimWorld w = world(8);
    SimJob j = w.users.job("j-000020", 1, 3, 0, false);
    w.users.submit(0, w.users.job("j-000021", 4, 3, 300, false));
    w.users.submit(0, j);
    w.loop.run(20);
    String machine = runner(w, "j-000020/0");
    w.cutOff(machine);
    w.loop.run(SimWorld.LEASE_S - 2);
    assertThat(w.cloud.names()).doesNotContain(machine); // Deleted, which proves the task gone.
    w.loop.run(15);
    assertThat(w.users.stage(0, j.id)).isEqualTo("running");
    assertThat(runner(w, "j-000020/0")).isNotEqualTo(machine);
    fine(w);
  }

  @Test
  void sessionShownOnlyByDirectCommandsHasItsWholeLease() {
    // A worker that reaches no controller but is reached by the leader: the leader sees a new
    // session in its answers and launches there, and must wait for that session's own lease.
    Scheduler s = SchedulerFixture.scheduler(1);
    SchedulerFixture.exchangeHeartbeat(s, "n-1", 1, 1, 0.0);
    s.onJob(SchedulerFixture.array("j-1", 1), false, 5, 0, 0);
    SchedulerFixture.commitAll(s, 10, 0.1);
    SchedulerFixture.refuseDirectCommands(s, SchedulerFixture.heartbeat("n-1", 2, 9, 1), 11);
    SchedulerFixture.commitAll(s, 11, 11.1); // The first attempt ends with its session.
    SchedulerFixture.commitAll(s, 12, 11.2); // The second is claimed on the new one.
    assertThat(SchedulerFixture.claimCount(s, "n-1")).isEqualTo(1);
    s.tick(14); // A lease counted from the last answer would be over.
    assertThat(SchedulerFixture.logLines(s)).noneMatch(n -> n.contains("lease of n-1 is over"));
    s.tick(11 + SimWorld.LEASE_S + 1);
    assertThat(SchedulerFixture.logLines(s)).anyMatch(n -> n.contains("lease of n-1 is over"));
  }

  @Test
  void leaderReachedOnlyByItsWorkersFallsSilentBeforeAnotherMayFollow() {
    SimWorld w = world(24);
    SimJob j = w.users.job("j-000050", 3, 1, 0, false);
    w.users.submit(0, j);
    w.loop.run(15);
    int leader = w.leader();
    w.net.cut("c" + leader, "state");
    w.net.cut("c" + leader, "c" + (leader + 1) % 3);
    w.net.cut("c" + leader, "c" + (leader + 2) % 3);
    w.loop.run(4);
    assertThat(w.controllers[leader].leader()).isFalse();
    w.loop.run(36);
    w.net.heal("c" + leader, "state");
    w.loop.run(10);
    assertThat(w.leader()).isNotNegative();
    fine(w);
  }

  @Test
  void heartbeatUnderAnOlderTermProvesNothingAboutAnEarlierLeadersClaim() {
    Scheduler s = SchedulerFixture.loadingScheduler(2);
    s.onJob(SchedulerFixture.array("j-1", 1), false, 3, 0, 0);
    s.onTaskBatch(new TaskBatchKey("j-1", 0), SchedulerFixture.claimedRecord("n-1", 1), 4, 0);
    s.loaded(0);
    s.onHeartbeat(
        SchedulerFixture.heartbeat("n-1", 1, 5, 1),
        1); // The earlier leader's launch may be under way.
    SchedulerFixture.commitAll(s, 10, 1.1);
    assertThat(SchedulerFixture.claimCount(s, "n-1")).isEqualTo(1);
    assertThat(SchedulerFixture.committedWrites(s)).isZero();
    s.onHeartbeat(
        SchedulerFixture.heartbeat("n-1", 1, 6, 2), 2); // Now that launch would be refused.
    SchedulerFixture.commitAll(s, 11, 2.1);
    assertThat(SchedulerFixture.committedWrites(s)).isPositive();
  }
}
