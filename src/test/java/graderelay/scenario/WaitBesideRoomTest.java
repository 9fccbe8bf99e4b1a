package graderelay.scenario;

import static graderelay.sim.WorldAssertions.fine;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorker;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldShape;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Jobs that wait while a machine has room for them: none does so for 90 s. */
class WaitBesideRoomTest {
  /** Seconds for which no job may be left waiting beside room. */
  private static final double MAX_WAIT_S = 90;

  /** Seconds within which a task of a new job has been launched and has failed. */
  private static final double FAILURE_S = 3;

  /** Jobs whose failures on one machine show that it is faulty. */
  private static final int FAILING_JOBS = 3;

  /** Seconds by which they have shown it. */
  private static final double FAULTY_AFTER_S = 20;

  private static final int MACHINES = 3;

  private final SimWorld world =
      new SimWorld(
          598,
          new WorldShape(
              3, SimWorld.HEARTBEAT_S, SimWorld.LEASE_S, List.of("a"), MACHINES, SimWorld.LIMIT));

  private final SimJob array = world.users.job("j-000003", 1, 2, 5, false);

  /** The machine that has room, beside two that are full of services. */
  private SimWorker machineWithRoom;

  @BeforeEach
  void fillTwoMachines() {
    world.loop.run(3);
    world.users.submit(0, world.users.job("j-000001", 2, 4, 0, false));
    world.loop.run(15);
    world.users.submit(0, world.users.job("j-000002", 1, 1, 0, false));
    world.loop.run(15);
    assertThat(world.workers).hasSize(MACHINES);
    machineWithRoom =
        world.workers.values().stream()
            .filter(worker -> worker.running().contains("j-000002/0"))
            .findFirst()
            .orElseThrow();
  }

  private void failArrayOnce() {
    machineWithRoom.failsEverything = true;
    world.users.submit(1, array);
    world.loop.run(FAILURE_S);
    assertThat(array.firstStart).isNotNaN();
    assertThat(machineWithRoom.running()).doesNotContain(array.id + "/0");
  }

  @Test
  void jobIsTriedAgainOnTheMachineWhereItFailedOnce() {
    // Guards against a job that avoids a machine for good after one failure there.
    failArrayOnce();
    machineWithRoom.failsEverything = false;
    world.loop.run(MAX_WAIT_S);
    assertThat(world.users.stage(2, array.id)).isEqualTo("done");
    fine(world);
  }

  @Test
  void machineIsRequestedForJobThatAvoidsTheOnlyOneWithRoom() {
    // Guards against a fleet plan that counts room which placement doesn't use: the machine fails
    // every task, so only another one can have run the array.
    world.cloud.capacity = MACHINES + 1;
    failArrayOnce();
    world.loop.run(MAX_WAIT_S);
    assertThat(world.users.stage(2, array.id)).isEqualTo("done");
    fine(world);
  }

  @Test
  void faultyMachineWithServicesIsTriedAgain() {
    // Guards against a machine that stays out of use for as long as services run on it.
    machineWithRoom.failsEverything = true;
    for (int i = 0; i < FAILING_JOBS; i++) {
      world.users.submit(1, world.users.job("j-00010" + i, 1, 0.5, 5, false));
    }
    world.users.submit(1, array);
    world.loop.run(FAULTY_AFTER_S);
    assertThat(world.controllers[world.leader()].core().machines(world.loop.now()))
        .anyMatch(
            machine ->
                machine.name().equals(machineWithRoom.name) && machine.state().equals("draining"));
    machineWithRoom.failsEverything = false;
    world.loop.run(MAX_WAIT_S);
    assertThat(machineWithRoom.running()).contains("j-000002/0");
    assertThat(world.users.stage(2, array.id)).isEqualTo("done");
    fine(world);
  }
}
