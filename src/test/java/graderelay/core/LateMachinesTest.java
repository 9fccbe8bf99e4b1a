package graderelay.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Machines that come up late, never, or at once. */
class LateMachinesTest {
  private static List<String> scaledIn(Scheduler s) {
    List<String> names = new ArrayList<>();
    for (Action a : SchedulerFixture.pendingActions(s)) {
      if (a instanceof Action.ScaleIn g) {
        names.addAll(g.machines());
      }
    }
    return names;
  }

  @Test
  void workWhoseNewMachineWasTakenByOthersGetsAnother() {
    Scheduler s = SchedulerFixture.scheduler(1);
    s.onJob(SchedulerFixture.array("j-1", 24), false, 5, 0.1, 0.1);
    s.tick(1);
    List<String> first = SchedulerFixture.completeScaleOuts(s, 1.2);
    assertThat(first).hasSizeGreaterThanOrEqualTo(6);
    // All but one are up in the usual five seconds, and one never comes.
    long seq = 1;
    int more = 0;
    for (double now = 6; now < 24; now += 1) {
      for (String m : first.subList(1, first.size())) {
        SchedulerFixture.exchangeHeartbeat(s, m, 1, seq, now);
      }
      seq++;
      s.tick(now);
      SchedulerFixture.commitAll(s, (long) (100 + now), now + 0.1);
      more += SchedulerFixture.completeScaleOuts(s, now + 0.2).size();
    }
    assertThat(more).isEqualTo(1);
    assertThat(scaledIn(s)).isEmpty(); // It may still come.
    s.tick(40);
    assertThat(scaledIn(s)).contains(first.get(0));
  }

  @Test
  void whenAllBootsAreSlowMachinesAreNotScaledOutAndGivenUpInTurn() {
    Scheduler s = SchedulerFixture.scheduler(1);
    s.onJob(SchedulerFixture.array("j-1", 24), false, 5, 0.1, 0.1);
    s.tick(1);
    List<String> first = SchedulerFixture.completeScaleOuts(s, 1.2);
    int more = 0;
    for (double now = 2; now < 100; now += 1) {
      s.tick(now); // Twenty times the nominal five seconds.
      more += SchedulerFixture.completeScaleOuts(s, now + 0.2).size();
    }
    assertThat(scaledIn(s)).isEmpty();
    assertThat(more).isLessThan(first.size());
    for (String m : first) {
      SchedulerFixture.exchangeHeartbeat(s, m, 1, 1, 100);
    }
    for (String m : first) {
      SchedulerFixture.exchangeHeartbeat(s, m, 1, 2, 101);
    }
    SchedulerFixture.commitAll(s, 200, 101.1);
    assertThat(SchedulerFixture.pendingLaunches(s)).isEqualTo(24);
  }

  @Test
  void machineThatIsUpBeforeItsScaleOutIsAnsweredGetsWork() {
    Scheduler s = SchedulerFixture.scheduler(1);
    s.onJob(SchedulerFixture.array("j-1", 4), false, 5, 0.1, 0.1);
    s.tick(1);
    SchedulerFixture.exchangeHeartbeat(s, "n-1", 1, 1, 1.3);
    SchedulerFixture.commitAll(s, 10, 1.4);
    assertThat(SchedulerFixture.pendingLaunches(s)).isEqualTo(4);
    SchedulerFixture.completeScaleOuts(
        s, 2); // And what the answer names beside it is known as well.
    assertThat(SchedulerFixture.claimCount(s, "n-1")).isEqualTo(4);
  }
}
