package graderelay.state;

import static graderelay.sim.ScenarioSteps.other;
import static graderelay.sim.ScenarioSteps.refuse;
import static graderelay.sim.ScenarioSteps.running;
import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.runner;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import graderelay.sim.WorldShape;
import graderelay.wire.StateCodec;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Cancellations that a controller confirmed to a user take effect in time even if the leader can't
 * read them, because the key-value store is down or refuses the leader's requests. The confirming
 * controller may be partitioned, suspended or restarted meanwhile, and a controller that may lack
 * cancellations must not renew worker leases for long.
 */
class CancellationInOutageTest {
  private static final List<String> ONE_ZONE = List.of("a");

  private static SimWorld world(long seed, int size) {
    return WorldAssertions.world(seed, size);
  }

  private static SimWorld oneZone(long seed, int size) {
    return WorldAssertions.zoned(seed, size, "a");
  }

  @ParameterizedTest
  @CsvSource({
    "3, ab, 0.3, 0.4, 13", "3, ab, 0.3, 0.4, 90", "3, a, 0.3, 0.4, 60", "5, ab, 0.3, 0.4, 60",
    "5, a, 0.1, 0.2, 60", "3, ab, 0, 0.05, 60", "3, a, 1, 1.2, 60", "3, ab, 2, 2.1, 60",
    "3, a, 5, 5.1, 60", "5, ab, 9, 10, 60", "3, ab, 0.8, 10, 90", "1, a, 0, 0.05, 60"
  })
  void cancellationUnreadByLeaderTakesEffectDuringTotalOutage(
      int size, String zones, double cancelAfterS, double outageAfterS, double outageS) {
    SimWorld world = WorldAssertions.zoned(301, size, zones);
    SimJob[] jobs = running(world, 3);
    int leader = world.leader();
    refuse(world, leader, size > 1);
    world.loop.run(cancelAfterS);
    for (SimJob job : jobs) {
      world.users.cancel(other(world, leader), job);
    }
    world.loop.run(outageAfterS - cancelAfterS);
    world.store.outage(true);
    world.loop.run(14 - outageAfterS);
    refuse(world, leader, false);
    world.loop.run(outageS);
    world.store.outage(false);
    world.loop.run(30);
    fine(world);
  }

  @ParameterizedTest
  @CsvSource({"3, ab", "3, a", "5, ab", "5, a"})
  void tasksOfJobCancelledAtAnotherControllerStopDuringOutage(int size, String zones) {
    SimWorld world = WorldAssertions.zoned(302, size, zones);
    SimJob[] jobs = running(world, 2);
    int leader = world.leader();
    refuse(world, leader, true);
    world.users.cancel(other(world, leader), jobs[0]);
    world.loop.run(0.1);
    world.store.outage(true);
    world.loop.run(0.5);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    // All controllers are up and report what they confirmed, so only this job's tasks are stopped
    // and the leases of the others are renewed.
    world.loop.run(8);
    assertThat(world.workers.values())
        .noneMatch(worker -> worker.running().contains(jobs[0].id + "/0"));
    assertThat(runner(world, jobs[1].id + "/0")).isNotNull();
    world.loop.run(2 * SimWorld.CANCEL_S);
    assertThat(runner(world, jobs[1].id + "/1")).isNotNull();
    assertThat(world.invariants.trace()).noneMatch(line -> line.contains("lease over"));
    world.store.outage(false);
    refuse(world, leader, false);
    world.loop.run(20);
    assertThat(world.users.stage(0, jobs[0].id)).isEqualTo("cancelled");
    assertThat(world.users.stage(0, jobs[1].id)).isEqualTo("running");
    fine(world);
  }

  @ParameterizedTest
  @CsvSource({"a, 0.05, -1", "ab, 0.05, -1", "a, 0.05, 2", "ab, 1, 8", "a, 1, 0.2"})
  void cancellationTakesEffectInTimeWhenPeerCrashesRightAfterConfirmingIt(
      String zones, double crashAfterS, double restartAfterS) {
    SimWorld world = WorldAssertions.zoned(303, 3, zones);
    final SimJob[] jobs = running(world, 2);
    int leader = world.leader();
    final int peer = other(world, leader);
    refuse(world, (leader + 2) % 3, true); // The third must not read the cancellation either.
    world.loop.run(3);
    refuse(world, leader, true);
    // Partitioned, so that the peer can't report the cancellation to the leader beforehand.
    world.net.cut("c" + leader, "c" + peer);
    world.users.cancel(peer, jobs[0]);
    world.loop.run(crashAfterS);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    world.store.outage(true);
    world.crash(peer);
    world.net.heal("c" + leader, "c" + peer);
    if (restartAfterS > 0) {
      world.loop.after(restartAfterS, () -> world.start(peer));
    }
    world.loop.run(2 * SimWorld.CANCEL_S);
    world.store.outage(false);
    for (int i = 0; i < 3; i++) {
      refuse(world, i, false);
    }
    world.loop.run(20);
    fine(world);
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void suspendedControllerConfirmsNoCancellationThatLeaderCannotRead(int size) {
    SimWorld world = oneZone(304, size);
    final SimJob[] jobs = running(world, 2);
    int leader = world.leader();
    int suspended = other(world, leader);
    // The controller is up and serves users, but is partitioned from the leader.
    world.net.cut("c" + leader, "c" + suspended);
    world.loop.run(ElectionTiming.SUSPEND_AFTER_SILENCE_S + 3);
    for (int i = 0; i < size; i++) {
      refuse(world, i, i != leader && i != suspended);
    }
    world.loop.run(3);
    refuse(world, leader, true);
    int httpStatus =
        world
            .users
            .answer(suspended, "POST", "/v1/jobs/" + jobs[0].id + "/withdraw", null)
            .path("http")
            .asInt();
    assertThat(httpStatus).isEqualTo(503);
    world.loop.run(ElectionTiming.SUSPENSION_S - 8); // The leader relies on the suspension.
    assertThat(world.leader()).isEqualTo(leader);
    assertThat(world.invariants.trace()).noneMatch(line -> line.contains("lease over"));
    fine(world);
  }

  @Test
  void suspendedControllerDoesNotReportCancellationsOfOthers() {
    SimWorld world = oneZone(305, 3);
    final SimJob[] jobs = running(world, 1);
    int leader = world.leader();
    int suspended = other(world, leader);
    world.net.cut("c" + leader, "c" + suspended);
    world.loop.run(ElectionTiming.SUSPEND_AFTER_SILENCE_S + 3);
    // The third controller's cancellation commits, but neither it nor the leader learns of that.
    int third = (leader + 2) % 3;
    world.net.cut("c" + suspended, "c" + third);
    world.store.loseAnswer = transaction -> transaction.toString().contains("\"stop\":true");
    world.users.cancel(third, jobs[0]);
    refuse(world, leader, true);
    world.loop.run(0.02);
    refuse(world, third, true);
    world.loop.run(0.5);
    assertThat(
            world
                .users
                .answer(suspended, "GET", "/v1/jobs/" + jobs[0].id, null)
                .path("http")
                .asInt())
        .isEqualTo(503);
    fine(world);
  }

  @ParameterizedTest
  @CsvSource({"true, 0.1", "true, 5", "false, 0.1", "false, 5"})
  void leaseDelegateClaimsNoFresherCancellationsThanItsLeader(
      boolean cutLeaderZone, double outageAfterS) {
    SimWorld world = world(306, 5);
    final SimJob[] jobs = running(world, 3);
    int leader = world.leader();
    // The leader already relies on election pledges when the zone is cut off.
    refuse(world, leader, true);
    for (int i = 0; i < 5; i++) {
      refuse(world, i, i != other(world, leader));
    }
    world.net.cut("c" + leader, "c" + other(world, leader));
    for (SimJob job : jobs) {
      world.users.cancel(other(world, leader), job);
    }
    world.loop.run(outageAfterS);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    world.store.outage(true);
    world.net.cutZone((leader % 2 == 0) == cutLeaderZone ? "a" : "b", true);
    world.loop.run(2 * SimWorld.CANCEL_S);
    fine(world);
  }

  @Test
  void tasksOfCancelledJobStopWhileLeasesAreRenewedWithoutLeader() {
    SimWorld world = world(308, 3);
    SimJob[] jobs = running(world, 2);
    int leader = world.leader();
    refuse(world, leader, true);
    while (world.leader() == leader) {
      world.loop.run(0.001);
    }
    world.users.cancel(other(world, leader), jobs[0]);
    while (Double.isNaN(jobs[0].cancelAnswered)) {
      world.loop.run(0.001);
    }
    world.store.outage(true); // The leader has stepped down, and nobody can be elected now.
    world.loop.run(10);
    assertThat(world.leader()).isNegative();
    assertThat(world.workers.values())
        .noneMatch(worker -> worker.running().contains(jobs[0].id + "/0"));
    world.loop.run(2 * SimWorld.CANCEL_S);
    assertThat(runner(world, jobs[1].id + "/0")).isNotNull();
    assertThat(world.invariants.trace()).noneMatch(line -> line.contains("lease over"));
    fine(world);
  }

  @Test
  void cancellationFailsIfControllerIsSuspendedBeforeItCommits() {
    SimWorld world = oneZone(309, 3);
    final SimJob[] jobs = running(world, 1);
    int leader = world.leader();
    int suspended = other(world, leader);
    world.net.cut("c" + leader, "c" + suspended);
    world.net.cut("c" + suspended, "c" + (leader + 2) % 3);
    world.loop.run(0.5);
    world.store.delayS = 7;
    world.store.delay = transaction -> transaction.toString().contains("\"stop\":true");
    world.users.cancel(suspended, jobs[0]);
    world.loop.run(ElectionTiming.SUSPEND_AFTER_SILENCE_S + 2);
    assertThat(world.store.value(StateCodec.suspensionKey("m-" + suspended))).isNotNull();
    refuse(world, leader, true); // It has read the suspension, but no cancellation.
    world.loop.run(4);
    assertThat(world.store.value(StateCodec.jobKey(jobs[0].id)).path("stop").asBoolean()).isFalse();
    fine(world);
  }

  @Test
  void peerPledgeIncludesOwnCommitsBeforeTheyAreReadBack() {
    SimWorld world = world(310, 3);
    SimJob[] jobs = running(world, 1);
    int leader = world.leader();
    refuse(world, leader, true);
    world.store.loseAnswer =
        transaction -> {
          world.store.holdWatches |= transaction.toString().contains("\"stop\":true");
          return false;
        };
    world.users.cancel(other(world, leader), jobs[0]);
    world.loop.run(0.1);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    world.store.outage(true);
    world.loop.run(8);
    assertThat(world.workers.values()).allMatch(worker -> worker.running().isEmpty());
    fine(world);
  }

  /**
   * Starts an outage in which a peer that confirmed cancellations crashes and restarts. The peer
   * has lost them, so all that it can give the leader is its election pledge.
   */
  private static SimWorld outageWithRestartedPeer(int size, List<String> zones) {
    SimWorld world = new SimWorld(315, WorldShape.of(size).fleet(8, zones));
    world.loop.run(3);
    final SimJob[] jobs = running(world, 3);
    int leader = world.leader();
    int peer = other(world, leader);
    for (int i = 0; i < size; i++) {
      refuse(world, i, i != leader && i != peer);
    }
    world.loop.run(3);
    refuse(world, leader, true);
    world.net.cut("c" + leader, "c" + peer);
    for (SimJob job : jobs) {
      world.users.cancel(peer, job);
    }
    world.loop.run(0.1);
    assertThat(jobs[2].cancelAnswered).isNotNaN();
    world.store.outage(true);
    world.crash(peer);
    world.net.heal("c" + leader, "c" + peer);
    world.loop.run(1);
    world.start(peer);
    return world;
  }

  @ParameterizedTest
  @ValueSource(doubles = {5, 12, 20})
  void leaseDelegateOfLeaderOnElectionPledgesClaimsNoFresherCancellations(double cutAfterS) {
    SimWorld world = outageWithRestartedPeer(5, List.of("a", "b"));
    world.loop.run(cutAfterS);
    world.net.cutZone(world.leader() % 2 == 0 ? "b" : "a", true);
    world.loop.run(2 * SimWorld.CANCEL_S);
    fine(world);
  }

  @ParameterizedTest
  @CsvSource({"7, 11", "12, 8", "22, 11", "22, 6"})
  void restartedControllersDoNotExtendLeasesBeyondCancellationTime(
      double crashAfterS, double downtimeS) {
    SimWorld world = outageWithRestartedPeer(3, ONE_ZONE);
    world.loop.run(crashAfterS);
    world.crashAll();
    world.loop.run(downtimeS);
    world.startAll();
    world.loop.run(2 * SimWorld.CANCEL_S);
    fine(world);
  }

  @Test
  void leaderWhoseReadsGetNoAnswerLetsNoLeaseExpire() {
    SimWorld world = world(316, 3);
    running(world, 1);
    world.store.holdWatches = true;
    world.loop.run(SimWorld.CANCEL_S + 10);
    assertThat(world.invariants.trace()).noneMatch(line -> line.contains("lease over"));
    fine(world);
  }

  @Test
  void leaderWithStaleCancellationsRenewsNoLeases() {
    SimWorld world = world(307, 3);
    final SimJob[] jobs = running(world, 1);
    int leader = world.leader();
    int peer = other(world, leader);
    // The peer reaches only the store; the third controller grants the leader every pledge.
    world.isolate(peer, true);
    world.net.heal("c" + peer, "state");
    refuse(world, leader, true);
    refuse(world, (leader + 2) % 3, true);
    world.users.cancel(peer, jobs[0]);
    world.loop.run(0.2);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    world.loop.run(SimWorld.CANCEL_S + 10);
    assertThat(world.workers.values()).allMatch(worker -> worker.running().isEmpty());
    fine(world);
  }
}
