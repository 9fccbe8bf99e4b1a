package graderelay;

import static graderelay.WorldAssertions.fine;
import static graderelay.WorldAssertions.runner;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.constants.Constants;
import graderelay.sim.Rules;
import graderelay.sim.SimWorker;
import graderelay.sim.SimWorld;
import graderelay.wire.Json;
import graderelay.wire.StateCodec;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Short stories of two troubles that meet; the rules are judged all along. */
class MeetingsTest {
  private static final List<String> ONE_ZONE = List.of("a");

  private static SimWorld world(long seed, int size) {
    return WorldAssertions.world(seed, size);
  }

  private static SimWorld oneZone(long seed, int size) {
    return zoned(seed, size, "a");
  }

  /** A world whose zones have these letters for names. */
  private static SimWorld zoned(long seed, int size, String zones) {
    List<String> names = List.of(zones.split("(?<=.)"));
    SimWorld w = new SimWorld(seed, SimWorld.Shape.of(size).fleet(8, names));
    w.loop.run(3);
    return w;
  }

  /** Services that run when the story begins. */
  private static Rules.Known[] running(SimWorld w, int jobs) {
    Rules.Known[] all = new Rules.Known[jobs];
    for (int i = 0; i < jobs; i++) {
      all[i] = w.job(String.format("j-0003%02d", i), 2, 1, 0, false);
      w.submit(i % w.size, all[i]);
    }
    w.loop.run(15);
    assertThat(w.rules.starts).isEqualTo(2 * jobs);
    return all;
  }

  private static void refuse(SimWorld w, int node, boolean on) {
    w.refused[node][0] = on;
  }

  private static int other(SimWorld w, int node) {
    return (node + 1) % w.size;
  }

  // ---------------------------------------------------------------- cancelled, then an outage

  @ParameterizedTest
  @CsvSource({
    "3, ab, 0.3, 0.4, 13", "3, ab, 0.3, 0.4, 90", "3, a, 0.3, 0.4, 60", "5, ab, 0.3, 0.4, 60",
    "5, a, 0.1, 0.2, 60", "3, ab, 0, 0.05, 60", "3, a, 1, 1.2, 60", "3, ab, 2, 2.1, 60",
    "3, a, 5, 5.1, 60", "5, ab, 9, 10, 60", "3, ab, 0.8, 10, 90", "1, a, 0, 0.05, 60"
  })
  void aCancellationThatTheOwnerCouldNotReadIsCarriedOutThroughAnOutageForAll(
      int size, String zones, double cancelAfter, double outageAfter, double length) {
    SimWorld w = zoned(301, size, zones);
    Rules.Known[] jobs = running(w, 3);
    int owner = w.owner();
    refuse(w, owner, size > 1);
    w.loop.run(cancelAfter);
    for (Rules.Known j : jobs) {
      w.cancel(other(w, owner), j);
    }
    w.loop.run(outageAfter - cancelAfter);
    w.state.outage(true);
    w.loop.run(14 - outageAfter);
    refuse(w, owner, false);
    w.loop.run(length);
    w.state.outage(false);
    w.loop.run(30);
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"3, ab", "3, a", "5, ab", "5, a"})
  void theTasksOfAJobCancelledAtAnotherControllerAreStoppedWithinTheOutage(int size, String zones) {
    SimWorld w = zoned(302, size, zones);
    Rules.Known[] jobs = running(w, 2);
    int owner = w.owner();
    refuse(w, owner, true);
    w.cancel(other(w, owner), jobs[0]);
    w.loop.run(0.1);
    w.state.outage(true);
    w.loop.run(0.5);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    // Everybody alive vouches for what it told: the job's tasks end, the others' go on.
    w.loop.run(8);
    assertThat(w.workers.values()).noneMatch(x -> x.running().contains(jobs[0].id + "/0"));
    assertThat(runner(w, jobs[1].id + "/0")).isNotNull();
    w.loop.run(2 * SimWorld.CANCEL_S);
    assertThat(runner(w, jobs[1].id + "/1")).isNotNull();
    assertThat(w.rules.trace()).noneMatch(x -> x.contains("lease over"));
    w.state.outage(false);
    refuse(w, owner, false);
    w.loop.run(20);
    assertThat(w.stage(0, jobs[0].id)).isEqualTo("cancelled");
    assertThat(w.stage(0, jobs[1].id)).isEqualTo("running");
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"a, 0.05, -1", "ab, 0.05, -1", "a, 0.05, 2", "ab, 1, 8", "a, 1, 0.2"})
  void aGatewayThatEndsRightAfterConfirmingTakesItsKnowledgeWithIt(
      String zones, double endsAfter, double backAfter) {
    SimWorld w = zoned(303, 3, zones);
    Rules.Known[] jobs = running(w, 2);
    int owner = w.owner();
    int gateway = other(w, owner);
    refuse(w, (owner + 2) % 3, true); // So that the third does not read of it either.
    w.loop.run(3);
    refuse(w, owner, true);
    // The owner and the gateway don't hear each other, so that it can't be told beforehand.
    w.net.cut("c" + owner, "c" + gateway);
    w.cancel(gateway, jobs[0]);
    w.loop.run(endsAfter);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    w.state.outage(true);
    w.crash(gateway);
    w.net.heal("c" + owner, "c" + gateway);
    if (backAfter > 0) {
      w.loop.after(backAfter, () -> w.start(gateway));
    }
    w.loop.run(2 * SimWorld.CANCEL_S);
    w.state.outage(false);
    for (int i = 0; i < 3; i++) {
      refuse(w, i, false);
    }
    w.loop.run(20);
    fine(w);
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void aBarredControllerConfirmsNoCancellationThatTheOwnerCannotRead(int size) {
    SimWorld w = oneZone(304, size);
    Rules.Known[] jobs = running(w, 2);
    int owner = w.owner();
    int barred = other(w, owner);
    // It is up and serves users, but the owner does not hear it.
    w.net.cut("c" + owner, "c" + barred);
    w.loop.run(Constants.BAR_AFTER_S + 3);
    for (int i = 0; i < size; i++) {
      refuse(w, i, i != owner && i != barred);
    }
    w.loop.run(3);
    refuse(w, owner, true);
    int told =
        w.answer(barred, "POST", "/v1/jobs/" + jobs[0].id + "/withdraw", null).path("http").asInt();
    assertThat(told).isEqualTo(503);
    w.loop.run(Constants.BAR_S - 8); // The owner counts on the bar meanwhile.
    assertThat(w.owner()).isEqualTo(owner);
    assertThat(w.rules.trace()).noneMatch(x -> x.contains("lease over"));
    fine(w);
  }

  @Test
  void aBarredControllerDoesNotRepeatWhatOthersHaveCancelled() {
    SimWorld w = oneZone(305, 3);
    Rules.Known[] jobs = running(w, 1);
    int owner = w.owner();
    int barred = other(w, owner);
    w.net.cut("c" + owner, "c" + barred);
    w.loop.run(Constants.BAR_AFTER_S + 3);
    // The third records it, but hears of that as little as the owner does.
    int third = (owner + 2) % 3;
    w.net.cut("c" + barred, "c" + third);
    w.state.loseAnswer = t -> t.toString().contains("\"stop\":true");
    w.cancel(third, jobs[0]);
    refuse(w, owner, true);
    w.loop.run(0.02);
    refuse(w, third, true);
    w.loop.run(0.5);
    assertThat(w.answer(barred, "GET", "/v1/jobs/" + jobs[0].id, null).path("http").asInt())
        .isEqualTo(503);
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"true, 0.1", "true, 5", "false, 0.1", "false, 5"})
  void aDeputyKnowsNoMoreThanTheOwnerThatMadeItOne(boolean ownersZone, double outageAfter) {
    SimWorld w = world(306, 5);
    Rules.Known[] jobs = running(w, 3);
    int owner = w.owner();
    // The owner lives on promises already when the zone is cut.
    refuse(w, owner, true);
    for (int i = 0; i < 5; i++) {
      refuse(w, i, i != other(w, owner));
    }
    w.net.cut("c" + owner, "c" + other(w, owner));
    for (Rules.Known j : jobs) {
      w.cancel(other(w, owner), j);
    }
    w.loop.run(outageAfter);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    w.state.outage(true);
    w.net.cutZone((owner % 2 == 0) == ownersZone ? "a" : "b", true);
    w.loop.run(2 * SimWorld.CANCEL_S);
    fine(w);
  }

  @Test
  void leasesKeptWithoutAnOwnerEndTheTasksOfACancelledJob() {
    SimWorld w = world(308, 3);
    Rules.Known[] jobs = running(w, 2);
    int owner = w.owner();
    refuse(w, owner, true);
    while (w.owner() == owner) {
      w.loop.run(0.001);
    }
    w.cancel(other(w, owner), jobs[0]);
    while (Double.isNaN(jobs[0].cancelAnswered)) {
      w.loop.run(0.001);
    }
    w.state.outage(true); // Handed over, and nobody can take it any more.
    w.loop.run(10);
    assertThat(w.owner()).isNegative();
    assertThat(w.workers.values()).noneMatch(x -> x.running().contains(jobs[0].id + "/0"));
    w.loop.run(2 * SimWorld.CANCEL_S);
    assertThat(runner(w, jobs[1].id + "/0")).isNotNull();
    assertThat(w.rules.trace()).noneMatch(x -> x.contains("lease over"));
    fine(w);
  }

  @Test
  void aBarThatIsPutUpWhileAStopIsUnderWayMakesItFail() {
    SimWorld w = oneZone(309, 3);
    Rules.Known[] jobs = running(w, 1);
    int owner = w.owner();
    int barred = other(w, owner);
    w.net.cut("c" + owner, "c" + barred);
    w.net.cut("c" + barred, "c" + (owner + 2) % 3);
    w.loop.run(0.5);
    w.state.delayS = 7;
    w.state.delay = t -> t.toString().contains("\"stop\":true");
    w.cancel(barred, jobs[0]);
    w.loop.run(Constants.BAR_AFTER_S + 2);
    assertThat(w.state.value(StateCodec.barKey("m-" + barred))).isNotNull();
    refuse(w, owner, true); // It has seen the bar stand, and no stop.
    w.loop.run(4);
    assertThat(w.state.value(StateCodec.jobKey(jobs[0].id)).path("stop").asBoolean()).isFalse();
    fine(w);
  }

  @Test
  void whatAGatewayHasJustCommittedIsInItsWordAlsoIfItHasNotReadItYet() {
    SimWorld w = world(310, 3);
    Rules.Known[] jobs = running(w, 1);
    int owner = w.owner();
    refuse(w, owner, true);
    w.state.loseAnswer =
        t -> {
          w.state.holdWatches |= t.toString().contains("\"stop\":true");
          return false;
        };
    w.cancel(other(w, owner), jobs[0]);
    w.loop.run(0.1);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    w.state.outage(true);
    w.loop.run(8);
    assertThat(w.workers.values()).allMatch(x -> x.running().isEmpty());
    fine(w);
  }

  /**
   * A gateway confirms, ends, and comes back in the outage: its promise is all that it can give.
   */
  private static SimWorld withAForgetfulGateway(int size, List<String> zones) {
    SimWorld w = new SimWorld(315, SimWorld.Shape.of(size).fleet(8, zones));
    w.loop.run(3);
    Rules.Known[] jobs = running(w, 3);
    int owner = w.owner();
    int gateway = other(w, owner);
    for (int i = 0; i < size; i++) {
      refuse(w, i, i != owner && i != gateway);
    }
    w.loop.run(3);
    refuse(w, owner, true);
    w.net.cut("c" + owner, "c" + gateway);
    for (Rules.Known j : jobs) {
      w.cancel(gateway, j);
    }
    w.loop.run(0.1);
    assertThat(jobs[2].cancelAnswered).isNotNaN();
    w.state.outage(true);
    w.crash(gateway);
    w.net.heal("c" + owner, "c" + gateway);
    w.loop.run(1);
    w.start(gateway);
    return w;
  }

  @ParameterizedTest
  @ValueSource(doubles = {5, 12, 20})
  void aDeputyMadeByAnOwnerThatLivesOnPromisesKnowsNoMoreThanIt(double cutAfter) {
    SimWorld w = withAForgetfulGateway(5, List.of("a", "b"));
    w.loop.run(cutAfter);
    w.net.cutZone(w.owner() % 2 == 0 ? "b" : "a", true);
    w.loop.run(2 * SimWorld.CANCEL_S);
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"7, 11", "12, 8", "22, 11", "22, 6"})
  void processesThatKnowNothingAddNoTimeToWhatTheLastOwnerLeft(double until, double away) {
    SimWorld w = withAForgetfulGateway(3, ONE_ZONE);
    w.loop.run(until);
    w.crashAll();
    w.loop.run(away);
    w.startAll();
    w.loop.run(2 * SimWorld.CANCEL_S);
    fine(w);
  }

  @Test
  void anOwnerWhoseReadsGetNoAnswerAsksItsPeersAndCostsNoLease() {
    SimWorld w = world(316, 3);
    running(w, 1);
    w.state.holdWatches = true;
    w.loop.run(SimWorld.CANCEL_S + 10);
    assertThat(w.rules.trace()).noneMatch(x -> x.contains("lease over"));
    fine(w);
  }

  @Test
  void anOwnerThatKnowsTooLittleGivesNoAnswerThatRenews() {
    SimWorld w = world(307, 3);
    Rules.Known[] jobs = running(w, 1);
    int owner = w.owner();
    int gateway = other(w, owner);
    // The gateway hears nobody; the third promises all that is asked of it.
    w.isolate(gateway, true);
    w.net.heal("c" + gateway, "state");
    refuse(w, owner, true);
    refuse(w, (owner + 2) % 3, true);
    w.cancel(gateway, jobs[0]);
    w.loop.run(0.2);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    w.loop.run(SimWorld.CANCEL_S + 10);
    assertThat(w.workers.values()).allMatch(x -> x.running().isEmpty());
    fine(w);
  }

  // ---------------------------------------------------------------- what users are told

  /** Arrays that come over some seconds, of which every third is cancelled at once. */
  private static List<Rules.Known> arrays(SimWorld w, int n, double everyS, double runS) {
    List<Rules.Known> all = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      Rules.Known j = w.job(String.format("j-0004%02d", i), 1 + i % 3, 1, runS, true);
      all.add(j);
      int node = i % w.size;
      w.loop.after(i * everyS, () -> w.submit(node, j));
      if (i % 3 == 2) {
        w.loop.after(i * everyS + 0.05 + i % 4 * 0.9, () -> w.cancel(other(w, node), j));
      }
    }
    return all;
  }

  /** Every job has ended, as its user asked, and every node says so. */
  private static void allOver(SimWorld w, List<Rules.Known> jobs) {
    for (Rules.Known j : jobs) {
      for (int i = 0; i < w.size; i++) {
        String stage = w.stage(i, j.id);
        assertThat(stage).as(j.id).isIn(j.cancelAsked ? "cancelled" : "done", "done");
      }
    }
    fine(w);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"nothing", "refused", "lostAnswers", "slowState", "ownerEnds", "handover", "late"})
  void noNodeAnswersAnythingOlderHoweverSoonItIsAsked(String trouble) {
    SimWorld w = world(311, 3);
    w.lookClosely();
    List<Rules.Known> jobs = arrays(w, 24, 0.7, 2);
    w.loop.run(6);
    int owner = w.owner();
    switch (trouble) {
      case "refused" -> refuse(w, other(w, owner), true);
      case "lostAnswers" -> w.state.loseAnswer = t -> w.random.nextInt(3) == 0;
      case "slowState" -> w.state.slowS = 0.7;
      case "ownerEnds" -> {
        w.crash(owner);
        w.loop.after(0.3, () -> w.start(owner));
      }
      case "handover" -> refuse(w, owner, true);
      case "late" -> {
        w.state.delayS = 4;
        w.state.delay = t -> w.random.nextInt(4) == 0;
      }
      default -> {}
    }
    w.loop.run(12);
    for (int i = 0; i < 3; i++) {
      refuse(w, i, false);
    }
    w.state.loseAnswer = t -> false;
    w.state.delay = t -> false;
    w.state.slowS = 0;
    w.loop.run(60);
    allOver(w, jobs);
  }

  @ParameterizedTest
  @CsvSource({"0, false", "0.002, false", "0.01, false", "0.5, false", "0, true"})
  void aCancellationThatMeetsTheEndOfTheLastTaskIsAnsweredAlikeByAll(
      double after, boolean ownerEnds) {
    SimWorld w = world(312, 3);
    w.lookClosely();
    List<Rules.Known> jobs = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      Rules.Known j = w.job(String.format("j-0004%02d", i), 1 + i % 2, 1, 2 + i % 5, true);
      jobs.add(j);
      w.submit(i % 3, j);
    }
    w.rules.onComplete =
        j ->
            w.loop.after(
                after,
                () -> {
                  w.cancel(w.random.nextInt(3), j);
                  w.resubmit(w.random.nextInt(3), j);
                  w.poll(w.random.nextInt(3), j);
                  if (ownerEnds && w.owner() >= 0) {
                    int owner = w.owner();
                    w.crash(owner);
                    w.loop.after(0.2, () -> w.start(owner));
                  }
                });
    w.loop.run(90);
    allOver(w, jobs);
  }

  @Test
  void aTransactionWhoseAnswerIsLostCountsForItsSenderAsForAllWhoReadIt() {
    SimWorld w = world(313, 3);
    w.lookClosely();
    w.state.loseAnswer = t -> w.random.nextInt(2) == 0;
    List<Rules.Known> jobs = arrays(w, 20, 1, 3);
    w.loop.run(40);
    w.state.loseAnswer = t -> false;
    w.loop.run(60);
    allOver(w, jobs);
  }

  @Test
  void whatCannotRunOrLacksAFieldIsRefusedByEveryNodeInEveryState() {
    SimWorld w = world(314, 3);
    running(w, 1);
    byte[] tooBig = Json.write(w.body(w.job("j-000491", 1, 1, 2, true)).put("cpus", 512.0));
    ObjectNode lacks = w.body(w.job("j-000492", 1, 1, 2, true));
    lacks.remove("mem_gb");
    Runnable[] states = {
      () -> {},
      () -> refuse(w, w.owner(), true),
      () -> w.state.outage(true),
      () -> {
        w.crashAll();
        w.startAll();
      },
      () -> w.cloud.noTypes = true
    };
    for (Runnable state : states) {
      state.run();
      for (int k = 0; k < 4; k++) {
        w.loop.run(0.3);
        for (int i = 0; i < 3; i++) {
          assertThat(w.answer(i, "POST", "/v1/jobs", tooBig).path("http").asInt()).isIn(422, 503);
          assertThat(w.answer(i, "POST", "/v1/jobs", Json.write(lacks)).path("http").asInt())
              .isIn(400, 503);
        }
      }
    }
    w.state.outage(false);
    w.cloud.noTypes = false;
    for (int i = 0; i < 3; i++) {
      refuse(w, i, false);
    }
    w.loop.run(20);
    assertThat(w.answer(1, "GET", "/v1/jobs/j-000491", null).path("http").asInt()).isEqualTo(404);
    fine(w);
  }

  // ---------------------------------------------------------------- changes of owner

  @ParameterizedTest
  @CsvSource({
    "crash, 0",
    "crash, 2",
    "crash, 4",
    "handover, 0.5",
    "handover, 1",
    "handover, 1.5",
    "isolate, 0.5",
    "isolate, 4",
    "isolate, 12",
    "blink, 0",
    "blink, 0.2"
  })
  void jobsCancelledWhileTheFleetChangesHandsAreGoneInTime(String how, double cancelAfter) {
    SimWorld w = world(321, 3);
    w.lookClosely();
    Rules.Known[] jobs = running(w, 3);
    int owner = w.owner();
    switch (how) {
      case "crash" -> w.crash(owner);
      case "handover" -> refuse(w, owner, true);
      case "isolate" -> w.isolate(owner, true);
      default -> {
        w.crash(owner);
        w.loop.after(0.1, () -> w.start(owner));
      }
    }
    w.loop.run(cancelAfter);
    for (int i = 0; i < 3; i++) {
      w.cancel((owner + 1 + i) % 3, jobs[i]);
    }
    w.loop.run(8);
    if (how.equals("isolate")) {
      w.isolate(owner, false);
    }
    w.loop.run(SimWorld.CANCEL_S);
    assertThat(w.workers.values()).allMatch(x -> x.running().isEmpty());
    fine(w);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void tenChangesOfOwnerInTwoMinutesAlsoInAnOutageCostNoJob(boolean blinks) {
    SimWorld w = world(322, 3);
    List<Rules.Known> jobs = arrays(w, 24, 4, 9);
    for (int i = 0; i < 10; i++) {
      w.loop.run(10);
      if (i % 4 == 2) {
        w.state.outage(true);
        w.loop.after(8, () -> w.state.outage(false));
      }
      int owner = w.owner();
      if (owner >= 0) {
        w.crash(owner);
        w.loop.after(blinks ? 0.2 : 5, () -> w.start(owner));
      }
    }
    w.loop.run(90);
    allOver(w, jobs);
  }

  @Test
  void theFleetIsHandedOverAndBackAndAllEndAndOneReturnsAtOnce() {
    SimWorld w = oneZone(323, 3);
    Rules.Known[] jobs = running(w, 2);
    for (int i = 0; i < 3; i++) {
      int owner = w.owner();
      refuse(w, owner, true);
      w.loop.run(2.5);
      assertThat(w.owner()).isNotEqualTo(owner);
      refuse(w, owner, false);
      w.loop.run(2);
    }
    w.cancel(0, jobs[0]);
    w.loop.run(0.1);
    w.crashAll();
    w.loop.run(0.4);
    w.start(1);
    w.loop.run(SimWorld.CANCEL_S);
    w.start(0);
    w.start(2);
    w.loop.run(10);
    assertThat(w.workers.values()).noneMatch(x -> x.running().contains(jobs[0].id + "/0"));
    assertThat(w.stage(1, jobs[1].id)).isEqualTo("running");
    assertThat(w.rules.trace()).noneMatch(x -> x.contains("lease over"));
    fine(w);
  }

  @Test
  void allControllersAreAwayForLongerThanALeaseAndAJobWasCancelledBefore() {
    SimWorld w = world(324, 3);
    Rules.Known[] jobs = running(w, 2);
    w.cancel(0, jobs[0]);
    w.loop.run(0.05);
    w.crashAll();
    w.loop.run(SimWorld.LEASE_S + 5);
    w.startAll();
    w.loop.run(30);
    assertThat(w.stage(2, jobs[0].id)).isEqualTo("cancelled");
    assertThat(runner(w, jobs[1].id + "/0")).isNotNull(); // It began anew.
    fine(w);
  }

  @Test
  void tasksOfOneJobThatEndFarApartAcrossAChangeOfOwnerEndIt() {
    SimWorld w = world(325, 3);
    w.cloud.capacity = 1; // One task after the other.
    Rules.Known j = w.job("j-000480", 3, 4, 9, false);
    w.submit(0, j);
    for (int i = 0; i < 3; i++) {
      w.loop.run(12);
      int owner = w.owner();
      w.crash(owner);
      w.loop.after(0.5 + i * 3, () -> w.start(owner));
    }
    w.loop.run(40);
    assertThat(w.rules.starts).isEqualTo(3);
    assertThat(w.stage(0, j.id)).isEqualTo("done");
    fine(w);
  }

  // ---------------------------------------------------------------- machines

  @ParameterizedTest
  @CsvSource({"2, cancel", "6, cancel", "11, cancel", "20, cancel", "6, owner", "20, owner"})
  void aMachineThatHangsAndGoesOnKeepsNoCancelledTask(double hangS, String and) {
    SimWorld w = world(331, 3);
    Rules.Known[] jobs = running(w, 2);
    int owner = w.owner();
    w.workers.values().forEach(x -> x.hang(hangS));
    w.cancel(other(w, owner), jobs[0]);
    w.loop.run(0.5);
    if (and.equals("owner")) {
      w.crash(owner);
    }
    w.loop.run(hangS + 15);
    assertThat(w.workers.values()).noneMatch(x -> x.running().contains(jobs[0].id + "/0"));
    w.loop.run(SimWorld.CANCEL_S);
    fine(w);
  }

  @Test
  void anOrderThatIsHeldUpForSecondsStartsNothingOfACancelledJob() {
    SimWorld w = world(332, 3);
    running(w, 1);
    w.net.alwaysPooled = true;
    String machine = w.workers.keySet().iterator().next();
    int owner = w.owner();
    w.net.cut("c" + owner, machine);
    Rules.Known j = w.job("j-000481", 3, 1, 30, true);
    w.submit(other(w, owner), j);
    w.loop.run(1.5);
    w.cancel(other(w, owner), j);
    w.loop.run(6);
    w.net.heal("c" + owner, machine);
    w.loop.run(SimWorld.CANCEL_S);
    assertThat(w.workers.values()).noneMatch(x -> x.running().contains(j.id + "/0"));
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"cut, 6", "cut, 30", "hang, 6", "hang, 30", "deaf, 30", "mute, 30"})
  void aTeamAtItsLimitStaysWithinItWhileMachinesCannotBeAskedAndTheOwnerChanges(
      String how, double length) {
    SimWorld w = new SimWorld(333, SimWorld.Shape.of(3).fleet(20, List.of("a", "b")));
    w.cloud.capacity = 20;
    w.loop.run(3);
    List<Rules.Known> jobs = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      Rules.Known j = w.job(String.format("j-0004%02d", i), 4, 3, 300, false);
      jobs.add(j);
      w.submit(i % 3, j);
    }
    w.loop.run(25);
    assertThat(w.rules.starts).isEqualTo(20); // 60 of 60 CPUs; four tasks wait for the limit.
    List<SimWorker> some = new ArrayList<>(w.workers.values()).subList(0, 5);
    for (SimWorker x : some) {
      switch (how) {
        case "cut" -> w.cutOff(x.name);
        case "hang" -> x.hang(length);
        case "deaf" -> w.net.deaf(x.name, true);
        default -> w.net.mute(x.name, true);
      }
    }
    int owner = w.owner();
    w.cancel(other(w, owner), jobs.get(0));
    w.cancel(other(w, owner), jobs.get(1));
    w.loop.run(0.3);
    w.crash(owner);
    w.cancel(other(w, owner), jobs.get(2));
    w.loop.run(length);
    for (SimWorker x : some) {
      w.net.deaf(x.name, false);
      w.net.mute(x.name, false);
      for (int i = 0; i < 3; i++) {
        w.net.heal("c" + i, x.name);
      }
    }
    w.start(owner);
    w.loop.run(SimWorld.CANCEL_S + 20);
    for (int i = 3; i < 6; i++) {
      assertThat(w.stage(0, jobs.get(i).id)).isEqualTo("running");
    }
    fine(w);
  }

  @Test
  void workersThatCanOpenNoConnectionLoseTheirLeaseAndTheirTasksRunOnce() {
    SimWorld w = world(334, 3);
    Rules.Known[] jobs = running(w, 3);
    w.workers.keySet().forEach(m -> w.net.mute(m, true));
    w.cancel(0, jobs[0]);
    w.loop.run(SimWorld.LEASE_S + 12);
    w.workers.keySet().forEach(m -> w.net.mute(m, false));
    w.loop.run(40);
    assertThat(w.stage(1, jobs[0].id)).isEqualTo("cancelled");
    assertThat(w.stage(1, jobs[1].id)).isEqualTo("running");
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"cut, 8", "cut, 25", "deaf, 8", "deaf, 25"})
  void theOwnerEndsWhileMachinesWithLongTasksDoNotHearTheNext(String how, double length) {
    SimWorld w = world(335, 3);
    Rules.Known[] jobs = running(w, 2);
    Rules.Known longOne = w.job("j-000482", 3, 1, 70, false);
    w.submit(0, longOne);
    w.loop.run(10);
    List<String> names = new ArrayList<>(w.workers.keySet());
    for (String m : names) {
      if (how.equals("cut")) {
        w.cutOff(m);
      } else {
        w.net.deaf(m, true);
      }
    }
    w.crash(w.owner());
    w.cancel(w.isUp(0) ? 0 : 1, jobs[0]);
    w.loop.run(length);
    for (String m : names) {
      w.net.deaf(m, false);
      for (int i = 0; i < 3; i++) {
        w.net.heal("c" + i, m);
      }
    }
    w.loop.run(140);
    assertThat(w.stage(w.owner(), longOne.id)).isEqualTo("done");
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"0.2, 1", "0.2, 4", "3, 1"})
  void newMachinesGetWorkAtOnceWhileWritesLagAndTheOwnerEnds(double writeS, double endsAfter) {
    SimWorld w = world(336, 3);
    w.cloud.bootFactor = 0.15;
    w.state.delayS = writeS;
    w.state.delay = t -> t.toString().contains("g/slice/");
    List<Rules.Known> jobs = arrays(w, 8, 0.1, 6);
    w.loop.run(1 + endsAfter);
    int owner = w.owner();
    w.crash(owner);
    w.loop.run(3);
    w.start(owner);
    w.loop.run(60);
    w.state.delay = t -> false;
    w.loop.run(40);
    allOver(w, jobs);
  }

  @Test
  void jobsBoundToOneZoneRunAgainAfterItsMachinesWereLost() {
    SimWorld w = world(337, 3);
    List<Rules.Known> jobs = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      Rules.Known j = w.job(String.format("j-0004%02d", i), 2, 1, i % 2 == 0 ? 0 : 120, false);
      j.zone = i < 2 ? "a" : "b";
      jobs.add(j);
      w.submit(i % 3, j);
    }
    w.loop.run(20);
    assertThat(w.rules.starts).isEqualTo(8);
    for (SimWorker x : new ArrayList<>(w.workers.values())) {
      if (x.zone.equals("a")) {
        w.cloud.take(x.name);
      }
    }
    w.loop.run(60);
    for (int i = 0; i < 2; i++) {
      assertThat(runner(w, jobs.get(i).id + "/1")).isNotNull();
    }
    fine(w);
  }

  @Test
  void withMoreWorkThanRoomOverSlowLinksTheUrgentGoesFirstAndAllIsServed() {
    SimWorld w = world(338, 3);
    w.net.slow = 50; // An eighth of a second each way, a quarter at most.
    w.cloud.capacity = 3;
    List<Rules.Known> jobs = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      Rules.Known j = w.job(String.format("j-0004%02d", i), 4, 1, 8, true);
      j.guest = i % 2 == 0; // Of the lowest priority.
      jobs.add(j);
      w.submit(i % 3, j);
    }
    w.loop.run(30);
    Rules.Known service = w.job("j-000483", 2, 2, 0, true);
    w.submit(0, service);
    w.loop.run(25);
    assertThat(service.firstStart).isNotNaN();
    w.loop.run(120);
    for (Rules.Known j : jobs) {
      assertThat(w.stage(1, j.id)).isEqualTo("done");
    }
    fine(w);
  }

  // ---------------------------------------------------------------- what comes late

  @ParameterizedTest
  @CsvSource({"crash, 3", "crash, 8", "handover, 2", "crash, 0.3"})
  void reportsKeptForTheNextOwnerProveAndRenewNothing(String how, double meanwhile) {
    SimWorld w = world(341, 3);
    Rules.Known[] jobs = running(w, 2);
    w.net.keepReports();
    w.loop.run(5);
    w.cancel(0, jobs[0]);
    String gone = runner(w, jobs[1].id + "/0");
    w.loop.run(3);
    w.cloud.take(gone);
    int owner = w.owner();
    if (how.equals("crash")) {
      w.crash(owner);
    } else {
      refuse(w, owner, true);
    }
    double until = w.loop.now() + 20;
    while ((w.owner() < 0 || w.owner() == owner) && w.loop.now() < until) {
      w.loop.run(0.01);
    }
    w.net.deliverKept("c0:80", "c1:80", "c2:80");
    w.loop.run(meanwhile);
    refuse(w, owner, false);
    w.loop.run(40);
    assertThat(w.stage(w.owner(), jobs[0].id)).isEqualTo("cancelled");
    assertThat(runner(w, jobs[1].id + "/0")).isNotEqualTo(gone);
    fine(w);
  }

  @Test
  void aReportThatIsHeldUntilANewOwnerHasActedProvesNothing() {
    SimWorld w = world(342, 3);
    Rules.Known[] jobs = running(w, 2);
    Rules.Known array = w.job("j-000484", 3, 1, 25, false);
    w.submit(0, array);
    w.loop.run(8);
    w.net.alwaysPooled = true;
    int owner = w.owner();
    List<String> machines = new ArrayList<>(w.workers.keySet());
    for (String m : machines) {
      w.net.cut("c" + other(w, owner), m);
      w.net.cut("c" + (owner + 2) % 3, m);
    }
    w.crash(owner);
    w.loop.run(9);
    w.cancel(other(w, owner), jobs[0]);
    w.loop.run(1);
    for (String m : machines) {
      w.net.heal("c" + other(w, owner), m);
      w.net.heal("c" + (owner + 2) % 3, m);
    }
    w.loop.run(80);
    assertThat(w.stage(other(w, owner), array.id)).isEqualTo("done");
    fine(w);
  }

  @Test
  void copiesFromAnEarlierSessionOrAttemptProveNothing() {
    SimWorld w = world(343, 3);
    running(w, 2);
    Rules.Known array = w.job("j-000485", 3, 2, 20, false);
    w.net.copies = 0.7;
    w.net.copyDelayS = 2.5 * SimWorld.LEASE_S;
    w.submit(0, array);
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
    assertThat(w.stage(1, array.id)).isEqualTo("done");
    fine(w);
  }

  @ParameterizedTest
  @ValueSource(longs = {344, 345, 346, 347, 348, 349})
  void transactionsCarriedOutLateAfterNewerOnesOfTheSameOwnerBreakNothing(long seed) {
    SimWorld w = world(seed, 3);
    w.lookClosely();
    List<Rules.Known> jobs = arrays(w, 24, 1, 4);
    w.state.delay =
        t -> {
          w.state.delayS = 2 + w.random.nextDouble() * 10;
          return w.random.nextInt(4) == 0;
        };
    w.loop.run(40);
    w.state.delay = t -> false;
    w.loop.run(80);
    allOver(w, jobs);
  }

  // ---------------------------------------------------------------- swarms

  @Test
  void aSwarmOfSingleTaskJobsWithAQuarterCancelledIsAnsweredAndServed() {
    SimWorld w = world(351, 3);
    w.cloud.capacity = 8;
    List<Rules.Known> jobs = new ArrayList<>();
    for (int i = 0; i < 480; i++) {
      Rules.Known j = w.job(String.format("j-%06d", 5000 + i), 1, 1, 4, true);
      jobs.add(j);
      int node = i % 3;
      w.loop.after(i * 0.25, () -> w.submit(node, j));
      if (i % 4 == 3) {
        w.loop.after(i * 0.25 + 0.3 + i % 16, () -> w.cancel(other(w, node), j));
      }
    }
    w.loop.run(200);
    for (Rules.Known j : jobs) {
      assertThat(j.accepted).isTrue();
    }
    allOver(w, jobs);
  }
}
