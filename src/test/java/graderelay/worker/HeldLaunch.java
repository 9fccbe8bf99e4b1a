package graderelay.worker;

import static graderelay.sim.ScenarioSteps.claimed;
import static graderelay.sim.ScenarioSteps.other;
import static graderelay.sim.WorldAssertions.runner;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import graderelay.wire.StateCodec;

/** A world in which a launch of a job's only task is held on its way to a machine. */
final class HeldLaunch {
  private static final String RUNNING_TASK = "j-000050/0";

  final SimWorld world;
  final SimJob job;
  final int leader;
  final int other;
  final String machine;
  final String zone;

  HeldLaunch(long seed, int size, String zones) {
    this(WorldAssertions.zoned(seed, size, zones));
  }

  HeldLaunch(SimWorld newWorld) {
    world = newWorld;
    world.users.submit(0, world.users.job("j-000050", 1, 1, 600, false));
    world.loop.run(20);
    machine = runner(world, RUNNING_TASK);
    zone = world.workers.get(machine).zone;
    leader = world.leader();
    other = other(world, leader);
    world.net.alwaysPooled = true; // The command is sent on an open connection and held there.
    job = world.users.job("j-000051", 1, 1, 300, false);
    world.users.submit(other, job);
    while (!claimed(world, job)) {
      world.loop.run(0.0005);
    }
    world.net.cut("c" + leader, machine);
    assertThat(world.store.value(StateCodec.TASK_BATCHES + job.id + "/0").toString())
        .contains(machine);
  }

  void cancelAfter(double seconds) {
    world.loop.run(seconds);
    world.users.cancel(other, job);
    world.loop.run(0.5);
    assertThat(job.cancelAnswered).isNotNaN();
  }

  /** The leader loses its peers for a while, so that it steps down and none can be elected. */
  void leaderStepsDownInOutage() {
    world.store.outage(true);
    for (int i = 0; i < world.size; i++) {
      world.net.cut("c" + leader, "c" + i);
    }
    world.loop.run(4.5);
    for (int i = 0; i < world.size; i++) {
      world.net.heal("c" + leader, "c" + i);
    }
    assertThat(world.leader()).isNegative();
  }

  /** Delivers the launch so many seconds after its user was told that the job is cancelled. */
  void deliverAfterCancellation(double seconds) {
    world.loop.run(job.cancelAnswered + seconds - world.loop.now());
    world.net.heal("c" + leader, machine);
    world.loop.run(3);
  }

  void storeReturns() {
    world.store.outage(false);
    world.loop.run(30);
    assertThat(world.users.stage(world.leader(), job.id)).isEqualTo("cancelled");
  }

  /** The other task on the machine ran all the time: no lease expired. */
  void otherTaskWasNotInterrupted() {
    assertThat(world.invariants.trace()).noneMatch(line -> line.contains("lease over"));
    assertThat(runner(world, RUNNING_TASK)).isEqualTo(machine);
  }
}
