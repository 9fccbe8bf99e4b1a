package graderelay;

import static graderelay.WorldAssertions.fine;
import static graderelay.WorldAssertions.runner;
import static graderelay.WorldAssertions.secondsToNextStart;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.constants.Constants;
import graderelay.core.Action;
import graderelay.core.Scheduler;
import graderelay.sim.Rules;
import graderelay.sim.SimWorld;
import graderelay.wire.Json;
import graderelay.wire.StateCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Short stories of the troubles that came with larger fleets, with five controllers. */
class GrownStoriesTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 5);
  }

  /** A machine that reports, hears the owner and has shown it. */
  private static void hearing(Scheduler s, String name, double now) {
    SchedulerFixture.machine(s, name, 1, 1, now);
  }

  // ---------------------------------------------------------------- a machine that hears nothing

  @Test
  void aMachineThatHearsNothingGetsNoNewTasksUntilItHasShownThatItDoes() {
    Scheduler s = SchedulerFixture.scheduler(1);
    hearing(s, "n-1", 0);
    // A worker that took our answer would have stayed with us.
    s.onReport(SchedulerFixture.report("n-1", 1, 2, 1), "m-1", 5.1);
    s.answered("n-1", 5.1);
    s.onJob(SchedulerFixture.array("j-1", 1), false, 5, 5.2, 5.2);
    SchedulerFixture.commitAll(s, 10, 5.3);
    assertThat(SchedulerFixture.claimsOf(s, "n-1")).isZero();
    // It stays there: the answer that went back that way has arrived.
    s.onReport(SchedulerFixture.report("n-1", 1, 3, 1), "m-1", 7.1);
    s.answered("n-1", 7.1);
    SchedulerFixture.commitAll(s, 11, 7.2);
    assertThat(SchedulerFixture.claimsOf(s, "n-1")).isEqualTo(1);
  }

  @Test
  void aMachineWhoseLeaseEndsAlthoughItWasAnsweredHearsNothing() {
    Scheduler s = SchedulerFixture.scheduler(1);
    hearing(s, "n-1", 0);
    SchedulerFixture.machine(s, "n-1", 2, 9, 4);
    s.onJob(SchedulerFixture.array("j-1", 1), false, 5, 4.1, 4.1);
    SchedulerFixture.commitAll(s, 10, 4.2);
    assertThat(SchedulerFixture.claimsOf(s, "n-1")).isZero();
  }

  @Test
  void aDeafMachinesServicesStartElsewhereAndItIsGivenBack() {
    SimWorld w = world(31);
    Rules.Known j = w.job("j-000060", 1, 3, 0, false);
    w.submit(0, j);
    w.submit(1, w.job("j-000061", 4, 3, 300, false));
    w.loop.run(20);
    String machine = runner(w, "j-000060/0");
    w.net.deaf(machine, true);
    w.loop.run(30);
    assertThat(w.cloud.names()).doesNotContain(machine);
    w.loop.run(15);
    assertThat(runner(w, "j-000060/0")).isNotEqualTo(machine);
    fine(w);
  }

  // ---------------------------------------------------------------- copies that come late

  @Test
  void aCopyOfThePastPutsOffNoLease() {
    Scheduler s = SchedulerFixture.scheduler(1);
    hearing(s, "n-1", 0);
    SchedulerFixture.machine(s, "n-1", 1, 2, 2);
    for (double t = 3; t < 2 + SimWorld.LEASE_S; t += 1) {
      assertThat(s.onReport(SchedulerFixture.report("n-1", 1, 1, 1), t)).isFalse();
    }
    s.tick(2 + SimWorld.LEASE_S + 1);
    assertThat(SchedulerFixture.notes(s)).anyMatch(n -> n.contains("lease of n-1 is over"));
  }

  @Test
  void anAnswerToAReportThatADirectOrderOvertookStillCountsForTheLease() {
    Scheduler s = SchedulerFixture.scheduler(1);
    hearing(s, "n-1", 0);
    // The worker's answer to a direct order, sent after its report, comes first.
    var poke = new Action.Command("n-1", "n-1:9000", 1, 1, List.of());
    s.onSent(poke, Scheduler.Sent.EXECUTED, SchedulerFixture.report("n-1", 1, 3, 1), 4);
    s.onReport(SchedulerFixture.report("n-1", 1, 2, 1), 4.1); // Answered, so the lease goes on.
    s.tick(SimWorld.LEASE_S + 3);
    assertThat(SchedulerFixture.notes(s)).noneMatch(n -> n.contains("lease of n-1 is over"));
    s.tick(4 + SimWorld.LEASE_S + 1);
    assertThat(SchedulerFixture.notes(s)).anyMatch(n -> n.contains("lease of n-1 is over"));
  }

  @Test
  void afterATakeoverACopyFromAMachineThatIsGoneMakesItNoTarget() {
    Scheduler s = SchedulerFixture.scheduler(7);
    s.onReport(SchedulerFixture.report("n-1", 1, 40, 6), 0.5); // From the earlier owner's time.
    s.onJob(SchedulerFixture.array("j-1", 1), false, 5, 1, 1);
    SchedulerFixture.commitAll(s, 10, 1.1);
    assertThat(SchedulerFixture.claimsOf(s, "n-1")).isZero();
    s.onReport(SchedulerFixture.report("n-1", 1, 41, 7), 1.5); // It has heard of the new term.
    SchedulerFixture.commitAll(s, 11, 1.6);
    assertThat(SchedulerFixture.claimsOf(s, "n-1")).isEqualTo(1);
  }

  @Test
  void copiesOfAllReportsForTwoLeasesBreakNothing() {
    SimWorld w = world(32);
    w.net.copies = 1;
    w.net.copyDelayS = 2 * SimWorld.LEASE_S;
    Rules.Known service = w.job("j-000062", 3, 1, 0, false);
    Rules.Known array = w.job("j-000063", 8, 2, 6, true);
    w.submit(0, service);
    w.submit(1, array);
    w.loop.run(25);
    w.crash(w.owner());
    w.loop.run(40);
    assertThat(w.stage(w.owner(), array.id)).isEqualTo("done");
    assertThat(w.stage(w.owner(), service.id)).isEqualTo("running");
    fine(w);
  }

  @Test
  void aCopyAtAGatewayIsNoSignThatItsWorkerCannotReachTheOwner() {
    SimWorld w = world(40);
    int gateway = (w.owner() + 1) % w.size;
    byte[] report = checkin(5);
    assertThat(w.answer(gateway, "POST", "/checkin", report).path("http").asInt()).isEqualTo(421);
    assertThat(w.answer(gateway, "POST", "/checkin", report).path("http").asInt()).isEqualTo(421);
    // The worker itself is back, so it could not: its report is passed on and answered.
    assertThat(w.answer(gateway, "POST", "/checkin", checkin(6)).path("http").asInt())
        .isEqualTo(200);
  }

  private static byte[] checkin(int seq) {
    return Json.write(
        Json.object()
            .put("saw", "n-999999")
            .put("address", "n-999999:9000")
            .put("rig", "small")
            .put("yard", "a")
            .put("borrowed", false)
            .put("shift", 1)
            .put("tally", seq)
            .put("foreman", 0));
  }

  @Test
  void copiesOfAMachineThatIsCutOffKeepItsTasksFromNobody() {
    SimWorld w = world(38);
    w.net.copies = 1;
    w.net.copyDelayS = 2 * SimWorld.LEASE_S;
    w.submit(0, w.job("j-000067", 1, 4, 300, false));
    w.loop.run(30);
    w.cutOff(runner(w, "j-000067/0"));
    // A lease, and what it takes to rent a machine and to start again.
    assertThat(secondsToNextStart(w)).isBetween(SimWorld.LEASE_S, SimWorld.LEASE_S + 10);
    fine(w);
  }

  // ---------------------------------------------------------------- controllers

  @Test
  void nodesStayReadyInAnOutageForAllButNotWhenTheyAreAlone() {
    SimWorld w = world(39);
    w.loop.run(5);
    w.state.outage(true);
    w.loop.run(8);
    for (int i = 0; i < w.size; i++) {
      assertThat(w.answer(i, "GET", "/ready", null).path("http").asInt()).isEqualTo(200);
    }
    w.state.outage(false);
    w.loop.run(5);
    w.isolate(1, true);
    w.refused[2][0] = true; // Some of their peers are served, so users are better off there.
    w.refused[3][0] = true;
    w.loop.run(8);
    assertThat(w.answer(1, "GET", "/ready", null).path("http").asInt()).isEqualTo(503);
    assertThat(w.answer(2, "GET", "/ready", null).path("http").asInt()).isEqualTo(503);
    assertThat(w.answer(3, "GET", "/ready", null).path("http").asInt()).isEqualTo(503);
    assertThat(w.answer(0, "GET", "/ready", null).path("http").asInt()).isEqualTo(200);
  }

  @Test
  void workersOfAnOwnerLeftAloneFindTheNextWithoutLosingTheirLease() {
    SimWorld w = world(33);
    w.submit(0, w.job("j-000064", 4, 1, 0, false));
    w.loop.run(20);
    int starts = w.rules.starts;
    int owner = w.owner();
    w.isolate(owner, true);
    w.loop.run(40);
    assertThat(w.owner()).isNotNegative().isNotEqualTo(owner);
    assertThat(w.nodes[owner].owner()).isFalse();
    w.isolate(owner, false);
    w.loop.run(20);
    assertThat(w.rules.starts).isEqualTo(starts);
    fine(w);
  }

  @Test
  void anOwnerBackAtOnceAndAnotherThatBlinksInTheElectionCostNoLease() {
    SimWorld w = world(34);
    w.submit(0, w.job("j-000065", 4, 1, 0, false));
    w.loop.run(20);
    int starts = w.rules.starts;
    int owner = w.owner();
    w.crash(owner);
    w.loop.run(0.2);
    w.start(owner);
    for (int i = 0; i < 4; i++) {
      int k = (owner + 1 + i) % w.size;
      w.loop.run(0.15);
      w.crash(k);
      w.loop.run(0.1);
      w.start(k);
    }
    w.loop.run(30);
    assertThat(w.owner()).isNotNegative();
    assertThat(w.rules.starts).isEqualTo(starts);
    fine(w);
  }

  @Test
  void anOwnerThatStillReadsTheRecordsKeepsLeasesAliveAndOrdersNothing() {
    // In one zone, since deputies elsewhere use the time that a cancellation leaves.
    SimWorld w = new SimWorld(37, SimWorld.Shape.of(5).fleet(8, List.of("a")));
    w.loop.run(4);
    w.submit(0, w.job("j-000066", 4, 1, 0, false));
    w.loop.run(20);
    int starts = w.rules.starts;
    w.crashAll();
    w.loop.run(5);
    // Reading all takes longer than the leases last; who owned the fleet is known at once.
    w.state.refusedList = StateCodec.JOBS;
    w.startAll();
    w.loop.run(9);
    assertThat(w.owner()).isNotNegative();
    assertThat(w.nodes[w.owner()].core()).isNull();
    w.state.refusedList = null;
    w.loop.run(20);
    assertThat(w.nodes[w.owner()].core()).isNotNull();
    assertThat(w.rules.starts).isEqualTo(starts);
    fine(w);
  }

  @Test
  void whenTroublesAreOverEveryJobIsAnsweredOnEveryNodeWithinAMoment() {
    SimWorld w = world(35);
    List<Rules.Known> jobs = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      Rules.Known j = w.job("j-00007" + i, 1 + i, 1, i % 2 == 0 ? 0 : 4, false);
      jobs.add(j);
      w.submit(i % w.size, j);
    }
    w.loop.run(15);
    // Watches, lists and catch-up reads die on the way, on some nodes for long.
    w.net.cut("c1", "state");
    w.refused[2][0] = true;
    w.net.loseAnswers = 0.4;
    w.loop.run(20);
    w.state.outage(true);
    w.loop.run(10);
    w.state.outage(false);
    w.net.loseAnswers = 0;
    w.refused[2][0] = false;
    w.net.heal("c1", "state");
    w.loop.run(5);
    for (Rules.Known j : jobs) {
      for (int i = 0; i < w.size; i++) {
        double asked = w.loop.now();
        assertThat(w.answer(i, "GET", "/v1/jobs/" + j.id, null).path("http").asInt())
            .as(j.id + " on m-" + i)
            .isEqualTo(200);
        assertThat(w.loop.now() - asked).isLessThan(1);
      }
    }
    fine(w);
  }

  @Test
  void theNextOwnerKnowsWhichMachinesHaveAnImage() {
    Scheduler first = SchedulerFixture.scheduler(1);
    hearing(first, "n-1", 0);
    hearing(first, "n-2", 0);
    first.onJob(SchedulerFixture.array("j-1", 1), false, 5, 0, 0);
    SchedulerFixture.commitAll(first, 10, 0.1);
    String warm = SchedulerFixture.claimsOf(first, "n-1") == 1 ? "n-1" : "n-2";
    SchedulerFixture.work(first, warm, 2, 1, 1);
    first.tick(20);
    Action.KeepImages kept =
        (Action.KeepImages)
            SchedulerFixture.taken(first).stream()
                .filter(a -> a instanceof Action.KeepImages)
                .findFirst()
                .orElseThrow();
    Scheduler next = SchedulerFixture.takingOver(2);
    next.onImages(StateCodec.images(StateCodec.images(kept.machines(), 60)));
    next.loaded(20);
    for (int i = 1; i <= 6; i++) {
      SchedulerFixture.machine(next, "n-" + i, 1, 9, 20);
    }
    next.onJob(SchedulerFixture.array("j-2", 3), false, 6, 20, 20);
    SchedulerFixture.commitAll(next, 11, 20.1);
    assertThat(SchedulerFixture.claimsOf(next, warm)).isEqualTo(3);
  }

  @Test
  void onAFullFleetASlotGoesToAnArrayWhoseImageIsThere() {
    Scheduler s = SchedulerFixture.takingOver(1);
    s.onImages(Map.of("n-1", List.of("x"), "n-2", List.of("y")));
    s.loaded(0);
    hearing(s, "n-1", 0);
    hearing(s, "n-2", 0);
    s.onJob(SchedulerFixture.array("j-1", 8, "y"), false, 5, 0, 0);
    s.onJob(SchedulerFixture.array("j-2", 8, "x"), false, 6, 0, 0);
    SchedulerFixture.commitAll(s, 10, 0.1);
    assertThat(SchedulerFixture.tasksStarted(s, "j-1")).isEqualTo(4);
    assertThat(SchedulerFixture.tasksStarted(s, "j-2")).isEqualTo(4);
    assertThat(SchedulerFixture.notes(s)).noneMatch(n -> n.contains("to be fetched"));
  }

  // ---------------------------------------------------------------- the largest

  @Test
  void aLargeArrayBeginsAlthoughSmallerOnesKeepComing() {
    Scheduler s = SchedulerFixture.takingOver(1, Map.of("batch", List.of(5.0, 20.0)));
    s.loaded(0);
    hearing(s, "n-1", 0);
    s.onJob(SchedulerFixture.array("j-8", 4), false, 5, 0, 0);
    SchedulerFixture.commitAll(s, 10, 0.1); // The machine is full before the large one comes.
    s.onJob(SchedulerFixture.array("j-9", 200), false, 5, 0.2, 0.2);
    double now = 0.2;
    int mark = 10;
    for (int i = 0; i < 60 && SchedulerFixture.tasksStarted(s, "j-9") == 0; i++) {
      now += 2;
      s.onJob(SchedulerFixture.array("j-s" + i, 1), false, 5, now, now);
      // One task ends, so there is room for one more of somebody.
      SchedulerFixture.work(s, "n-1", 2 + 2 * i, 1, now);
      SchedulerFixture.commitAll(s, mark += 2, now + 0.6);
      SchedulerFixture.commitAll(s, mark += 2, now + 0.7);
    }
    assertThat(SchedulerFixture.tasksStarted(s, "j-9")).isPositive();
    assertThat(now).isBetween(Constants.WAITING_WINS_S, 120.0);
  }

  @Test
  void aReportOfAWrongFormIsRefusedAndChangesNothing() {
    SimWorld w = world(41);
    int owner = w.owner();
    String good =
        "\"saw\":\"n-9\",\"address\":\"n-9:1\",\"rig\":\"small\",\"yard\":\"a\",\"foreman\":0";
    String[] bad = {
      "[]",
      "{}",
      "{" + good + ",\"shift\":1}",
      "{" + good + ",\"shift\":1,\"tally\":-4}",
      "{" + good + ",\"shift\":\"x\",\"tally\":1}",
      "{" + good + ",\"shift\":1,\"tally\":1,\"boards\":{}}",
      "{" + good + ",\"shift\":1,\"tally\":1,\"boards\":[{\"board\":\"j-1/0\"}]}",
      "{\"saw\":1," + good.substring(good.indexOf(',') + 1) + ",\"shift\":1,\"tally\":1}"
    };
    for (String b : bad) {
      assertThat(w.answer(owner, "POST", "/checkin", b.getBytes()).path("http").asInt())
          .as(b)
          .isEqualTo(400);
    }
    assertThat(w.nodes[owner].core().machines(0)).noneMatch(m -> m.name().equals("n-9"));
    String right = "{" + good + ",\"shift\":1,\"tally\":1,\"boards\":null,\"recall_s\":null}";
    assertThat(w.answer(owner, "POST", "/checkin", right.getBytes()).path("http").asInt())
        .isEqualTo(200);
  }

  // ---------------------------------------------------------------- cost

  private static String name(int i) {
    return String.format("n-%06d", i);
  }

  @Test
  void whatAReportCostsDoesNotGrowWithTheFleet() {
    Scheduler s = SchedulerFixture.scheduler(1);
    int machines = 1600;
    for (int i = 0; i < machines; i++) {
      hearing(s, name(i), 0);
    }
    for (int k = 0; k < 40; k++) {
      s.onJob(
          SchedulerFixture.array("j-" + k, 250),
          false,
          5,
          0,
          0); // Far more than there is room for.
    }
    s.step(0.1);
    s.step(0.2);
    long before = s.looked();
    for (int i = 0; i < machines; i++) {
      s.onReport(SchedulerFixture.report(name(i), 1, 2, 1), 0.3);
      s.step(0.3 + i * 1e-5);
    }
    assertThat(s.looked() - before).isZero();
  }

  @Test
  void jobsThatFoundNoRoomAreNotLookedAtAgainWhileNoneWasGivenBack() {
    Scheduler s = SchedulerFixture.scheduler(1);
    for (int i = 0; i < 5; i++) {
      hearing(s, name(i), 0);
    }
    for (int k = 0; k < 40; k++) {
      s.onJob(SchedulerFixture.array("j-" + k, 10), false, 5, 0, 0);
    }
    SchedulerFixture.commitAll(s, 10, 0.1);
    s.step(0.2);
    long before = s.looked();
    for (int i = 0; i < 9; i++) {
      s.onHired(99, List.of(), false, 0.21 + i * 0.011); // Something that starts a round.
      s.step(0.21 + i * 0.011);
    }
    assertThat(s.looked() - before).isZero();
  }

  @Test
  void whatARoundCostsGrowsWithTheTasksAndNotWithTheirProductWithTheFleet() {
    Scheduler s = SchedulerFixture.scheduler(1);
    int machines = 1600;
    for (int i = 0; i < machines; i++) {
      hearing(s, name(i), 0);
    }
    s.step(0.1);
    long before = s.looked();
    s.onJob(SchedulerFixture.array("j-1", 250), false, 5, 0.2, 0.2);
    s.step(0.3);
    // Each machine is looked at a few times for the job, and a few more for each task.
    assertThat(s.looked() - before).isLessThan(4L * machines + 250 * 8);
  }

  @Test
  void settlingALargeArrayTakesOneChangeForManyTasks() {
    Scheduler s = SchedulerFixture.scheduler(1);
    int machines = 60;
    for (int i = 0; i < machines; i++) {
      hearing(s, name(i), 0);
    }
    int tasks = 24; // As many as the team's limit allows at once.
    s.onJob(SchedulerFixture.array("j-1", tasks), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(s, 10, 0.2);
    int before = SchedulerFixture.writes(s);
    for (int i = 0; i < machines; i++) {
      SchedulerFixture.work(s, name(i), 2, 4, 1);
    }
    SchedulerFixture.commitAll(s, 20, 1.7);
    SchedulerFixture.commitAll(s, 30, 1.9);
    assertThat(SchedulerFixture.writes(s) - before).isEqualTo(1); // With the job's own end.
    assertThat(SchedulerFixture.notes(s)).anyMatch(n -> n.contains("j-1 is done"));
  }

  @Test
  void endsWaitForTheirShareOfTheChangesSoThatClaimsDoNotQueueBehindThem() {
    Scheduler s = SchedulerFixture.takingOver(1, Map.of(), 10);
    s.loaded(0);
    for (int i = 0; i < 6; i++) {
      hearing(s, name(i), 0);
    }
    for (int k = 0; k < 12; k++) {
      s.onJob(SchedulerFixture.array("j-" + k, 2), false, 5, 0, 0);
    }
    int mark = 10;
    for (int i = 0; i < 12; i++) {
      SchedulerFixture.commitAll(s, mark++, 0.1 + i * 0.1);
    }
    for (int i = 0; i < 6; i++) {
      SchedulerFixture.work(s, name(i), 2, 2, 3);
    }
    s.step(4);
    // Twelve tasks have ended, of many jobs; 0.4 s of ten a second are under way.
    assertThat(SchedulerFixture.changesOut(s)).isBetween(1, 4);
    for (int i = 0; i < 40; i++) {
      SchedulerFixture.commitAll(s, mark++, 5 + i * 0.1);
    }
    assertThat(s.teamUse().get("team").cpus()).isGreaterThan(0); // The rest has begun.
  }

  @Test
  void recordsOfAJobAreGoneWhenItIsDoneAlsoWithFiveControllers() {
    SimWorld w = world(36);
    Rules.Known j = w.job("j-000080", 9, 2, 3, true);
    w.submit(0, j);
    w.loop.run(60);
    for (int i = 0; i < w.size; i++) {
      assertThat(w.stage(i, j.id)).isEqualTo("done");
    }
    assertThat(w.state.items.keySet()).noneMatch(k -> k.startsWith(StateCodec.SLICES));
    fine(w);
  }
}
