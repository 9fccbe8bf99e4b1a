package graderelay.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** On-demand machines requested for jobs with deadlines while no spot machines are available. */
class ScaleOutForDeadlinesTest {
  @Test
  void startObjectiveLongerThanBootTimeAllowsWaitingForSpot() {
    // With a start objective of 150 s, on-demand machines are requested only as far as the deadline
    // requires, since they can still boot in time.
    assertThat(onDemandMachines(150, 400)).isEqualTo(1);
    assertThat(onDemandMachines(10, 400)).isEqualTo(5);
    assertThat(onDemandMachines(150, 30)).isGreaterThan(2);
  }

  @Test
  void overdueJobOfClassWithStartObjectiveStillScalesOut() {
    // Submitted 500 s ago: the start objective and the deadline have passed, but it still must run.
    assertThat(onDemandMachines(150, 400, -500)).isEqualTo(2);
  }

  /**
   * Number of on-demand machines requested for twenty tasks of 10 s while the cloud has no spot
   * machines.
   */
  private static int onDemandMachines(double startObjectiveS, double deadlineS) {
    return onDemandMachines(startObjectiveS, deadlineS, 0);
  }

  private static int onDemandMachines(
      double startObjectiveS, double deadlineS, double submittedAt) {
    Scheduler scheduler =
        SchedulerFixture.loadingScheduler(1, Map.of("batch", List.of(startObjectiveS)));
    scheduler.onRecordsLoaded(0);
    scheduler.onJob(
        SchedulerFixture.arrayWithDeadline("j-1", 20, deadlineS), false, 5, submittedAt, 0);
    int machines = 0;
    for (int i = 1; i < 4; i++) {
      scheduler.tick(i);
      for (Action action : scheduler.takeActions()) {
        if (action instanceof Action.ScaleOut scaleOut && scaleOut.spot()) {
          scheduler.onScaleOutResponse(scaleOut.id(), null, true, i);
        } else if (action instanceof Action.ScaleOut scaleOut) {
          machines += scaleOut.count();
        }
      }
    }
    return machines;
  }
}
