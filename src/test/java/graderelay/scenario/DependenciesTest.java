package graderelay.scenario;

import static graderelay.sim.ScenarioSteps.accept;
import static graderelay.sim.ScenarioSteps.everywhere;
import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.world;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.core.Action;
import graderelay.core.JobSpec;
import graderelay.core.Priority;
import graderelay.core.Scheduler;
import graderelay.core.SchedulerFixture;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.wire.StateCodec;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Jobs that depend on others: never too early, waiting, cancelled together. */
class DependenciesTest {
  private static SimJob job(SimWorld w, int n, int tasks, double runS, SimJob... needs) {
    SimJob j = w.users.job(String.format("j-0007%02d", n), tasks, 1, runS, true);
    j.dependencies = List.of(needs);
    return j;
  }

  /** Submitted one after the other, each as soon as the one before it is accepted. */
  private static List<SimJob> chain(SimWorld w, int stages, double runS) {
    List<SimJob> all = new ArrayList<>();
    for (int i = 0; i < stages; i++) {
      SimJob j = i == 0 ? job(w, 0, 2, runS) : job(w, i, 2, runS, all.get(i - 1));
      all.add(j);
      accept(w, i % w.size, j);
    }
    return all;
  }

  @Test
  void stagesOfChainRunOneAfterTheOther() {
    SimWorld w = world(401, 3);
    List<SimJob> jobs = chain(w, 4, 3);
    assertThat(w.users.stage(1, jobs.get(3).id)).isEqualTo("pending");
    w.loop.run(50);
    everywhere(w, jobs, "done");
    assertThat(w.invariants.starts).isEqualTo(8);
  }

  @ParameterizedTest
  @ValueSource(strings = {"crash", "lostAnswers", "late", "outage", "isolate", "blink", "handover"})
  void noStageBeginsTooEarlyInAnyTrouble(String trouble) {
    SimWorld w = world(402, 3);
    w.users.lookClosely();
    SimJob first = job(w, 0, 3, 4);
    SimJob second = job(w, 1, 2, 5);
    accept(w, 0, first);
    accept(w, 1, second);
    SimJob join = job(w, 2, 3, 3, first, second);
    accept(w, 2, join);
    SimJob last = job(w, 3, 1, 2, join, first);
    accept(w, 0, last);
    for (int i = 0; i < 8; i++) {
      int leader = w.leader();
      switch (trouble) {
        case "crash", "blink" -> {
          if (leader >= 0) {
            w.crash(leader);
            w.loop.after(trouble.equals("crash") ? 4 : 0.2, () -> w.start(leader));
          }
        }
        case "lostAnswers" -> w.store.loseAnswer = t -> w.random.nextInt(2) == 0;
        case "late" -> {
          w.store.delayS = 3;
          w.store.delay = t -> w.random.nextInt(3) == 0;
        }
        case "outage" -> {
          w.store.outage(true);
          w.loop.after(4, () -> w.store.outage(false));
        }
        case "isolate" -> {
          if (leader >= 0) {
            w.isolate(leader, true);
            w.loop.after(4, () -> w.isolate(leader, false));
          }
        }
        default -> {
          if (leader >= 0) {
            w.refused[leader][0] = true;
            w.loop.after(3, () -> w.refused[leader][0] = false);
          }
        }
      }
      w.loop.run(6);
    }
    w.store.loseAnswer = t -> false;
    w.store.delay = t -> false;
    w.loop.run(60);
    everywhere(w, List.of(first, second, join, last), "done");
  }

  @Test
  void heartbeatOfTheLastTaskAloneStartsNothing() {
    Scheduler s = SchedulerFixture.scheduler(1);
    SchedulerFixture.exchangeHeartbeat(s, "n-1", 1, 1, 0);
    s.onJob(SchedulerFixture.array("j-1", 1), false, 5, 0, 0);
    s.onJob(SchedulerFixture.array("j-2", 1).withDependencies(List.of("j-1")), false, 6, 0, 0);
    SchedulerFixture.commitAll(s, 10, 0.1);
    assertThat(SchedulerFixture.claimCount(s, "n-1")).isEqualTo(1);
    SchedulerFixture.runTasks(s, "n-1", 2, 1, 5);
    s.step(5.7); // The end is on its way to the store, no more.
    SchedulerFixture.runTasks(s, "n-1", 4, 0, 6);
    s.step(6.7);
    assertThat(s.waitReason("j-2")).contains("j-1");
    SchedulerFixture.commitAll(s, 11, 7);
    SchedulerFixture.commitAll(s, 12, 7.2);
    assertThat(SchedulerFixture.tasksStarted(s, "j-2")).isEqualTo(1);
  }

  @Test
  void newLeaderFindsTheEndsThatItNeverSaw() {
    SimWorld w = world(403, 3);
    SimJob first = job(w, 0, 1, 3);
    SimJob slow = job(w, 1, 1, 25);
    accept(w, 0, first);
    accept(w, 0, slow);
    SimJob both = job(w, 2, 1, 3, first, slow);
    accept(w, 1, both);
    w.loop.run(18);
    assertThat(w.users.stage(0, first.id)).isEqualTo("done");
    w.crashAll();
    w.loop.run(1);
    w.startAll(); // Nobody remembers the first job now.
    w.loop.run(45);
    everywhere(w, List.of(first, slow, both), "done");
  }

  @Test
  void waitingJobIsNoDemandAndPreemptsNobody() {
    Scheduler s = SchedulerFixture.scheduler(1);
    SchedulerFixture.exchangeHeartbeat(s, "n-1", 1, 1, 0);
    s.onJob(SchedulerFixture.arrayWithPriority("j-1", Priority.LOW, 4, null), false, 5, 0, 0);
    SchedulerFixture.commitAll(s, 10, 0.1);
    JobSpec urgent = SchedulerFixture.arrayWithPriority("j-2", Priority.URGENT, 40, 300.0);
    s.onJob(urgent.withDependencies(List.of("j-1")), false, 6, 0.2, 0.2);
    for (int i = 1; i < 400; i += 10) {
      SchedulerFixture.exchangeHeartbeat(s, "n-1", 1, 1 + i, i);
      s.tick(i);
    }
    assertThat(SchedulerFixture.logLines(s)).noneMatch(n -> n.contains("preempt"));
    assertThat(SchedulerFixture.pendingActions(s)).noneMatch(a -> a instanceof Action.ScaleOut);
    assertThat(s.waitReason("j-2")).contains("j-1");
  }

  @Test
  void whatIsNeededByAnUrgentJobGoesBeforeOthersAndByItsDeadline() {
    Scheduler s = SchedulerFixture.scheduler(1);
    s.onJob(SchedulerFixture.arrayWithPriority("j-1", Priority.NORMAL, 4, null), false, 5, 0, 0);
    s.onJob(SchedulerFixture.arrayWithPriority("j-2", Priority.LOW, 4, null), false, 6, 0, 0);
    JobSpec middle = SchedulerFixture.arrayWithPriority("j-3", Priority.LOW, 1, null);
    s.onJob(middle.withDependencies(List.of("j-2")), false, 7, 0, 0);
    JobSpec last = SchedulerFixture.arrayWithPriority("j-4", Priority.URGENT, 1, 50.0);
    s.onJob(last.withDependencies(List.of("j-3")), false, 8, 0, 0);
    SchedulerFixture.exchangeHeartbeat(s, "n-1", 1, 1, 0); // Room for four.
    SchedulerFixture.commitAll(s, 10, 0.1);
    assertThat(SchedulerFixture.tasksStarted(s, "j-2")).isEqualTo(4);
    assertThat(SchedulerFixture.tasksStarted(s, "j-1")).isZero();
  }

  @Test
  void whatIsNeededUrgentlyButNotYetStopsNoOrdinaryWork() {
    Scheduler s = SchedulerFixture.scheduler(1);
    SchedulerFixture.exchangeHeartbeat(s, "n-1", 1, 1, 0); // Room for four.
    s.onJob(SchedulerFixture.arrayWithPriority("j-1", Priority.NORMAL, 4, null), false, 5, 0, 0);
    SchedulerFixture.commitAll(s, 10, 0.1);
    s.onJob(SchedulerFixture.arrayWithPriority("j-2", Priority.LOW, 1, null), false, 6, 1, 1);
    JobSpec last = SchedulerFixture.arrayWithPriority("j-3", Priority.URGENT, 1, 400.0);
    s.onJob(last.withDependencies(List.of("j-2")), false, 7, 1, 1);
    for (int i = 2; i < 304; i += 2) {
      SchedulerFixture.runTasks(s, "n-1", 2L * i, 0, i);
      s.tick(i + 0.9);
    }
    assertThat(SchedulerFixture.logLines(s)).noneMatch(n -> n.contains("preempt"));
    for (int i = 304; i < 340; i += 2) {
      SchedulerFixture.runTasks(s, "n-1", 2L * i, 0, i);
      s.tick(i + 0.9);
    }
    assertThat(SchedulerFixture.logLines(s)).anyMatch(n -> n.contains("preempt j-1"));
  }

  @ParameterizedTest
  @CsvSource({"0, 0", "1, 1", "2, 2", "0, 6", "1, 13"})
  void cancelledJobCancelsAllItsDependents(int which, double after) {
    SimWorld w = world(405, 3);
    w.users.lookClosely();
    List<SimJob> jobs = chain(w, 4, 4);
    w.loop.run(after);
    String answer =
        w.users
            .answer(which % 3, "GET", "/v1/jobs/" + jobs.get(which).id, null)
            .path("stage")
            .asText();
    w.users.cancel(which % 3, jobs.get(which));
    w.loop.run(1);
    if (!answer.equals("done")) {
      everywhere(
          w, jobs.subList(which, 4), "cancelled"); // At once, whatever the leader has written.
    }
    w.loop.run(60);
    everywhere(w, jobs.subList(0, which), "done");
    for (SimJob j : jobs) {
      assertThat(w.store.value(StateCodec.finalStateKey(j.id))).isNotNull();
    }
    fine(w);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void cancellationThatMeetsTheEndWinsForAllOrForNone(boolean leaderEnds) {
    SimWorld w = world(406, 3);
    w.users.lookClosely();
    List<SimJob> jobs = chain(w, 3, 3);
    w.invariants.onComplete =
        j -> {
          if (j == jobs.get(0)) {
            w.users.cancel(w.random.nextInt(3), j);
            if (leaderEnds) {
              int leader = w.leader();
              w.crash(leader);
              w.loop.after(0.5, () -> w.start(leader));
            }
          }
        };
    w.loop.run(70);
    String stage = w.users.stage(0, jobs.get(0).id);
    assertThat(stage).isIn("done", "cancelled");
    everywhere(w, jobs, stage);
  }

  @Test
  void jobThatDependsOnCancelledOneIsAcceptedAndCancelled() {
    SimWorld w = world(407, 3);
    SimJob first = job(w, 0, 1, 30);
    accept(w, 0, first);
    w.loop.run(10);
    w.users.cancel(1, first);
    w.loop.run(0.2);
    SimJob soon = job(w, 1, 1, 3, first);
    accept(w, 2, soon);
    everywhere(w, List.of(first, soon), "cancelled");
    w.loop.run(20); // Only its final record is left.
    SimJob late = job(w, 2, 1, 3, first);
    accept(w, 0, late);
    everywhere(w, List.of(first, soon, late), "cancelled");
    w.loop.run(20);
    assertThat(w.store.value(StateCodec.jobKey(late.id))).isNull();
    assertThat(w.invariants.starts).isEqualTo(1);
  }

  @Test
  void wideFanIsCancelledWithItsRootWhateverIsWritten() {
    SimWorld w = world(408, 3);
    SimJob root = job(w, 0, 1, 300);
    accept(w, 0, root);
    List<SimJob> fan = new ArrayList<>();
    for (int i = 1; i < 80; i++) {
      SimJob j = job(w, i, 1, 3, root);
      fan.add(j);
      w.users.submit(i % 3, j);
    }
    w.loop.run(15);
    w.users.cancel(1, root);
    w.loop.run(0.3);
    everywhere(w, fan, "cancelled");
    int before = w.store.requests;
    w.loop.run(20);
    assertThat(w.store.items.keySet()).noneMatch(k -> k.startsWith(StateCodec.JOBS));
    assertThat(w.store.requests - before).isLessThan(600);
    fine(w);
  }
}
