package graderelay.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Machines requested for a job that no machine of the fleet can ever take, while the cloud has no
 * spot machines. The fleet's machines are of type small: 4 CPUs, 16 GB.
 */
class JobsWithoutMachineTest {
  private static final double AMPLE_DEADLINE_S = 400;

  private final Scheduler scheduler = SchedulerFixture.scheduler(1);

  private void registerMachines(int count) {
    for (int i = 0; i < count; i++) {
      SchedulerFixture.registerMachine(scheduler, SchedulerFixture.machineName(i), 0.1);
    }
  }

  /** Submits the job; returns the on-demand machines requested for it in three plans. */
  private List<Action.ScaleOut> onDemandRequestsFor(JobSpec spec) {
    scheduler.onJob(spec, false, 5, 0.2, 0.2);
    return onDemandRequests(1);
  }

  /** The on-demand machines requested in three plans; requests of spot machines are refused. */
  private List<Action.ScaleOut> onDemandRequests(double from) {
    List<Action.ScaleOut> onDemand = new ArrayList<>();
    for (double now = from; now < from + 3; now++) {
      scheduler.tick(now);
      for (Action action : new ArrayList<>(SchedulerFixture.pendingActions(scheduler))) {
        if (action instanceof Action.ScaleOut scaleOut) {
          SchedulerFixture.pendingActions(scheduler).remove(action);
          if (scaleOut.spot()) {
            scheduler.onScaleOutResponse(scaleOut.id(), null, true, now);
          } else {
            onDemand.add(scaleOut);
          }
        }
      }
    }
    return onDemand;
  }

  private static JobSpecBuilder arrayWithDeadline() {
    return JobSpecBuilder.array("j-1").tasks(2).deadlineS(AMPLE_DEADLINE_S);
  }

  @Test
  void jobBoundToZoneWithoutMachinesGetsOneBesideIdleMachinesOfAnotherZone() {
    // Guards against counting CPUs in other zones as room for a job that may not use them.
    registerMachines(3);
    assertThat(onDemandRequestsFor(arrayWithDeadline().zone("b").build()))
        .singleElement()
        .satisfies(request -> assertThat(request.zone()).isEqualTo("b"))
        .satisfies(request -> assertThat(request.count()).isEqualTo(1));
  }

  @Test
  void jobGetsMachineWhereServicesHaveTheMemoryOfAllMachines() {
    // Guards against counting CPUs on machines whose memory services keep as room for the job.
    registerMachines(1);
    JobSpec service = JobSpecBuilder.service("j-0").memGb(16).build();
    scheduler.onJob(service, false, 4, 0.1, 0.1);
    SchedulerFixture.commitAll(scheduler, 100, 0.2);
    assertThat(SchedulerFixture.claimCount(scheduler, SchedulerFixture.machineName(0)))
        .isEqualTo(1);
    assertThat(onDemandRequestsFor(arrayWithDeadline().build())).hasSize(1);
  }

  @Test
  void jobThatCanTakeItsTurnGetsNoOnDemandMachine() {
    // Guards against paying for on-demand machines where work in time, or other work, ends first.
    registerMachines(1);
    fillMachineWithTasksOf(10);
    assertThat(onDemandRequestsFor(arrayWithDeadline().build())).isEmpty();
  }

  @Test
  void jobGetsMachineWhereLongRunningWorkHasAllMachines() {
    // Guards against counting CPUs that other arrays keep for hours as room for work with
    // deadlines.
    registerMachines(1);
    fillMachineWithTasksOf(10_000);
    assertThat(onDemandRequestsFor(arrayWithDeadline().build())).hasSize(1);
  }

  /** Fills the only machine with tasks, without a deadline, of this run time in seconds. */
  private void fillMachineWithTasksOf(double estimateS) {
    JobSpec running = JobSpecBuilder.array("j-0").tasks(4).estimateS(estimateS).build();
    scheduler.onJob(running, false, 4, 0.1, 0.1);
    SchedulerFixture.commitAll(scheduler, 100, 0.2);
    assertThat(SchedulerFixture.claimCount(scheduler, SchedulerFixture.machineName(0)))
        .isEqualTo(4);
  }

  @Test
  void jobThatWaitsForSpotMachinesLeavesItsTeamsLimitToTeammates() {
    // Guards against a plan in which tasks without a machine use up their team's limit.
    JobSpec patient = arrayWithDeadline().tasks(24).deadlineS(4000.0).build();
    scheduler.onJob(patient, false, 4, 0.1, 0.1);
    List<Action.ScaleOut> forPatient = onDemandRequests(1);
    assertThat(forPatient).singleElement().matches(request -> request.count() == 1);
    JobSpec teammate = JobSpecBuilder.array("j-2").tasks(4).onDemandOnly().build();
    scheduler.onJob(teammate, false, 5, 5, 5);
    assertThat(onDemandRequests(5)).isNotEmpty();
  }

  @Test
  void serviceBoundToZoneOfItsReplicasGetsMachineThere() {
    // Guards against counting room in a zone that the job's other tasks rule out.
    registerMachines(1);
    JobSpec service = JobSpecBuilder.service("j-1").tasks(2).taskSize(4).oneZone().build();
    scheduler.onJob(service, false, 4, 0.1, 0.1);
    SchedulerFixture.commitAll(scheduler, 100, 0.2);
    assertThat(SchedulerFixture.claimCount(scheduler, SchedulerFixture.machineName(0)))
        .isEqualTo(1);
    registerMachineInZoneB("n-000099");
    assertThat(onDemandRequests(1))
        .singleElement()
        .satisfies(request -> assertThat(request.zone()).isEqualTo("a"));
  }

  private void registerMachineInZoneB(String name) {
    Heartbeat heartbeat =
        new Heartbeat(
            name, name + ":1", "small", "b", false, 1, 1, scheduler.term(), null, List.of());
    scheduler.onHeartbeat(heartbeat, 0.3);
    scheduler.onHeartbeatResponse(name, 0.3);
  }

  @Test
  void suspectJobGetsOneMachineWhenNoneIsLeft() {
    // Guards against a job that failed on several machines and is never tried on another one.
    registerMachines(3);
    JobSpec spec = JobSpecBuilder.array("j-1").tasks(20).onDemandOnly().build();
    scheduler.onJob(spec, false, 5, 0.2, 0.2);
    SchedulerFixture.commitAll(scheduler, 100, 0.3);
    failLaunchedTasks(0.5);
    SchedulerFixture.commitAll(scheduler, 101, 0.6);
    assertThat(SchedulerFixture.logLines(scheduler))
        .anyMatch(line -> line.contains("j-1 fails on every machine"));
    scheduler.onMachinesDeleted(
        List.of(
            SchedulerFixture.machineName(0),
            SchedulerFixture.machineName(1),
            SchedulerFixture.machineName(2)),
        1);
    assertThat(onDemandRequests(200))
        .singleElement()
        .satisfies(request -> assertThat(request.count()).isEqualTo(1));
  }

  /** Lets each launched task fail on its machine. */
  private void failLaunchedTasks(double now) {
    for (Action action : new ArrayList<>(SchedulerFixture.pendingActions(scheduler))) {
      if (action instanceof Action.SendCommands sent) {
        SchedulerFixture.pendingActions(scheduler).remove(action);
        Heartbeat.TaskStatus[] failed =
            sent.commands().stream()
                .filter(WorkerCommand.Launch.class::isInstance)
                .map(WorkerCommand.Launch.class::cast)
                .map(
                    launch ->
                        new Heartbeat.TaskStatus(
                            launch.task(),
                            launch.attempt(),
                            Heartbeat.Stage.EXITED,
                            "error",
                            false))
                .toArray(Heartbeat.TaskStatus[]::new);
        scheduler.onHeartbeat(
            SchedulerFixture.heartbeat(sent.machine(), 1, 2, scheduler.term(), failed), now);
        scheduler.onHeartbeatResponse(sent.machine(), now);
      }
    }
  }
}
