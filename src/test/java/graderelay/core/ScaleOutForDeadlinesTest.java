package graderelay.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which machines a scale out requests for work that may wait for its deadline. */
class ScaleOutForDeadlinesTest {
  @Test
  void wantedStartWithinMinutesLeavesDeadlineWorkPatient() {
    // It need not start before a machine boots, so on-demand instances are scaled out only as it
    // presses.
    assertThat(onDemand(150, 400)).isEqualTo(1);
    assertThat(onDemand(10, 400)).isEqualTo(5);
    assertThat(onDemand(150, 30)).isGreaterThan(2);
  }

  @Test
  void overdueWorkOfClassWithWantedStartStillScalesOut() {
    // All that was wanted of it is over, and it still has to run.
    assertThat(onDemand(150, 400, -500)).isEqualTo(2);
  }

  /**
   * On-demand instances scaled out for twenty tasks of 10 s while there are no others to be had.
   */
  private static int onDemand(double wait, double deadline) {
    return onDemand(wait, deadline, 0);
  }

  private static int onDemand(double wait, double deadline, double submittedAt) {
    Scheduler s = SchedulerFixture.loadingScheduler(1, Map.of("batch", List.of(wait)));
    s.loaded(0);
    s.onJob(SchedulerFixture.arrayWithDeadline("j-1", 20, deadline), false, 5, submittedAt, 0);
    int onDemand = 0;
    for (int i = 1; i < 4; i++) {
      s.tick(i);
      for (Action a : s.take()) {
        if (a instanceof Action.ScaleOut h && h.spot()) {
          s.onScaleOutAnswered(h.id(), null, true, i);
        } else if (a instanceof Action.ScaleOut h) {
          onDemand += h.count();
        }
      }
    }
    return onDemand;
  }
}
