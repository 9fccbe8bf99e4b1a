package graderelay.core;

import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.Seeds;
import graderelay.sim.SimWorld;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Fleet plan and placement agree on which room a job has: after some rounds of both, each task that
 * waits is one for which room is being made by preemption, for which the plan has requested a
 * machine, or of which it reports that it can't.
 */
class PlanAgreesWithPlacementTest {
  private static final long SEEDS = 400;

  /** More rounds of placement and plan than any state needs to come to rest. */
  private static final int ROUNDS = 4;

  /** Later than the start of the leader by more than any grace period. */
  private static final double NOW = 1000;

  private static final List<String> ZONES = List.of("a", "b");
  private static final List<String> TYPES = List.of("small", "large");
  private static final double UNLIMITED_CPUS = 0;

  private final Policy policy =
      new Policy(
          List.of(new Team("team", 8, UNLIMITED_CPUS, 0, 0)),
          Map.of(),
          0,
          SimWorld.HEARTBEAT_S,
          SimWorld.LEASE_S,
          3,
          SimWorld.TXN_OPS,
          16 * 1024,
          300,
          68,
          Map.of(),
          Map.of(),
          Map.of(),
          new Policy.LaunchFenceLimits(
              SchedulerFixture.RENEWAL_LIMIT_S, SchedulerFixture.GRANT_LIMIT_S),
          new Policy.Tuning(500, 3, 3, 30, 0, true, false));

  private final ClusterState cluster = new ClusterState(policy, "leader");

  static LongStream seeds() {
    return Seeds.upTo(SEEDS);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void waitingTaskHasMachineRequestedOrIsReportedAsUnmet(long seed) {
    // Guards against a job that waits without an end beside room that only the plan counts.
    final FleetPlanner planner = newPlanner();
    SplittableRandom random = new SplittableRandom(seed);
    drawMachines(random);
    Job job = drawJob(random);
    cluster.jobs.put(job.spec.id(), job);
    cluster.machines.keySet().stream()
        .filter(name -> random.nextInt(4) == 0)
        .forEach(name -> job.failedMachines.onFailure(name, NOW - random.nextInt(40)));
    PlacementRound placement = new PlacementRound(cluster, random);
    for (int round = 0; round < ROUNDS; round++) {
      placement.placeTasks(1000, NOW + round);
      planner.plan(NOW + round);
    }
    boolean isRequested = cluster.actions.stream().anyMatch(Action.ScaleOut.class::isInstance);
    boolean isUnmet =
        planner.unmetTasksByCause().values().stream().anyMatch(unmetTasks -> unmetTasks > 0);
    PlacementDiagnosis diagnosis =
        PlacementDiagnosis.of(cluster, new PlacementRules(cluster), job, NOW + ROUNDS);
    boolean isRoomBeingMade = job.openTasks.cardinality() <= job.pendingPreemptions;
    assertThat(isRoomBeingMade || isRequested || isUnmet)
        .as("seed %s: %s waits, machines: %s", seed, job.spec, diagnosis)
        .isTrue();
  }

  /** Prepares the state of a leader that has run for long, and returns its planner. */
  private FleetPlanner newPlanner() {
    cluster.loading = false;
    cluster.dependencies = new DependencyGraph(cluster, spec -> 10);
    cluster.delegates = new LeaseDelegates(Map.of(), 1, 0, SimWorld.LEASE_S, 0);
    cluster.machineTypes =
        Map.of(
            "small", new MachineType("small", 4, 0, 16, 1, 1, 0.4, 5, ZONES),
            "large", new MachineType("large", 16, 0, 64, 1, 4, 1.6, 5, ZONES));
    return new FleetPlanner(cluster, 0);
  }

  private void drawMachines(SplittableRandom random) {
    int count = 1 + random.nextInt(8);
    for (int i = 0; i < count; i++) {
      Machine machine = cluster.getOrAddMachine(SchedulerFixture.machineName(i), 0);
      machine.heartbeatReceived = true;
      machine.lastHeartbeatAt = NOW + ROUNDS;
      machine.requestedAt = 0;
      cluster.setTypeAndZone(
          machine, draw(TYPES, random), draw(ZONES, random), random.nextBoolean());
      machine.consolidating = !machine.spot && random.nextInt(3) == 0;
      machine.cordoned = random.nextInt(8) == 0;
      machine.responsesLostSince = random.nextInt(8) == 0 ? NOW - 2 * SimWorld.LEASE_S : null;
      machine.faulty = random.nextInt(4) == 0;
      machine.faultyUntil = NOW + (random.nextBoolean() ? 30 : 0);
      machine.lastFailureAt = NOW - 30;
      machine.interruptionAt = random.nextInt(8) == 0 ? NOW + 30 : null;
      machine.quarantineUntil = random.nextInt(6) == 0 ? NOW + 30 : 0;
      fill(machine, random);
    }
  }

  /** Adds claims of a running job of one machine. */
  private void fill(Machine machine, SplittableRandom random) {
    boolean service = random.nextBoolean();
    String id = "running-" + machine.name;
    JobSpecBuilder spec = service ? JobSpecBuilder.service(id) : JobSpecBuilder.array(id);
    int tasks = random.nextInt(1 + (int) machine.capacity.cpus());
    if (tasks == 0) {
      return;
    }
    spec.tasks(tasks).priority(draw(List.of(Priority.values()), random));
    Job job = new Job(spec.build(), 1, false, 0);
    cluster.jobs.put(id, job);
    for (int task = 0; task < tasks; task++) {
      Claim claim = new Claim(job, task, 1, machine.name, 1, 0);
      cluster.addClaim(claim, 0);
      cluster.markCommitted(claim);
    }
  }

  private static Job drawJob(SplittableRandom random) {
    boolean service = random.nextBoolean();
    JobSpecBuilder spec =
        service ? JobSpecBuilder.service("waiting") : JobSpecBuilder.array("waiting");
    spec.tasks(1 + random.nextInt(6)).taskSize(1 + random.nextInt(4));
    spec.priority(draw(List.of(Priority.values()), random)).spread(random.nextInt(4) == 0);
    if (random.nextInt(3) == 0) {
      spec.zone(draw(ZONES, random));
    }
    if (random.nextInt(3) == 0) {
      spec.onDemandOnly();
    }
    Job job = new Job(spec.build(), 2, false, 0);
    job.acceptedAt = NOW - random.nextInt(120);
    job.eligibleSince = job.acceptedAt;
    job.waitingSince = job.acceptedAt;
    return job;
  }

  private static <T> T draw(List<T> values, SplittableRandom random) {
    return new ArrayList<>(values).get(random.nextInt(values.size()));
  }
}
