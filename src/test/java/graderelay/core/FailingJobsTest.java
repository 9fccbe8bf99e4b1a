package graderelay.core;

import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.world;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * Failures are attributed to the right side: a job that fails on every machine must not take
 * machines out of use, and a machine that fails every job must not discredit the jobs.
 */
class FailingJobsTest {
  /** Removes the pending direct commands and returns their launches by machine. */
  private static Map<String, List<WorkerCommand.Launch>> takeLaunches(Scheduler scheduler) {
    Map<String, List<WorkerCommand.Launch>> launchesByMachine = new TreeMap<>();
    for (Action action : new ArrayList<>(SchedulerFixture.pendingActions(scheduler))) {
      if (action instanceof Action.SendCommands sentCommands) {
        SchedulerFixture.pendingActions(scheduler).remove(action);
        for (WorkerCommand command : sentCommands.commands()) {
          if (command instanceof WorkerCommand.Launch launch) {
            launchesByMachine
                .computeIfAbsent(sentCommands.machine(), machine -> new ArrayList<>())
                .add(launch);
          }
        }
      }
    }
    return launchesByMachine;
  }

  /** Sends heartbeats in which all launched attempts have exited with the given reason. */
  private static int exitLaunchedAttempts(
      Scheduler scheduler, String exitReason, long seq, double now) {
    return exitLaunchedAttempts(scheduler, machine -> exitReason, seq, now);
  }

  /** Sends heartbeats in which all launched attempts have exited, with a reason by machine. */
  private static int exitLaunchedAttempts(
      Scheduler scheduler, UnaryOperator<String> exitReasonByMachine, long seq, double now) {
    int exitedCount = 0;
    for (var machineLaunches : takeLaunches(scheduler).entrySet()) {
      String exitReason = exitReasonByMachine.apply(machineLaunches.getKey());
      List<Heartbeat.TaskStatus> statuses = new ArrayList<>();
      for (WorkerCommand.Launch launch : machineLaunches.getValue()) {
        statuses.add(
            new Heartbeat.TaskStatus(
                launch.task(), launch.attempt(), Heartbeat.Stage.EXITED, exitReason, false));
        exitedCount++;
      }
      Heartbeat heartbeat =
          SchedulerFixture.heartbeat(
              machineLaunches.getKey(),
              1,
              seq,
              scheduler.term(),
              statuses.toArray(new Heartbeat.TaskStatus[0]));
      scheduler.onHeartbeat(heartbeat, now);
      scheduler.onHeartbeatResponse(machineLaunches.getKey(), now);
    }
    return exitedCount;
  }

  private static long countUnavailableMachines(Scheduler scheduler, double now) {
    return scheduler.machines(now).stream()
        .filter(
            machine -> machine.state().equals("quarantined") || machine.state().equals("draining"))
        .count();
  }

  private static Scheduler schedulerWithMachines(int machines) {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    for (int i = 0; i < machines; i++) {
      SchedulerFixture.exchangeHeartbeat(scheduler, "n-" + i, 1, 1, 0);
    }
    return scheduler;
  }

  private static void exchangeHeartbeats(Scheduler scheduler, int machines, long seq, double now) {
    for (int i = 0; i < machines; i++) {
      SchedulerFixture.exchangeHeartbeat(scheduler, "n-" + i, 1, seq, now);
    }
  }

  @Test
  void failingArrayQuarantinesNoMachineAndIsRetriedTaskByTask() {
    Scheduler scheduler = schedulerWithMachines(6);
    scheduler.onJob(SchedulerFixture.array("j-1", 24), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(scheduler, 10, 0.2);
    assertThat(exitLaunchedAttempts(scheduler, "error", 2, 0.5)).isEqualTo(24);
    assertThat(countUnavailableMachines(scheduler, 0.5)).isZero();
    SchedulerFixture.commitAll(scheduler, 11, 0.6);
    assertThat(takeLaunches(scheduler)).isEmpty();
    List<Double> retryTimes = new ArrayList<>();
    long seq = 3;
    for (double now = 1; now < 120; now += 1) {
      exchangeHeartbeats(scheduler, 6, seq++, now);
      scheduler.tick(now);
      SchedulerFixture.commitAll(scheduler, (long) (100 + now), now + 0.1);
      int exitedCount = exitLaunchedAttempts(scheduler, "error", seq++, now + 0.4);
      assertThat(exitedCount).isLessThanOrEqualTo(1);
      if (exitedCount > 0) {
        retryTimes.add(now);
      }
    }
    assertThat(retryTimes).hasSizeBetween(4, 9); // A pause of two seconds, doubled each time.
    assertThat(countUnavailableMachines(scheduler, 120)).isZero();
    assertThat(SchedulerFixture.logLines(scheduler))
        .noneMatch(line -> line.contains("fails tasks of several jobs"));
  }

  @Test
  void faultyMachineIsDetectedDespiteFailingJob() {
    Scheduler scheduler = schedulerWithMachines(6);
    scheduler.onJob(SchedulerFixture.array("j-1", 24), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(scheduler, 10, 0.2);
    exitLaunchedAttempts(scheduler, "error", 2, 0.5);
    // Three healthy jobs, of which only the attempts on n-0 fail.
    for (int jobNumber = 2; jobNumber <= 4; jobNumber++) {
      scheduler.onJob(
          SchedulerFixture.array("j-" + jobNumber, 8), false, 5, 1.0 + jobNumber, 1.0 + jobNumber);
      SchedulerFixture.commitAll(scheduler, 10 + jobNumber, 1.1 + jobNumber);
      exitLaunchedAttempts(
          scheduler,
          machine -> machine.equals("n-0") ? "error" : "done",
          10 + jobNumber,
          1.5 + jobNumber);
      SchedulerFixture.commitAll(scheduler, 20 + jobNumber, 1.6 + jobNumber);
    }
    assertThat(
            scheduler.machines(6).stream()
                .filter(machine -> !machine.state().equals("up"))
                .map(machine -> machine.name()))
        .containsExactly("n-0");
  }

  @Test
  void jobThatFailedOnlyOnFaultyMachinesIsSoonPlacedInFull() {
    Scheduler scheduler = schedulerWithMachines(3);
    scheduler.onJob(SchedulerFixture.array("j-1", 12), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(scheduler, 10, 0.2);
    assertThat(exitLaunchedAttempts(scheduler, "error", 2, 0.5)).isEqualTo(12);
    // From now on the machines work, as after a recovery or a replacement.
    long seq = 3;
    int maxStarted = 0;
    for (double now = 1; now < 14 && maxStarted < 2; now += 0.5) {
      exchangeHeartbeats(scheduler, 3, seq++, now);
      scheduler.tick(now);
      SchedulerFixture.commitAll(scheduler, (long) (100 + now * 2), now + 0.1);
      maxStarted = Math.max(maxStarted, exitLaunchedAttempts(scheduler, "done", seq++, now + 0.3));
    }
    assertThat(maxStarted).isEqualTo(11); // All tasks but the one whose retry succeeded.
  }

  @Test
  void failingJobNeitherScalesOutNorPreempts() {
    Scheduler scheduler = schedulerWithMachines(6);
    scheduler.onJob(SchedulerFixture.array("j-1", 24), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(scheduler, 10, 0.2);
    exitLaunchedAttempts(scheduler, "error", 2, 0.5);
    scheduler.tick(1);
    // A healthy job uses all resources, so the failing job would need a scale-out or a preemption.
    scheduler.onJob(SchedulerFixture.array("j-2", 24), false, 6, 1.1, 1.1);
    SchedulerFixture.commitAll(scheduler, 11, 1.2);
    SchedulerFixture.pendingActions(scheduler).clear();
    long seq = 3;
    for (double now = 2; now < 40; now += 1) {
      exchangeHeartbeats(scheduler, 6, seq++, now);
      scheduler.tick(now);
      SchedulerFixture.commitAll(scheduler, (long) (100 + now), now + 0.1);
    }
    assertThat(SchedulerFixture.pendingActions(scheduler))
        .noneMatch(action -> action instanceof Action.ScaleOut);
    assertThat(SchedulerFixture.logLines(scheduler)).noneMatch(line -> line.startsWith("preempt"));
  }

  @Test
  void failingJobIsReportedByAdminApiAndStopsStartingAfterCancellation() {
    SimWorld world = world(61, 3);
    SimJob failingJob = world.users.job("j-000061", 12, 1, 20, false);
    failingJob.failing = true;
    final SimJob healthyJob = world.users.job("j-000062", 8, 1, 10, false);
    world.users.submit(0, failingJob);
    world.loop.run(24); // Between two trials of one task, the second of which begins at 25 s.
    assertThat(
            world
                .users
                .answer(1, "GET", "/admin/jobs/j-000061", null)
                .path("waits_because")
                .asText())
        .contains("fails on every machine");
    world.users.submit(1, healthyJob);
    world.loop.run(30);
    assertThat(world.users.stage(2, healthyJob.id)).isEqualTo("done");
    assertThat(world.users.stage(2, failingJob.id)).isIn("pending", "running");
    world.users.cancel(0, failingJob);
    world.loop.run(3);
    assertThat(world.users.stage(1, failingJob.id)).isEqualTo("cancelled");
    int startsBefore = world.invariants.starts;
    world.loop.run(60);
    assertThat(world.invariants.starts).isEqualTo(startsBefore);
    fine(world);
  }
}
