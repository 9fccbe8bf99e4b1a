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

/** Jobs that are cancelled before or in an outage of the store. */
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
  void cancellationTheLeaderCouldNotReadIsCarriedOutThroughTotalOutage(
      int size, String zones, double cancelAfter, double outageAfter, double length) {
    SimWorld w = WorldAssertions.zoned(301, size, zones);
    SimJob[] jobs = running(w, 3);
    int leader = w.leader();
    refuse(w, leader, size > 1);
    w.loop.run(cancelAfter);
    for (SimJob j : jobs) {
      w.users.cancel(other(w, leader), j);
    }
    w.loop.run(outageAfter - cancelAfter);
    w.store.outage(true);
    w.loop.run(14 - outageAfter);
    refuse(w, leader, false);
    w.loop.run(length);
    w.store.outage(false);
    w.loop.run(30);
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"3, ab", "3, a", "5, ab", "5, a"})
  void tasksOfJobCancelledAtAnotherControllerStopWithinTheOutage(int size, String zones) {
    SimWorld w = WorldAssertions.zoned(302, size, zones);
    SimJob[] jobs = running(w, 2);
    int leader = w.leader();
    refuse(w, leader, true);
    w.users.cancel(other(w, leader), jobs[0]);
    w.loop.run(0.1);
    w.store.outage(true);
    w.loop.run(0.5);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    // Everybody alive vouches for what it told: the job's tasks end, the others' go on.
    w.loop.run(8);
    assertThat(w.workers.values()).noneMatch(x -> x.running().contains(jobs[0].id + "/0"));
    assertThat(runner(w, jobs[1].id + "/0")).isNotNull();
    w.loop.run(2 * SimWorld.CANCEL_S);
    assertThat(runner(w, jobs[1].id + "/1")).isNotNull();
    assertThat(w.invariants.trace()).noneMatch(x -> x.contains("lease over"));
    w.store.outage(false);
    refuse(w, leader, false);
    w.loop.run(20);
    assertThat(w.users.stage(0, jobs[0].id)).isEqualTo("cancelled");
    assertThat(w.users.stage(0, jobs[1].id)).isEqualTo("running");
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"a, 0.05, -1", "ab, 0.05, -1", "a, 0.05, 2", "ab, 1, 8", "a, 1, 0.2"})
  void peerThatEndsRightAfterConfirmingTakesItsKnowledgeWithIt(
      String zones, double endsAfter, double backAfter) {
    SimWorld w = WorldAssertions.zoned(303, 3, zones);
    final SimJob[] jobs = running(w, 2);
    int leader = w.leader();
    final int peer = other(w, leader);
    refuse(w, (leader + 2) % 3, true); // So that the third does not read of it either.
    w.loop.run(3);
    refuse(w, leader, true);
    // The leader and the peer don't hear each other, so that it can't be told beforehand.
    w.net.cut("c" + leader, "c" + peer);
    w.users.cancel(peer, jobs[0]);
    w.loop.run(endsAfter);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    w.store.outage(true);
    w.crash(peer);
    w.net.heal("c" + leader, "c" + peer);
    if (backAfter > 0) {
      w.loop.after(backAfter, () -> w.start(peer));
    }
    w.loop.run(2 * SimWorld.CANCEL_S);
    w.store.outage(false);
    for (int i = 0; i < 3; i++) {
      refuse(w, i, false);
    }
    w.loop.run(20);
    fine(w);
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void suspendedMemberConfirmsNoCancellationTheLeaderCannotRead(int size) {
    SimWorld w = oneZone(304, size);
    final SimJob[] jobs = running(w, 2);
    int leader = w.leader();
    int suspended = other(w, leader);
    // It is up and serves users, but the leader does not hear it.
    w.net.cut("c" + leader, "c" + suspended);
    w.loop.run(ElectionTiming.SUSPEND_AFTER_SILENCE_S + 3);
    for (int i = 0; i < size; i++) {
      refuse(w, i, i != leader && i != suspended);
    }
    w.loop.run(3);
    refuse(w, leader, true);
    int told =
        w.users
            .answer(suspended, "POST", "/v1/jobs/" + jobs[0].id + "/withdraw", null)
            .path("http")
            .asInt();
    assertThat(told).isEqualTo(503);
    w.loop.run(ElectionTiming.SUSPENSION_S - 8); // The leader counts on the suspension meanwhile.
    assertThat(w.leader()).isEqualTo(leader);
    assertThat(w.invariants.trace()).noneMatch(x -> x.contains("lease over"));
    fine(w);
  }

  @Test
  void suspendedMemberDoesNotRepeatCancellationsOfOthers() {
    SimWorld w = oneZone(305, 3);
    final SimJob[] jobs = running(w, 1);
    int leader = w.leader();
    int suspended = other(w, leader);
    w.net.cut("c" + leader, "c" + suspended);
    w.loop.run(ElectionTiming.SUSPEND_AFTER_SILENCE_S + 3);
    // The third records it, but hears of that as little as the leader does.
    int third = (leader + 2) % 3;
    w.net.cut("c" + suspended, "c" + third);
    w.store.loseAnswer = t -> t.toString().contains("\"stop\":true");
    w.users.cancel(third, jobs[0]);
    refuse(w, leader, true);
    w.loop.run(0.02);
    refuse(w, third, true);
    w.loop.run(0.5);
    assertThat(
            w.users.answer(suspended, "GET", "/v1/jobs/" + jobs[0].id, null).path("http").asInt())
        .isEqualTo(503);
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"true, 0.1", "true, 5", "false, 0.1", "false, 5"})
  void leaseDelegateKnowsNoMoreThanItsLeader(boolean leadersZone, double outageAfter) {
    SimWorld w = world(306, 5);
    final SimJob[] jobs = running(w, 3);
    int leader = w.leader();
    // The leader lives on election pledges already when the zone is cut.
    refuse(w, leader, true);
    for (int i = 0; i < 5; i++) {
      refuse(w, i, i != other(w, leader));
    }
    w.net.cut("c" + leader, "c" + other(w, leader));
    for (SimJob j : jobs) {
      w.users.cancel(other(w, leader), j);
    }
    w.loop.run(outageAfter);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    w.store.outage(true);
    w.net.cutZone((leader % 2 == 0) == leadersZone ? "a" : "b", true);
    w.loop.run(2 * SimWorld.CANCEL_S);
    fine(w);
  }

  @Test
  void leasesKeptWithoutLeaderEndTasksOfCancelledJob() {
    SimWorld w = world(308, 3);
    SimJob[] jobs = running(w, 2);
    int leader = w.leader();
    refuse(w, leader, true);
    while (w.leader() == leader) {
      w.loop.run(0.001);
    }
    w.users.cancel(other(w, leader), jobs[0]);
    while (Double.isNaN(jobs[0].cancelAnswered)) {
      w.loop.run(0.001);
    }
    w.store.outage(true); // Handed over, and nobody can take it any more.
    w.loop.run(10);
    assertThat(w.leader()).isNegative();
    assertThat(w.workers.values()).noneMatch(x -> x.running().contains(jobs[0].id + "/0"));
    w.loop.run(2 * SimWorld.CANCEL_S);
    assertThat(runner(w, jobs[1].id + "/0")).isNotNull();
    assertThat(w.invariants.trace()).noneMatch(x -> x.contains("lease over"));
    fine(w);
  }

  @Test
  void suspensionWrittenDuringCancellationMakesItFail() {
    SimWorld w = oneZone(309, 3);
    final SimJob[] jobs = running(w, 1);
    int leader = w.leader();
    int suspended = other(w, leader);
    w.net.cut("c" + leader, "c" + suspended);
    w.net.cut("c" + suspended, "c" + (leader + 2) % 3);
    w.loop.run(0.5);
    w.store.delayS = 7;
    w.store.delay = t -> t.toString().contains("\"stop\":true");
    w.users.cancel(suspended, jobs[0]);
    w.loop.run(ElectionTiming.SUSPEND_AFTER_SILENCE_S + 2);
    assertThat(w.store.value(StateCodec.suspensionKey("m-" + suspended))).isNotNull();
    refuse(w, leader, true); // It has seen the suspension stand, and no stop.
    w.loop.run(4);
    assertThat(w.store.value(StateCodec.jobKey(jobs[0].id)).path("stop").asBoolean()).isFalse();
    fine(w);
  }

  @Test
  void peerPledgeIncludesItsOwnCommitsBeforeItHasReadThem() {
    SimWorld w = world(310, 3);
    SimJob[] jobs = running(w, 1);
    int leader = w.leader();
    refuse(w, leader, true);
    w.store.loseAnswer =
        t -> {
          w.store.holdWatches |= t.toString().contains("\"stop\":true");
          return false;
        };
    w.users.cancel(other(w, leader), jobs[0]);
    w.loop.run(0.1);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    w.store.outage(true);
    w.loop.run(8);
    assertThat(w.workers.values()).allMatch(x -> x.running().isEmpty());
    fine(w);
  }

  /** A peer confirms, ends, and comes back in the outage: its pledge is all that it can give. */
  private static SimWorld withForgetfulPeer(int size, List<String> zones) {
    SimWorld w = new SimWorld(315, WorldShape.of(size).fleet(8, zones));
    w.loop.run(3);
    final SimJob[] jobs = running(w, 3);
    int leader = w.leader();
    int peer = other(w, leader);
    for (int i = 0; i < size; i++) {
      refuse(w, i, i != leader && i != peer);
    }
    w.loop.run(3);
    refuse(w, leader, true);
    w.net.cut("c" + leader, "c" + peer);
    for (SimJob j : jobs) {
      w.users.cancel(peer, j);
    }
    w.loop.run(0.1);
    assertThat(jobs[2].cancelAnswered).isNotNaN();
    w.store.outage(true);
    w.crash(peer);
    w.net.heal("c" + leader, "c" + peer);
    w.loop.run(1);
    w.start(peer);
    return w;
  }

  @ParameterizedTest
  @ValueSource(doubles = {5, 12, 20})
  void leaseDelegateOfLeaderOnElectionPledgesKnowsNoMoreThanIt(double cutAfter) {
    SimWorld w = withForgetfulPeer(5, List.of("a", "b"));
    w.loop.run(cutAfter);
    w.net.cutZone(w.leader() % 2 == 0 ? "b" : "a", true);
    w.loop.run(2 * SimWorld.CANCEL_S);
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"7, 11", "12, 8", "22, 11", "22, 6"})
  void processesThatKnowNothingAddNoTimeToWhatTheLastLeaderLeft(double until, double away) {
    SimWorld w = withForgetfulPeer(3, ONE_ZONE);
    w.loop.run(until);
    w.crashAll();
    w.loop.run(away);
    w.startAll();
    w.loop.run(2 * SimWorld.CANCEL_S);
    fine(w);
  }

  @Test
  void leaderWhoseReadsGetNoAnswerAsksItsPeersAndCostsNoLease() {
    SimWorld w = world(316, 3);
    running(w, 1);
    w.store.holdWatches = true;
    w.loop.run(SimWorld.CANCEL_S + 10);
    assertThat(w.invariants.trace()).noneMatch(x -> x.contains("lease over"));
    fine(w);
  }

  @Test
  void leaderThatKnowsTooLittleGivesNoAnswerThatRenewsLeases() {
    SimWorld w = world(307, 3);
    final SimJob[] jobs = running(w, 1);
    int leader = w.leader();
    int peer = other(w, leader);
    // The peer hears nobody; the third pledges all that is asked of it.
    w.isolate(peer, true);
    w.net.heal("c" + peer, "state");
    refuse(w, leader, true);
    refuse(w, (leader + 2) % 3, true);
    w.users.cancel(peer, jobs[0]);
    w.loop.run(0.2);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    w.loop.run(SimWorld.CANCEL_S + 10);
    assertThat(w.workers.values()).allMatch(x -> x.running().isEmpty());
    fine(w);
  }
}
