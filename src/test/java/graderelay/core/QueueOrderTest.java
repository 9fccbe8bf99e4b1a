package graderelay.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The order of jobs that compete for the same room, where some have a deadline and others a start
 * objective.
 */
class QueueOrderTest {
  private static final String FIRST_JOB = "j-000001";
  private static final String SECOND_JOB = "j-000002";

  /**
   * Among jobs of one priority, of which some have a deadline and others a start objective, the
   * group that meets more objectives per task goes first. A large array with a start objective does
   * not make a few small tasks late, and a large array with a deadline does not delay a small one.
   */
  @ParameterizedTest
  @CsvSource({"50, 4, true", "2, 100, false"})
  void jobsThatMeetMoreObjectivesPerTaskGoFirst(int waitingTasks, int dueTasks, boolean dueFirst) {
    Scheduler scheduler =
        SchedulerFixture.loadingScheduler(1, Map.of("batch", List.of(25.0, 120.0)));
    scheduler.onRecordsLoaded(0);
    scheduler.onJob(SchedulerFixture.array(FIRST_JOB, waitingTasks), false, 5, 0, 0);
    scheduler.onJob(SchedulerFixture.arrayWithDeadline(SECOND_JOB, dueTasks, 100), false, 6, 1, 1);
    SchedulerFixture.exchangeHeartbeat(scheduler, "n-1", 1, 1, 2); // Room for four tasks.
    SchedulerFixture.commitAll(scheduler, 10, 2.1);
    long due = SchedulerFixture.tasksStarted(scheduler, SECOND_JOB);
    long waiting = SchedulerFixture.tasksStarted(scheduler, FIRST_JOB);
    assertThat(due).isEqualTo(dueFirst ? 4 : 4 - waitingTasks);
    assertThat(waiting).isEqualTo(4 - due);
  }

  /**
   * A job of low priority with an urgent dependent is queued with its dependent's priority some
   * time before the start objective of its class passes, although the dependent's deadline is far
   * away.
   */
  @Test
  void jobTakesDependentsPriorityBeforeItsStartObjectivePasses() {
    Scheduler scheduler = SchedulerFixture.loadingScheduler(1, Map.of("batch", List.of(40.0)));
    scheduler.onRecordsLoaded(0);
    SchedulerFixture.exchangeHeartbeat(scheduler, "n-1", 1, 1, 0); // Room for four tasks.
    scheduler.onJob(SchedulerFixture.array(FIRST_JOB, 40), false, 5, 0, 0);
    SchedulerFixture.commitAll(scheduler, 10, 0.1);
    scheduler.onJob(
        SchedulerFixture.arrayWithPriority(SECOND_JOB, Priority.LOW, 1, null), false, 6, 1, 1);
    JobSpec dependent = SchedulerFixture.arrayWithPriority("j-000003", Priority.URGENT, 1, 900.0);
    scheduler.onJob(dependent.withDependencies(List.of(SECOND_JOB)), false, 7, 1, 1);
    for (int i = 2; i < 16; i += 2) {
      SchedulerFixture.runTasks(scheduler, "n-1", 2L * i, 0, i);
      scheduler.tick(i + 0.9);
    }
    assertThat(SchedulerFixture.logLines(scheduler)).noneMatch(line -> line.contains("preempt"));
    for (int i = 16; i < 30; i += 2) {
      SchedulerFixture.runTasks(scheduler, "n-1", 2L * i, 0, i);
      scheduler.tick(i + 0.9);
    }
    assertThat(SchedulerFixture.logLines(scheduler))
        .anyMatch(line -> line.contains("preempt j-000001"));
  }
}
