package graderelay.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** How many machines one fleet plan requests for many jobs. */
class ScaleOutPackingTest {
  private static final int JOBS = 24;
  private static final int TASKS_PER_MACHINE = 4;

  /** The spare capacity for two more jobs of this size. */
  private static final int SPARE_MACHINES = 1;

  @Test
  void jobsOfOneShapeShareTheMachinesThatThePlanAdds() {
    // Guards against a shape that stays full although a machine was added that takes it.
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    for (int i = 0; i < JOBS; i++) {
      scheduler.onJob(SchedulerFixture.array("j-" + i, 1), false, 5 + i, 0.1, 0.1);
    }
    scheduler.tick(1);
    assertThat(SchedulerFixture.completeScaleOuts(scheduler, 1.1))
        .hasSizeBetween(JOBS / TASKS_PER_MACHINE, JOBS / TASKS_PER_MACHINE + SPARE_MACHINES);
  }

  @Test
  void planGoesOnWhenTheTypeOfRequestedMachinesIsNoLongerListed() {
    // Guards against an exception in a tick, after which the leader has no ticks any more.
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    scheduler.onJob(SchedulerFixture.array("j-1", 1), false, 5, 0.1, 0.1);
    scheduler.tick(1);
    assertThat(SchedulerFixture.pendingActions(scheduler))
        .anyMatch(Action.ScaleOut.class::isInstance);
    MachineType other = new MachineType("other", 8, 0, 32, 1, 2, 0.8, 5, List.of("a"));
    scheduler.onMachineTypes(List.of(other));
    SchedulerFixture.pendingActions(scheduler).clear();
    scheduler.tick(3);
    assertThat(SchedulerFixture.pendingActions(scheduler))
        .filteredOn(Action.ScaleOut.class::isInstance)
        .singleElement()
        .satisfies(action -> assertThat(((Action.ScaleOut) action).type()).isEqualTo("other"));
  }
}
