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

  @Test
  void overdueJobGetsOnDemandMachineOnEmptyFleetWithoutSpotMachines() {
    // Guards against a job that waits for spot machines for good once its deadline has passed.
    assertThat(onDemandMachines(Map.of(), arrayOfTasks(10), -500)).isEqualTo(1);
  }

  @Test
  void overdueJobOfLongTasksGetsOnDemandMachineDespiteStartObjective() {
    // Guards against a bound on the run time up to which an overdue job still scales the fleet out.
    Map<String, List<Double>> objectives = Map.of("batch", List.of(150.0));
    assertThat(onDemandMachines(objectives, arrayOfTasks(400), -900)).isGreaterThan(0);
  }

  @Test
  void jobTooLargeForItsTeamsLimitGetsOnDemandMachinesBeforeItsDeadline() {
    // Guards against a job that waits for spot machines since no fleet could make it be in time.
    JobSpec job = SchedulerFixture.arrayWithDeadline("j-1", 400, 60);
    assertThat(onDemandMachines(Map.of(), job, 0)).isGreaterThan(0);
  }

  @Test
  void overdueJobTakesSpotMachinesWhereTheCloudHasThem() {
    // Guards against paying for on-demand machines for work that spot ones do as soon.
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    scheduler.onJob(arrayOfTasks(10), false, 5, -500, 0);
    scheduler.tick(1);
    assertThat(scheduler.takeActions())
        .filteredOn(Action.ScaleOut.class::isInstance)
        .isNotEmpty()
        .allMatch(action -> ((Action.ScaleOut) action).spot());
  }

  /** Twenty tasks with this run time, in seconds, and a deadline of 30 s. */
  private static JobSpec arrayOfTasks(double estimateS) {
    return JobSpecBuilder.array("j-1").tasks(20).estimateS(estimateS).deadlineS(30.0).build();
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
    return onDemandMachines(
        Map.of("batch", List.of(startObjectiveS)),
        SchedulerFixture.arrayWithDeadline("j-1", 20, deadlineS),
        submittedAt);
  }

  /** Number of on-demand machines requested for the job in three plans, without spot machines. */
  private static int onDemandMachines(
      Map<String, List<Double>> startObjectivesS, JobSpec job, double submittedAt) {
    Scheduler scheduler = SchedulerFixture.loadingScheduler(1, startObjectivesS);
    scheduler.onRecordsLoaded(0);
    scheduler.onJob(job, false, 5, submittedAt, 0);
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
