package graderelay.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Whose tasks are stopped for whom, and for whom room is kept. */
class PreemptionTest {
  private static Scheduler fleet(int machines) {
    Scheduler s = SchedulerFixture.scheduler(1);
    for (int i = 0; i < machines; i++) {
      SchedulerFixture.exchangeHeartbeat(s, "n-" + i, 1, 1, 0);
    }
    return s;
  }

  private static void heard(Scheduler s, int machines, long seq, double now) {
    for (int i = 0; i < machines; i++) {
      SchedulerFixture.exchangeHeartbeat(s, "n-" + i, 1, seq, now);
    }
  }

  /**
   * A full fleet of five machines below the limit, most of it work of one array and little of a
   * lower one.
   */
  private static Scheduler fullWith(int lower) {
    Scheduler s = fleet(5);
    s.onJob(
        SchedulerFixture.arrayWithPriority("j-1", Priority.LOW, lower, null), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(s, 10, 0.2);
    s.onJob(SchedulerFixture.array("j-2", 20 - lower), false, 6, 0.3, 0.3);
    SchedulerFixture.commitAll(s, 11, 0.4);
    return s;
  }

  private static long preempted(Scheduler s) {
    return SchedulerFixture.logLines(s).stream().filter(x -> x.startsWith("preempt")).count();
  }

  @Test
  void slightlyLowerWorkIsPreemptedForServicesButNotForArrays() {
    Scheduler s = fullWith(2);
    s.onJob(
        SchedulerFixture.arrayWithPriority("j-3", Priority.URGENT, 4, null), false, 7, 0.5, 0.5);
    SchedulerFixture.commitAll(s, 12, 0.6);
    // What is normal is far more than a tenth, so that it yields, and the little below it first.
    assertThat(preempted(s)).isEqualTo(4);
    Scheduler t = fullWith(2);
    t.onJob(SchedulerFixture.array("j-3", 4), false, 7, 0.5, 0.5);
    SchedulerFixture.commitAll(t, 12, 0.6);
    assertThat(preempted(t)).isZero();
    t.onJob(SchedulerFixture.service("j-4", 1), false, 8, 0.7, 0.7);
    SchedulerFixture.commitAll(t, 13, 0.8);
    assertThat(preempted(t)).isEqualTo(1);
  }

  @Test
  void muchLowerWorkYieldsUntilLittleIsLeft() {
    Scheduler s = fullWith(12);
    s.onJob(SchedulerFixture.array("j-3", 4), false, 7, 0.5, 0.5);
    SchedulerFixture.commitAll(s, 12, 0.6);
    assertThat(preempted(s)).isEqualTo(4);
  }

  @Test
  void workWithTimeBeforeItsDeadlineStopsNobodyUntilItPresses() {
    Scheduler s = fleet(5);
    s.onJob(SchedulerFixture.arrayWithPriority("j-1", Priority.LOW, 20, null), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(s, 10, 0.2);
    // The team's guarantee of 8 is used up; the estimate is ten seconds.
    s.onJob(
        SchedulerFixture.arrayWithPriority("j-2", Priority.NORMAL, 4, 60.0), false, 6, 0.3, 0.3);
    s.tick(1);
    SchedulerFixture.commitAll(s, 11, 1.1);
    assertThat(preempted(s)).isZero();
    heard(s, 5, 2, 45);
    s.tick(45);
    SchedulerFixture.commitAll(s, 12, 45.1);
    assertThat(preempted(s)).isEqualTo(4);
  }

  @Test
  void machineGetsNoMoreTasksThanItsHeartbeatCanName() {
    Scheduler s = fleet(2);
    s.onJob(SchedulerFixture.tinyTaskArray("j-1", 3000), false, 5, 0.1, 0.1);
    for (int i = 0; i < 20; i++) {
      SchedulerFixture.commitAll(s, 10 + i, 0.2 + i * 0.1);
    }
    for (int i = 0; i < 2; i++) {
      assertThat(SchedulerFixture.claimCount(s, "n-" + i))
          .isEqualTo(SchedulerLimits.MOST_ON_MACHINE);
    }
    s.tick(3);
    // And the plan knows it: for what is left it scales out as many machines as that takes.
    assertThat(SchedulerFixture.completeScaleOuts(s, 3.1)).hasSizeGreaterThanOrEqualTo(6);
  }

  @Test
  void leaseThatEndsJustAsTheNewLeaderAnswersIsNoSignOfDeafness() {
    Scheduler s = SchedulerFixture.scheduler(7);
    s.onHeartbeat(SchedulerFixture.heartbeat("n-1", 1, 90, 6), 1);
    s.onHeartbeatAnswered("n-1", 1);
    // It dropped the answer: its lease had ended while the answer was on its way.
    s.onHeartbeat(SchedulerFixture.heartbeat("n-1", 2, 91, 6), 2);
    assertThat(SchedulerFixture.logLines(s)).noneMatch(n -> n.contains("does not hear us"));
    s.onHeartbeatAnswered("n-1", 2);
    s.onHeartbeat(SchedulerFixture.heartbeat("n-1", 2, 92, 7), 4);
    s.onHeartbeatAnswered("n-1", 4);
    s.onHeartbeat(SchedulerFixture.heartbeat("n-1", 3, 93, 7), 6);
    assertThat(SchedulerFixture.logLines(s)).anyMatch(n -> n.contains("does not hear us"));
  }

  @Test
  void guestJobBeginsWithinFourMinutesAlthoughWorkAboveItFillsTheFleet() {
    Scheduler s = fleet(1);
    s.onJob(
        SchedulerFixture.arrayWithPriority("j-1", Priority.URGENT, 24, null), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(s, 10, 0.2);
    s.onJob(SchedulerFixture.arrayWithPriority("j-2", Priority.LOW, 50, null), false, 6, 0.3, 0.3);
    long seq = 2;
    for (double now = 1; now < 240; now += 2) {
      // One task ends every few seconds, and there is always another urgent one.
      SchedulerFixture.runTasks(s, "n-0", seq, now % 11 < 2 ? 1 : 0, now);
      seq += 2;
      s.onJob(
          SchedulerFixture.arrayWithPriority("j-9" + (int) now, Priority.URGENT, 1, null),
          false,
          7,
          now,
          now);
      SchedulerFixture.commitAll(s, 20 + (long) now, now + 0.7);
    }
    assertThat(SchedulerFixture.tasksStarted(s, "j-2")).isEqualTo(1);
  }

  @Test
  void lowerWorkDoesNotTakeTheRoomOfTasksWhoseRecordIsBeingChanged() {
    Scheduler s = fleet(5);
    // One task of the urgent array fits at first, so that its record is on the way for the rest.
    s.onJob(
        SchedulerFixture.arrayWithPriority("j-0", Priority.URGENT, 19, null), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(s, 10, 0.2);
    s.onJob(
        SchedulerFixture.arrayWithPriority("j-1", Priority.URGENT, 4, null), false, 6, 0.3, 0.3);
    s.step(0.4); // Its first claim is sent, and not answered.
    s.onJob(SchedulerFixture.arrayWithPriority("j-2", Priority.LOW, 100, null), false, 7, 0.5, 0.5);
    s.step(0.6);
    int before = SchedulerFixture.changesInFlight(s);
    // A machine comes up: its room belongs to the three that wait for the answer, and one is left.
    SchedulerFixture.exchangeHeartbeat(s, "n-5", 1, 1, 0.7);
    s.step(0.8);
    assertThat(SchedulerFixture.changesInFlight(s) - before).isEqualTo(1);
    SchedulerFixture.commitAll(s, 11, 0.9);
    SchedulerFixture.commitAll(s, 12, 1.0);
    assertThat(SchedulerFixture.tasksStarted(s, "j-1")).isEqualTo(4);
    assertThat(SchedulerFixture.tasksStarted(s, "j-2")).isEqualTo(1);
    assertThat(preempted(s)).isZero();
  }

  @Test
  void noRoomIsKeptForTasksThatTheirTeamsLimitKeepsFromRunning() {
    Scheduler s = fleet(7);
    // The team may have 24 of the 28 slots.
    s.onJob(
        SchedulerFixture.arrayWithPriority("j-0", Priority.URGENT, 60, null), false, 5, 0.1, 0.1);
    s.step(0.2); // Its record is on the way, with 36 tasks still open.
    int before = SchedulerFixture.changesInFlight(s);
    s.onJob(SchedulerFixture.unlimitedTeamArray("j-1", 4), false, 6, 0.3, 0.3);
    s.step(0.4);
    assertThat(SchedulerFixture.changesInFlight(s) - before).isEqualTo(1);
    SchedulerFixture.commitAll(s, 11, 0.5);
    assertThat(SchedulerFixture.tasksStarted(s, "j-1")).isEqualTo(4);
  }
}
