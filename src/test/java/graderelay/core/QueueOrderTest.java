package graderelay.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The order of jobs that compete for the same room, where some are due and others want to start.
 */
class QueueOrderTest {
  private static final String WAITING = "j-000001";
  private static final String DUE = "j-000002";

  /**
   * Work of one priority with a deadline, and work with wanted waiting times: whichever gives more
   * jobs in time for its tasks goes first. A large array that wants to start does not let a few
   * small tasks be late, nor does a large one that is due hold up a small one.
   */
  @ParameterizedTest
  @CsvSource({"50, 4, true", "2, 100, false"})
  void whatGivesMoreJobsInTimeForItsTasksGoesFirst(
      int waitingTasks, int dueTasks, boolean dueFirst) {
    Scheduler scheduler =
        SchedulerFixture.loadingScheduler(1, Map.of("batch", List.of(25.0, 120.0)));
    scheduler.loaded(0);
    scheduler.onJob(SchedulerFixture.array(WAITING, waitingTasks), false, 5, 0, 0);
    scheduler.onJob(SchedulerFixture.arrayWithDeadline(DUE, dueTasks, 100), false, 6, 1, 1);
    SchedulerFixture.exchangeHeartbeat(scheduler, "n-1", 1, 1, 2); // Room for four.
    SchedulerFixture.commitAll(scheduler, 10, 2.1);
    long due = SchedulerFixture.tasksStarted(scheduler, DUE);
    long waiting = SchedulerFixture.tasksStarted(scheduler, WAITING);
    assertThat(due).isEqualTo(dueFirst ? 4 : 4 - waitingTasks);
    assertThat(waiting).isEqualTo(4 - due);
  }

  /**
   * A job with dependents of low priority goes by the priority of its dependent from some time
   * before its class's wanted wait is over, although its deadline is far away.
   */
  @Test
  void jobWithDependentsPressesBeforeItsWantedWaitIsOver() {
    Scheduler scheduler = SchedulerFixture.loadingScheduler(1, Map.of("batch", List.of(40.0)));
    scheduler.loaded(0);
    SchedulerFixture.exchangeHeartbeat(scheduler, "n-1", 1, 1, 0); // Room for four.
    scheduler.onJob(SchedulerFixture.array(WAITING, 40), false, 5, 0, 0);
    SchedulerFixture.commitAll(scheduler, 10, 0.1);
    scheduler.onJob(SchedulerFixture.arrayWithPriority(DUE, Priority.LOW, 1, null), false, 6, 1, 1);
    JobSpec last = SchedulerFixture.arrayWithPriority("j-000003", Priority.URGENT, 1, 900.0);
    scheduler.onJob(last.needing(List.of(DUE)), false, 7, 1, 1);
    for (int i = 2; i < 16; i += 2) {
      SchedulerFixture.runTasks(scheduler, "n-1", 2L * i, 0, i);
      scheduler.tick(i + 0.9);
    }
    assertThat(SchedulerFixture.logLines(scheduler)).noneMatch(n -> n.contains("preempt"));
    for (int i = 16; i < 30; i += 2) {
      SchedulerFixture.runTasks(scheduler, "n-1", 2L * i, 0, i);
      scheduler.tick(i + 0.9);
    }
    assertThat(SchedulerFixture.logLines(scheduler)).anyMatch(n -> n.contains("preempt j-000001"));
  }
}
