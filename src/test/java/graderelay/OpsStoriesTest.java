package graderelay;

import static graderelay.WorldAssertions.fine;
import static graderelay.WorldAssertions.world;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.constants.Constants;
import graderelay.core.Action;
import graderelay.core.Priority;
import graderelay.core.Report;
import graderelay.core.Scheduler;
import graderelay.core.WorkerCommand;
import graderelay.sim.Rules;
import graderelay.sim.SimWorld;
import graderelay.wire.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Short stories of troubles that operators met in service and that were on no list. */
class OpsStoriesTest {

  // ---------------------------------------------------------------- jobs with a mistake

  /** What machines were told to start since the last look, by machine. */
  private static Map<String, List<WorkerCommand.Launch>> launched(Scheduler s) {
    Map<String, List<WorkerCommand.Launch>> by = new TreeMap<>();
    for (Action a : new ArrayList<>(SchedulerFixture.taken(s))) {
      if (a instanceof Action.Command c) {
        SchedulerFixture.taken(s).remove(a);
        for (WorkerCommand o : c.orders()) {
          if (o instanceof WorkerCommand.Launch l) {
            by.computeIfAbsent(c.machine(), k -> new ArrayList<>()).add(l);
          }
        }
      }
    }
    return by;
  }

  /** The machines report that all they were told to start has ended in this way. */
  private static int end(Scheduler s, String why, long seq, double now) {
    return end(s, machine -> why, seq, now);
  }

  /** The same where it depends on the machine how it has ended. */
  private static int end(Scheduler s, UnaryOperator<String> whyOn, long seq, double now) {
    int n = 0;
    for (var e : launched(s).entrySet()) {
      String why = whyOn.apply(e.getKey());
      List<Report.Entry> shown = new ArrayList<>();
      for (WorkerCommand.Launch l : e.getValue()) {
        shown.add(new Report.Entry(l.task(), l.attempt(), Report.Stage.EXITED, why, false));
        n++;
      }
      Report r =
          SchedulerFixture.report(e.getKey(), 1, seq, s.term(), shown.toArray(new Report.Entry[0]));
      s.onReport(r, now);
      s.answered(e.getKey(), now);
    }
    return n;
  }

  private static long quarantined(Scheduler s, double now) {
    return s.machines(now).stream()
        .filter(m -> m.state().equals("quarantined") || m.state().equals("draining"))
        .count();
  }

  private static Scheduler fleet(int machines) {
    Scheduler s = SchedulerFixture.scheduler(1);
    for (int i = 0; i < machines; i++) {
      SchedulerFixture.machine(s, "n-" + i, 1, 1, 0);
    }
    return s;
  }

  private static void heard(Scheduler s, int machines, long seq, double now) {
    for (int i = 0; i < machines; i++) {
      SchedulerFixture.machine(s, "n-" + i, 1, seq, now);
    }
  }

  @Test
  void anArrayWithAMistakeCostsNoMachineAndIsTriedOneTaskAtATime() {
    Scheduler s = fleet(6);
    s.onJob(SchedulerFixture.array("j-1", 24), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(s, 10, 0.2);
    assertThat(end(s, "error", 2, 0.5)).isEqualTo(24);
    assertThat(quarantined(s, 0.5)).isZero();
    SchedulerFixture.commitAll(s, 11, 0.6);
    assertThat(launched(s)).isEmpty();
    List<Double> tries = new ArrayList<>();
    long seq = 3;
    for (double now = 1; now < 120; now += 1) {
      heard(s, 6, seq++, now);
      s.tick(now);
      SchedulerFixture.commitAll(s, (long) (100 + now), now + 0.1);
      int n = end(s, "error", seq++, now + 0.4);
      assertThat(n).isLessThanOrEqualTo(1);
      if (n > 0) {
        tries.add(now);
      }
    }
    assertThat(tries).hasSizeBetween(4, 9); // Two seconds, then twice as long each time.
    assertThat(quarantined(s, 120)).isZero();
    assertThat(SchedulerFixture.notes(s)).noneMatch(x -> x.contains("fails tasks of several jobs"));
  }

  @Test
  void aMachineThatFailsEverythingIsFoundAmongJobsWithAMistake() {
    Scheduler s = fleet(6);
    s.onJob(SchedulerFixture.array("j-1", 24), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(s, 10, 0.2);
    end(s, "error", 2, 0.5);
    // Two sound jobs, of which only what runs on n-0 fails.
    for (int k = 2; k <= 4; k++) {
      s.onJob(SchedulerFixture.array("j-" + k, 8), false, 5, 1.0 + k, 1.0 + k);
      SchedulerFixture.commitAll(s, 10 + k, 1.1 + k);
      end(s, machine -> machine.equals("n-0") ? "error" : "done", 10 + k, 1.5 + k);
      SchedulerFixture.commitAll(s, 20 + k, 1.6 + k);
    }
    assertThat(s.machines(6).stream().filter(m -> !m.state().equals("up")).map(m -> m.name()))
        .containsExactly("n-0");
  }

  @Test
  void aJobWhoseFirstTriesMetOnlySickMachinesIsSoonTriedInFull() {
    Scheduler s = fleet(3);
    s.onJob(SchedulerFixture.array("j-1", 12), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(s, 10, 0.2);
    assertThat(end(s, "error", 2, 0.5)).isEqualTo(12);
    // The machines are well again, or others have come.
    long seq = 3;
    int most = 0;
    for (double now = 1; now < 14 && most < 2; now += 0.5) {
      heard(s, 3, seq++, now);
      s.tick(now);
      SchedulerFixture.commitAll(s, (long) (100 + now * 2), now + 0.1);
      most = Math.max(most, end(s, "done", seq++, now + 0.3));
    }
    assertThat(most).isEqualTo(11); // One task showed that it can run.
  }

  @Test
  void aJobWithAMistakeRentsNoMachinesAndTakesNoRoomFromOthers() {
    Scheduler s = fleet(6);
    s.onJob(SchedulerFixture.array("j-1", 24), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(s, 10, 0.2);
    end(s, "error", 2, 0.5);
    s.tick(1);
    // Sound work takes all the room, so that the broken job would have to rent or to preempt.
    s.onJob(SchedulerFixture.array("j-2", 24), false, 6, 1.1, 1.1);
    SchedulerFixture.commitAll(s, 11, 1.2);
    SchedulerFixture.taken(s).clear();
    long seq = 3;
    for (double now = 2; now < 40; now += 1) {
      heard(s, 6, seq++, now);
      s.tick(now);
      SchedulerFixture.commitAll(s, (long) (100 + now), now + 0.1);
    }
    assertThat(SchedulerFixture.taken(s)).noneMatch(a -> a instanceof Action.Hire);
    assertThat(SchedulerFixture.notes(s)).noneMatch(x -> x.startsWith("preempt"));
  }

  @Test
  void aJobWithAMistakeIsFoundByTheToolsAndItsCancellationFreesItsRoom() {
    SimWorld w = world(61, 3);
    Rules.Known broken = w.job("j-000061", 12, 1, 20, false);
    broken.mistake = true;
    Rules.Known sound = w.job("j-000062", 8, 1, 10, false);
    w.submit(0, broken);
    w.loop.run(25);
    assertThat(w.answer(1, "GET", "/admin/jobs/j-000061", null).path("waits_because").asText())
        .contains("fails on every machine");
    w.submit(1, sound);
    w.loop.run(30);
    assertThat(w.stage(2, sound.id)).isEqualTo("done");
    assertThat(w.stage(2, broken.id)).isIn("pending", "running");
    w.cancel(0, broken);
    w.loop.run(3);
    assertThat(w.stage(1, broken.id)).isEqualTo("cancelled");
    int starts = w.rules.starts;
    w.loop.run(60);
    assertThat(w.rules.starts).isEqualTo(starts);
    fine(w);
  }

  // ---------------------------------------------------------------- controllers away for long

  /** A service runs, and a controller that is not the owner has been down for a while. */
  private static SimWorld withOneDown(long seed, int size) {
    SimWorld w = world(seed, size);
    w.submit(w.owner(), w.job("j-000070", 3, 1, 0, false));
    w.loop.run(20);
    w.crash((w.owner() + 1) % size);
    w.loop.run(10);
    assertThat(w.rules.starts).isEqualTo(3);
    return w;
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void anOutageWhileAControllerIsAwayCostsNoLease(int size) {
    SimWorld w = withOneDown(71, size);
    int owner = w.owner();
    w.state.outage(true);
    w.loop.run(SimWorld.LEASE_S + 10);
    w.state.outage(false);
    w.loop.run(20);
    assertThat(w.rules.starts).isEqualTo(3);
    assertThat(w.rules.trace()).noneMatch(x -> x.contains("lease over"));
    w.start((owner + 1) % size);
    w.loop.run(10);
    fine(w);
  }

  @Test
  void aControllerThatIsBackTakesOverAsSoonAsItsBarIsLifted() {
    SimWorld w = withOneDown(72, 3);
    int owner = w.owner();
    int back = (owner + 1) % 3;
    w.start(back);
    w.loop.run(6);
    w.crash(owner);
    w.crash((owner + 2) % 3);
    w.loop.run(8);
    assertThat(w.owner()).isEqualTo(back);
    w.loop.run(20);
    assertThat(w.rules.starts).isEqualTo(3);
    fine(w);
  }

  @Test
  void aBarredControllerThatIsLeftAloneTakesOverOnlyWhenNobodyCanCountOnItsBar() {
    SimWorld w = withOneDown(73, 3);
    int owner = w.owner();
    int back = (owner + 1) % 3;
    w.crash(owner);
    w.crash((owner + 2) % 3);
    w.start(back);
    w.loop.run(Constants.BAR_S - 2);
    assertThat(w.owner()).isNegative();
    // Another process of it has nothing to count from, and begins anew.
    w.crash(back);
    w.start(back);
    w.loop.run(Constants.BAR_S - 2);
    assertThat(w.owner()).isNegative();
    w.loop.run(10);
    assertThat(w.owner()).isEqualTo(back);
    w.loop.run(20);
    fine(w);
  }

  @Test
  void anOwnerThatLosesTheStateServiceStopsBeforeABarredControllerCanTakeOver() {
    SimWorld w = withOneDown(74, 3);
    int owner = w.owner();
    int other = (owner + 2) % 3;
    int back = (owner + 1) % 3;
    // The owner and the third are refused alone; the barred one comes back and is served.
    w.refused[owner][0] = true;
    w.refused[other][0] = true;
    w.net.cut("c" + owner, "c" + back);
    w.net.cut("c" + other, "c" + back);
    w.start(back);
    for (int i = 0; i < 600; i++) {
      w.loop.run(0.1);
      int speaking = 0;
      for (int n = 0; n < 3; n++) {
        speaking += w.nodes[n].speaks() ? 1 : 0;
      }
      assertThat(speaking).isLessThanOrEqualTo(1);
    }
    assertThat(w.owner()).isEqualTo(back);
    fine(w);
  }

  // ---------------------------------------------------------------- machines that don't come

  /** Machines rented in one plan, answered with new names; returns them. */
  private static List<String> hired(Scheduler s, double now) {
    List<String> names = new ArrayList<>();
    for (Action a : new ArrayList<>(SchedulerFixture.taken(s))) {
      if (a instanceof Action.Hire h) {
        SchedulerFixture.taken(s).remove(a);
        List<String> some = new ArrayList<>();
        for (int i = 0; i < h.count(); i++) {
          some.add("h-" + (int) (now * 10) + "-" + h.id() + "-" + i);
        }
        s.onHired(h.id(), some, false, now);
        names.addAll(some);
      }
    }
    return names;
  }

  private static List<String> givenBack(Scheduler s) {
    List<String> names = new ArrayList<>();
    for (Action a : SchedulerFixture.taken(s)) {
      if (a instanceof Action.GiveBack g) {
        names.addAll(g.machines());
      }
    }
    return names;
  }

  @Test
  void workThatWaitsForAMachineWhichOthersHaveOvertakenGetsAnother() {
    Scheduler s = SchedulerFixture.scheduler(1);
    s.onJob(SchedulerFixture.array("j-1", 24), false, 5, 0.1, 0.1);
    s.tick(1);
    List<String> first = hired(s, 1.2);
    assertThat(first).hasSizeGreaterThanOrEqualTo(6);
    // All but one are up in the usual five seconds, and one never comes.
    long seq = 1;
    int more = 0;
    for (double now = 6; now < 24; now += 1) {
      for (String m : first.subList(1, first.size())) {
        SchedulerFixture.machine(s, m, 1, seq, now);
      }
      seq++;
      s.tick(now);
      SchedulerFixture.commitAll(s, (long) (100 + now), now + 0.1);
      more += hired(s, now + 0.2).size();
    }
    assertThat(more).isEqualTo(1);
    assertThat(givenBack(s)).isEmpty(); // It may still come.
    s.tick(40);
    assertThat(givenBack(s)).contains(first.get(0));
  }

  @Test
  void whenAllBootsAreSlowMachinesAreNotRentedAndGivenUpInTurn() {
    Scheduler s = SchedulerFixture.scheduler(1);
    s.onJob(SchedulerFixture.array("j-1", 24), false, 5, 0.1, 0.1);
    s.tick(1);
    List<String> first = hired(s, 1.2);
    int more = 0;
    for (double now = 2; now < 100; now += 1) {
      s.tick(now); // Twenty times the nominal five seconds.
      more += hired(s, now + 0.2).size();
    }
    assertThat(givenBack(s)).isEmpty();
    assertThat(more).isLessThan(first.size());
    for (String m : first) {
      SchedulerFixture.machine(s, m, 1, 1, 100);
    }
    for (String m : first) {
      SchedulerFixture.machine(s, m, 1, 2, 101);
    }
    SchedulerFixture.commitAll(s, 200, 101.1);
    assertThat(SchedulerFixture.launches(s)).isEqualTo(24);
  }

  @Test
  void aMachineThatIsUpBeforeItsRentalIsAnsweredGetsWork() {
    Scheduler s = SchedulerFixture.scheduler(1);
    s.onJob(SchedulerFixture.array("j-1", 4), false, 5, 0.1, 0.1);
    s.tick(1);
    SchedulerFixture.machine(s, "n-1", 1, 1, 1.3);
    SchedulerFixture.commitAll(s, 10, 1.4);
    assertThat(SchedulerFixture.launches(s)).isEqualTo(4);
    hired(s, 2); // And what the answer names beside it is known as well.
    assertThat(SchedulerFixture.claimsOf(s, "n-1")).isEqualTo(4);
  }

  // ---------------------------------------------------------------- questions, many times as often

  @Test
  void aStormOfQuestionsAboutUnknownAndOldJobsCostsAFewRequestsAndAllAreAnswered() {
    SimWorld w = world(81, 3);
    List<Rules.Known> old = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      old.add(w.job(String.format("j-%06d", 810 + i), 1, 1, 1, false));
      w.submit(i % 3, old.get(i));
    }
    w.loop.run(60);
    int node = (w.owner() + 1) % 3;
    w.crash(node);
    w.start(node); // It remembers no final state.
    w.loop.run(5);
    int before = w.state.requests;
    int[] answered = {0, 0};
    for (int i = 0; i < 400; i++) {
      String id = i < 20 ? old.get(i).id : String.format("j-%06d", 900000 + i);
      int wanted = i < 20 ? 200 : 404;
      w.ask(
          node, "GET", "/v1/jobs/" + id, null, (r, n) -> answered[r.status() == wanted ? 0 : 1]++);
    }
    w.loop.run(2);
    assertThat(answered).containsExactly(400, 0);
    assertThat(w.state.requests - before).isLessThan(120);
    fine(w);
  }

  @Test
  void aSwarmOfSubmissionsIsWrittenOnceEach() {
    SimWorld w = world(82, 3);
    int owner = w.owner();
    long before = w.state.revision();
    // More than the node may write in two seconds: the rest is told at once to come back.
    int[] status = new int[600];
    for (int i = 0; i < 600; i++) {
      Rules.Known j = w.job(String.format("j-%06d", 820000 + i), 1, 1, 1, false);
      w.ask(
          (owner + 1) % 3,
          "POST",
          "/v1/jobs",
          Json.write(w.body(j)),
          (r, n) -> {
            status[r.status()]++;
            j.accepted |= r.status() == 201;
          });
    }
    w.loop.run(0.3);
    assertThat(status[429]).isPositive();
    w.loop.run(4);
    assertThat(status[201] + status[429]).isEqualTo(600);
    assertThat(status[201]).isGreaterThan(100);
    assertThat(w.state.conflicts).as("submissions written twice").isZero();
    assertThat(w.state.revision()).isGreaterThan(before);
  }

  // ---------------------------------------------------------------- guests

  /**
   * A full fleet of five machines below the limit, most of it work of one array and little of a
   * lower one.
   */
  private static Scheduler fullWith(int lower) {
    Scheduler s = fleet(5);
    s.onJob(SchedulerFixture.ranked("j-1", Priority.LOW, lower, null), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(s, 10, 0.2);
    s.onJob(SchedulerFixture.array("j-2", 20 - lower), false, 6, 0.3, 0.3);
    SchedulerFixture.commitAll(s, 11, 0.4);
    return s;
  }

  private static long preempted(Scheduler s) {
    return SchedulerFixture.notes(s).stream().filter(x -> x.startsWith("preempt")).count();
  }

  @Test
  void aLittleLowerWorkIsNotStoppedForArraysButForServicesItIs() {
    Scheduler s = fullWith(2);
    s.onJob(SchedulerFixture.ranked("j-3", Priority.URGENT, 4, null), false, 7, 0.5, 0.5);
    SchedulerFixture.commitAll(s, 12, 0.6);
    // What is normal is far more than a tenth, so that it yields, and the little below it first.
    assertThat(preempted(s)).isEqualTo(4);
    Scheduler t = fullWith(2);
    t.onJob(SchedulerFixture.array("j-3", 4), false, 7, 0.5, 0.5);
    SchedulerFixture.commitAll(t, 12, 0.6);
    assertThat(preempted(t)).isZero();
    t.onJob(SchedulerFixture.service("j-4", 1), false, 8, 0.7, 0.7);
    SchedulerFixture.commitAll(t, 13, 0.8);
    assertThat(preempted(t)).isEqualTo(1);
  }

  @Test
  void muchLowerWorkYieldsUntilLittleIsLeft() {
    Scheduler s = fullWith(12);
    s.onJob(SchedulerFixture.array("j-3", 4), false, 7, 0.5, 0.5);
    SchedulerFixture.commitAll(s, 12, 0.6);
    assertThat(preempted(s)).isEqualTo(4);
  }

  @Test
  void workWithTimeBeforeItsDeadlineStopsNobodyUntilItPresses() {
    Scheduler s = fleet(5);
    s.onJob(SchedulerFixture.ranked("j-1", Priority.LOW, 20, null), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(s, 10, 0.2);
    // The team's guarantee of 8 is used up; the estimate is ten seconds.
    s.onJob(SchedulerFixture.ranked("j-2", Priority.NORMAL, 4, 60.0), false, 6, 0.3, 0.3);
    s.tick(1);
    SchedulerFixture.commitAll(s, 11, 1.1);
    assertThat(preempted(s)).isZero();
    heard(s, 5, 2, 45);
    s.tick(45);
    SchedulerFixture.commitAll(s, 12, 45.1);
    assertThat(preempted(s)).isEqualTo(4);
  }

  @Test
  void aMachineGetsNoMoreTasksThanItsReportCanName() {
    Scheduler s = fleet(2);
    s.onJob(SchedulerFixture.tiny("j-1", 3000), false, 5, 0.1, 0.1);
    for (int i = 0; i < 20; i++) {
      SchedulerFixture.commitAll(s, 10 + i, 0.2 + i * 0.1);
    }
    for (int i = 0; i < 2; i++) {
      assertThat(SchedulerFixture.claimsOf(s, "n-" + i)).isEqualTo(Constants.MOST_ON_MACHINE);
    }
    s.tick(3);
    // And the plan knows it: for what is left it rents as many machines as that takes.
    assertThat(hired(s, 3.1)).hasSizeGreaterThanOrEqualTo(6);
  }

  @Test
  void aLeaseThatEndsJustAsANewOwnerAnswersIsNoSignOfDeafness() {
    Scheduler s = SchedulerFixture.scheduler(7);
    s.onReport(SchedulerFixture.report("n-1", 1, 90, 6), 1);
    s.answered("n-1", 1);
    // It dropped the answer: its lease had ended while the answer was on its way.
    s.onReport(SchedulerFixture.report("n-1", 2, 91, 6), 2);
    assertThat(SchedulerFixture.notes(s)).noneMatch(n -> n.contains("does not hear us"));
    s.answered("n-1", 2);
    s.onReport(SchedulerFixture.report("n-1", 2, 92, 7), 4);
    s.answered("n-1", 4);
    s.onReport(SchedulerFixture.report("n-1", 3, 93, 7), 6);
    assertThat(SchedulerFixture.notes(s)).anyMatch(n -> n.contains("does not hear us"));
  }

  @Test
  void aGuestsJobBeginsWithinFourMinutesAlthoughWorkAboveItFillsTheFleet() {
    Scheduler s = fleet(1);
    s.onJob(SchedulerFixture.ranked("j-1", Priority.URGENT, 24, null), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(s, 10, 0.2);
    s.onJob(SchedulerFixture.ranked("j-2", Priority.LOW, 50, null), false, 6, 0.3, 0.3);
    long seq = 2;
    for (double now = 1; now < 240; now += 2) {
      // One task ends every few seconds, and there is always another urgent one.
      SchedulerFixture.work(s, "n-0", seq, now % 11 < 2 ? 1 : 0, now);
      seq += 2;
      s.onJob(
          SchedulerFixture.ranked("j-9" + (int) now, Priority.URGENT, 1, null), false, 7, now, now);
      SchedulerFixture.commitAll(s, 20 + (long) now, now + 0.7);
    }
    assertThat(SchedulerFixture.tasksStarted(s, "j-2")).isEqualTo(1);
  }

  @Test
  void lowerWorkDoesNotTakeTheRoomOfTasksWhoseRecordIsBeingChanged() {
    Scheduler s = fleet(5);
    // One task of the urgent array fits at first, so that its record is on the way for the rest.
    s.onJob(SchedulerFixture.ranked("j-0", Priority.URGENT, 19, null), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(s, 10, 0.2);
    s.onJob(SchedulerFixture.ranked("j-1", Priority.URGENT, 4, null), false, 6, 0.3, 0.3);
    s.step(0.4); // Its first claim is sent, and not answered.
    s.onJob(SchedulerFixture.ranked("j-2", Priority.LOW, 100, null), false, 7, 0.5, 0.5);
    s.step(0.6);
    int before = SchedulerFixture.changesOut(s);
    // A machine comes up: its room belongs to the three that wait for the answer, and one is left.
    SchedulerFixture.machine(s, "n-5", 1, 1, 0.7);
    s.step(0.8);
    assertThat(SchedulerFixture.changesOut(s) - before).isEqualTo(1);
    SchedulerFixture.commitAll(s, 11, 0.9);
    SchedulerFixture.commitAll(s, 12, 1.0);
    assertThat(SchedulerFixture.tasksStarted(s, "j-1")).isEqualTo(4);
    assertThat(SchedulerFixture.tasksStarted(s, "j-2")).isEqualTo(1);
    assertThat(preempted(s)).isZero();
  }

  @Test
  void noRoomIsKeptForTasksThatTheirTeamsLimitKeepsFromRunning() {
    Scheduler s = fleet(7);
    // The team may have 24 of the 28 slots.
    s.onJob(SchedulerFixture.ranked("j-0", Priority.URGENT, 60, null), false, 5, 0.1, 0.1);
    s.step(0.2); // Its record is on the way, with 36 tasks still open.
    int before = SchedulerFixture.changesOut(s);
    s.onJob(SchedulerFixture.guests("j-1", 4), false, 6, 0.3, 0.3);
    s.step(0.4);
    assertThat(SchedulerFixture.changesOut(s) - before).isEqualTo(1);
    SchedulerFixture.commitAll(s, 11, 0.5);
    assertThat(SchedulerFixture.tasksStarted(s, "j-1")).isEqualTo(4);
  }
}
