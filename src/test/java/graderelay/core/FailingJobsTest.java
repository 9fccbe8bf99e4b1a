package graderelay.core;

import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.world;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** Jobs that fail on every machine, and machines that fail every job. */
class FailingJobsTest {
  /** What machines were told to start since the last look, by machine. */
  private static Map<String, List<WorkerCommand.Launch>> launched(Scheduler s) {
    Map<String, List<WorkerCommand.Launch>> by = new TreeMap<>();
    for (Action a : new ArrayList<>(SchedulerFixture.taken(s))) {
      if (a instanceof Action.SendCommands c) {
        SchedulerFixture.taken(s).remove(a);
        for (WorkerCommand o : c.commands()) {
          if (o instanceof WorkerCommand.Launch l) {
            by.computeIfAbsent(c.machine(), k -> new ArrayList<>()).add(l);
          }
        }
      }
    }
    return by;
  }

  /** The heartbeats of all machines say that all they were told to start has ended in this way. */
  private static int end(Scheduler s, String why, long seq, double now) {
    return end(s, machine -> why, seq, now);
  }

  /** The same where it depends on the machine how it has ended. */
  private static int end(Scheduler s, UnaryOperator<String> whyOn, long seq, double now) {
    int n = 0;
    for (var e : launched(s).entrySet()) {
      String why = whyOn.apply(e.getKey());
      List<Heartbeat.Entry> shown = new ArrayList<>();
      for (WorkerCommand.Launch l : e.getValue()) {
        shown.add(new Heartbeat.Entry(l.task(), l.attempt(), Heartbeat.Stage.EXITED, why, false));
        n++;
      }
      Heartbeat r =
          SchedulerFixture.heartbeat(
              e.getKey(), 1, seq, s.term(), shown.toArray(new Heartbeat.Entry[0]));
      s.onHeartbeat(r, now);
      s.onHeartbeatAnswered(e.getKey(), now);
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
  void failingArrayCostsNoMachineAndIsTriedOneTaskAfterTheOther() {
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
    assertThat(SchedulerFixture.logLines(s))
        .noneMatch(x -> x.contains("fails tasks of several jobs"));
  }

  @Test
  void machineThatFailsEverythingIsFoundAmongFailingJobs() {
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
  void jobWhoseFirstTriesMetOnlySickMachinesIsSoonTriedInFull() {
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
  void failingJobScalesNothingOutAndTakesNoRoomFromOthers() {
    Scheduler s = fleet(6);
    s.onJob(SchedulerFixture.array("j-1", 24), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(s, 10, 0.2);
    end(s, "error", 2, 0.5);
    s.tick(1);
    // Sound work takes all the room, so that the broken job would have to scale out or to preempt.
    s.onJob(SchedulerFixture.array("j-2", 24), false, 6, 1.1, 1.1);
    SchedulerFixture.commitAll(s, 11, 1.2);
    SchedulerFixture.taken(s).clear();
    long seq = 3;
    for (double now = 2; now < 40; now += 1) {
      heard(s, 6, seq++, now);
      s.tick(now);
      SchedulerFixture.commitAll(s, (long) (100 + now), now + 0.1);
    }
    assertThat(SchedulerFixture.taken(s)).noneMatch(a -> a instanceof Action.ScaleOut);
    assertThat(SchedulerFixture.logLines(s)).noneMatch(x -> x.startsWith("preempt"));
  }

  @Test
  void failingJobIsFoundByTheToolsAndItsCancellationFreesItsRoom() {
    SimWorld w = world(61, 3);
    SimJob broken = w.users.job("j-000061", 12, 1, 20, false);
    broken.failing = true;
    final SimJob sound = w.users.job("j-000062", 8, 1, 10, false);
    w.users.submit(0, broken);
    w.loop.run(25);
    assertThat(
            w.users.answer(1, "GET", "/admin/jobs/j-000061", null).path("waits_because").asText())
        .contains("fails on every machine");
    w.users.submit(1, sound);
    w.loop.run(30);
    assertThat(w.users.stage(2, sound.id)).isEqualTo("done");
    assertThat(w.users.stage(2, broken.id)).isIn("pending", "running");
    w.users.cancel(0, broken);
    w.loop.run(3);
    assertThat(w.users.stage(1, broken.id)).isEqualTo("cancelled");
    int starts = w.invariants.starts;
    w.loop.run(60);
    assertThat(w.invariants.starts).isEqualTo(starts);
    fine(w);
  }
}
