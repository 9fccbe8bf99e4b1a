package graderelay.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Which tasks are preempted for which jobs, and for which tasks room is reserved. */
class PreemptionTest {
  private static Scheduler schedulerWithMachines(int machines) {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    for (int i = 0; i < machines; i++) {
      SchedulerFixture.exchangeHeartbeat(scheduler, "n-" + i, 1, 1, 0);
    }
    return scheduler;
  }

  private static void sendHeartbeats(Scheduler scheduler, int machines, long seq, double now) {
    for (int i = 0; i < machines; i++) {
      SchedulerFixture.exchangeHeartbeat(scheduler, "n-" + i, 1, seq, now);
    }
  }

  /**
   * A full fleet of five machines, within the team's limit: this many tasks of low priority, the
   * rest of an array of normal priority.
   */
  private static Scheduler schedulerWithFullFleet(int lowPriorityTasks) {
    Scheduler scheduler = schedulerWithMachines(5);
    scheduler.onJob(
        SchedulerFixture.arrayWithPriority("j-1", Priority.LOW, lowPriorityTasks, null),
        false,
        5,
        0.1,
        0.1);
    SchedulerFixture.commitAll(scheduler, 10, 0.2);
    scheduler.onJob(SchedulerFixture.array("j-2", 20 - lowPriorityTasks), false, 6, 0.3, 0.3);
    SchedulerFixture.commitAll(scheduler, 11, 0.4);
    return scheduler;
  }

  private static long preemptionCount(Scheduler scheduler) {
    return SchedulerFixture.logLines(scheduler).stream()
        .filter(line -> line.startsWith("preempt"))
        .count();
  }

  @Test
  void littleLowerPriorityWorkIsPreemptedForServicesButNotForArrays() {
    Scheduler scheduler = schedulerWithFullFleet(2);
    scheduler.onJob(
        SchedulerFixture.arrayWithPriority("j-3", Priority.URGENT, 4, null), false, 7, 0.5, 0.5);
    SchedulerFixture.commitAll(scheduler, 12, 0.6);
    // Normal and low work together are far more than a tenth of the fleet, so they are preempted,
    // the low work first.
    assertThat(preemptionCount(scheduler)).isEqualTo(4);
    Scheduler arrayScheduler = schedulerWithFullFleet(2);
    arrayScheduler.onJob(SchedulerFixture.array("j-3", 4), false, 7, 0.5, 0.5);
    SchedulerFixture.commitAll(arrayScheduler, 12, 0.6);
    assertThat(preemptionCount(arrayScheduler)).isZero();
    arrayScheduler.onJob(SchedulerFixture.service("j-4", 1), false, 8, 0.7, 0.7);
    SchedulerFixture.commitAll(arrayScheduler, 13, 0.8);
    assertThat(preemptionCount(arrayScheduler)).isEqualTo(1);
  }

  @Test
  void largeShareOfLowerPriorityWorkIsPreemptedForArrays() {
    Scheduler scheduler = schedulerWithFullFleet(12);
    scheduler.onJob(SchedulerFixture.array("j-3", 4), false, 7, 0.5, 0.5);
    SchedulerFixture.commitAll(scheduler, 12, 0.6);
    assertThat(preemptionCount(scheduler)).isEqualTo(4);
  }

  @Test
  void jobPreemptsBeyondItsGuaranteeOnlyWhenItsDeadlineIsNear() {
    Scheduler scheduler = schedulerWithMachines(5);
    scheduler.onJob(
        SchedulerFixture.arrayWithPriority("j-1", Priority.LOW, 20, null), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(scheduler, 10, 0.2);
    // The team's guarantee of 8 is used up; the estimate is ten seconds.
    scheduler.onJob(
        SchedulerFixture.arrayWithPriority("j-2", Priority.NORMAL, 4, 60.0), false, 6, 0.3, 0.3);
    scheduler.tick(1);
    SchedulerFixture.commitAll(scheduler, 11, 1.1);
    assertThat(preemptionCount(scheduler)).isZero();
    sendHeartbeats(scheduler, 5, 2, 45);
    scheduler.tick(45);
    SchedulerFixture.commitAll(scheduler, 12, 45.1);
    assertThat(preemptionCount(scheduler)).isEqualTo(4);
  }

  @Test
  void machineGetsNoMoreTasksThanItsHeartbeatCanList() {
    Scheduler scheduler = schedulerWithMachines(2);
    scheduler.onJob(SchedulerFixture.tinyTaskArray("j-1", 3000), false, 5, 0.1, 0.1);
    for (int i = 0; i < 20; i++) {
      SchedulerFixture.commitAll(scheduler, 10 + i, 0.2 + i * 0.1);
    }
    for (int i = 0; i < 2; i++) {
      assertThat(SchedulerFixture.claimCount(scheduler, "n-" + i))
          .isEqualTo(SchedulerLimits.MAX_TASKS_PER_MACHINE);
    }
    scheduler.tick(3);
    // The fleet plan applies the same limit and scales out enough machines for the other tasks.
    assertThat(SchedulerFixture.completeScaleOuts(scheduler, 3.1)).hasSizeGreaterThanOrEqualTo(6);
  }

  @Test
  void leaseExpiryDuringResponseIsNotReportedAsLostResponses() {
    Scheduler scheduler = SchedulerFixture.scheduler(7);
    scheduler.onHeartbeat(SchedulerFixture.heartbeat("n-1", 1, 90, 6), 1);
    scheduler.onHeartbeatResponse("n-1", 1);
    // The worker dropped the response: its lease expired while the response was in flight.
    scheduler.onHeartbeat(SchedulerFixture.heartbeat("n-1", 2, 91, 6), 2);
    assertThat(SchedulerFixture.logLines(scheduler))
        .noneMatch(line -> line.contains("does not receive heartbeat responses"));
    scheduler.onHeartbeatResponse("n-1", 2);
    scheduler.onHeartbeat(SchedulerFixture.heartbeat("n-1", 2, 92, 7), 4);
    scheduler.onHeartbeatResponse("n-1", 4);
    scheduler.onHeartbeat(SchedulerFixture.heartbeat("n-1", 3, 93, 7), 6);
    assertThat(SchedulerFixture.logLines(scheduler))
        .anyMatch(line -> line.contains("does not receive heartbeat responses"));
  }

  @Test
  void lowPriorityJobStartsWithinFourMinutesOnFleetFullOfUrgentWork() {
    Scheduler scheduler = schedulerWithMachines(1);
    scheduler.onJob(
        SchedulerFixture.arrayWithPriority("j-1", Priority.URGENT, 24, null), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(scheduler, 10, 0.2);
    scheduler.onJob(
        SchedulerFixture.arrayWithPriority("j-2", Priority.LOW, 50, null), false, 6, 0.3, 0.3);
    long seq = 2;
    for (double now = 1; now < 240; now += 2) {
      // One task ends every few seconds, and another urgent one is always waiting.
      SchedulerFixture.runTasks(scheduler, "n-0", seq, now % 11 < 2 ? 1 : 0, now);
      seq += 2;
      scheduler.onJob(
          SchedulerFixture.arrayWithPriority("j-9" + (int) now, Priority.URGENT, 1, null),
          false,
          7,
          now,
          now);
      SchedulerFixture.commitAll(scheduler, 20 + (long) now, now + 0.7);
    }
    assertThat(SchedulerFixture.tasksStarted(scheduler, "j-2")).isEqualTo(1);
  }

  @Test
  void lowerPriorityWorkDoesNotTakeRoomOfTasksAwaitingCommit() {
    Scheduler scheduler = schedulerWithMachines(5);
    // Only one task of the urgent array fits at first, so its record is being written while the
    // others still wait.
    scheduler.onJob(
        SchedulerFixture.arrayWithPriority("j-0", Priority.URGENT, 19, null), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(scheduler, 10, 0.2);
    scheduler.onJob(
        SchedulerFixture.arrayWithPriority("j-1", Priority.URGENT, 4, null), false, 6, 0.3, 0.3);
    scheduler.step(0.4); // Its first claim is sent and has no outcome yet.
    scheduler.onJob(
        SchedulerFixture.arrayWithPriority("j-2", Priority.LOW, 100, null), false, 7, 0.5, 0.5);
    scheduler.step(0.6);
    int before = SchedulerFixture.changesInFlight(scheduler);
    // Of the four slots of a new machine, three are reserved for the tasks that wait for the
    // outcome.
    SchedulerFixture.exchangeHeartbeat(scheduler, "n-5", 1, 1, 0.7);
    scheduler.step(0.8);
    assertThat(SchedulerFixture.changesInFlight(scheduler) - before).isEqualTo(1);
    SchedulerFixture.commitAll(scheduler, 11, 0.9);
    SchedulerFixture.commitAll(scheduler, 12, 1.0);
    assertThat(SchedulerFixture.tasksStarted(scheduler, "j-1")).isEqualTo(4);
    assertThat(SchedulerFixture.tasksStarted(scheduler, "j-2")).isEqualTo(1);
    assertThat(preemptionCount(scheduler)).isZero();
  }

  @Test
  void noRoomIsReservedForTasksBeyondTheirTeamsLimit() {
    Scheduler scheduler = schedulerWithMachines(7);
    // The team's limit is 24 of the 28 slots.
    scheduler.onJob(
        SchedulerFixture.arrayWithPriority("j-0", Priority.URGENT, 60, null), false, 5, 0.1, 0.1);
    scheduler.step(0.2); // Its record is being written, with 36 tasks still open.
    int before = SchedulerFixture.changesInFlight(scheduler);
    scheduler.onJob(SchedulerFixture.unlimitedTeamArray("j-1", 4), false, 6, 0.3, 0.3);
    scheduler.step(0.4);
    assertThat(SchedulerFixture.changesInFlight(scheduler) - before).isEqualTo(1);
    SchedulerFixture.commitAll(scheduler, 11, 0.5);
    assertThat(SchedulerFixture.tasksStarted(scheduler, "j-1")).isEqualTo(4);
  }
}
