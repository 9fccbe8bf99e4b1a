package graderelay.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Scale-out when machines boot late, never, or before the scale-out request is responded to. */
class LateMachinesTest {
  private static List<String> scaledIn(Scheduler scheduler) {
    List<String> names = new ArrayList<>();
    for (Action action : SchedulerFixture.pendingActions(scheduler)) {
      if (action instanceof Action.ScaleIn scaleIn) {
        names.addAll(scaleIn.machines());
      }
    }
    return names;
  }

  @Test
  void requestsReplacementForOverdueMachineWhileOthersOfItsTypeBoot() {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    scheduler.onJob(SchedulerFixture.array("j-1", 24), false, 5, 0.1, 0.1);
    scheduler.tick(1);
    List<String> requested = SchedulerFixture.completeScaleOuts(scheduler, 1.2);
    assertThat(requested).hasSizeGreaterThanOrEqualTo(6);
    // All machines but one boot within the nominal five seconds; the first one never does.
    long seq = 1;
    int additionalRequests = 0;
    for (double now = 6; now < 24; now += 1) {
      for (String machine : requested.subList(1, requested.size())) {
        SchedulerFixture.exchangeHeartbeat(scheduler, machine, 1, seq, now);
      }
      seq++;
      scheduler.tick(now);
      SchedulerFixture.commitAll(scheduler, (long) (100 + now), now + 0.1);
      additionalRequests += SchedulerFixture.completeScaleOuts(scheduler, now + 0.2).size();
    }
    assertThat(additionalRequests).isEqualTo(1);
    assertThat(scaledIn(scheduler)).isEmpty(); // The overdue machine may still come up.
    scheduler.tick(40);
    assertThat(scaledIn(scheduler)).contains(requested.get(0));
  }

  @Test
  void keepsBootingMachinesAndLimitsNewRequestsWhenAllBootsStall() {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    scheduler.onJob(SchedulerFixture.array("j-1", 24), false, 5, 0.1, 0.1);
    scheduler.tick(1);
    List<String> requested = SchedulerFixture.completeScaleOuts(scheduler, 1.2);
    int additionalRequests = 0;
    for (double now = 2; now < 100; now += 1) {
      scheduler.tick(now); // Until twenty times the nominal boot time of five seconds.
      additionalRequests += SchedulerFixture.completeScaleOuts(scheduler, now + 0.2).size();
    }
    assertThat(scaledIn(scheduler)).isEmpty();
    assertThat(additionalRequests).isLessThan(requested.size());
    for (String machine : requested) {
      SchedulerFixture.exchangeHeartbeat(scheduler, machine, 1, 1, 100);
    }
    for (String machine : requested) {
      SchedulerFixture.exchangeHeartbeat(scheduler, machine, 1, 2, 101);
    }
    SchedulerFixture.commitAll(scheduler, 200, 101.1);
    assertThat(SchedulerFixture.pendingLaunches(scheduler)).isEqualTo(24);
  }

  @Test
  void placesTasksOnMachineThatBootsBeforeItsScaleOutResponse() {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    scheduler.onJob(SchedulerFixture.array("j-1", 4), false, 5, 0.1, 0.1);
    scheduler.tick(1);
    SchedulerFixture.exchangeHeartbeat(scheduler, "n-1", 1, 1, 1.3);
    SchedulerFixture.commitAll(scheduler, 10, 1.4);
    assertThat(SchedulerFixture.pendingLaunches(scheduler)).isEqualTo(4);
    // The response adds the machines that it names and leaves the claims on n-1 unchanged.
    SchedulerFixture.completeScaleOuts(scheduler, 2);
    assertThat(SchedulerFixture.claimCount(scheduler, "n-1")).isEqualTo(4);
  }
}
