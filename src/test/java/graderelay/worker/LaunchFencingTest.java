package graderelay.worker;

import static graderelay.sim.ScenarioSteps.claimed;
import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.runner;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import org.junit.jupiter.api.Test;

/** Direct launch commands without a response. */
class LaunchFencingTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 3);
  }

  /** Delays a direct launch by a partition between leader and machine; heartbeats are relayed. */
  private static void runWithDelayedLaunch(
      double actionAfterS,
      double healAfterS,
      java.util.function.BiConsumer<SimWorld, String> duringPartition) {
    SimWorld world = world(23);
    SimJob warmUpJob = world.users.job("j-000040", 1, 1, 300, false);
    world.users.submit(0, warmUpJob);
    world.loop.run(15);
    final String machine = runner(world, "j-000040/0");
    int leader = world.leader();
    SimJob job = world.users.job("j-000041", 1, 1, 300, false);
    world.net.alwaysPooled = true; // The command is sent on an open connection and delayed there.
    world.users.submit((leader + 1) % 3, job);
    while (!claimed(world, job)) {
      world.loop.run(0.0005);
    }
    world.net.cut("c" + leader, machine);
    world.loop.run(actionAfterS);
    duringPartition.accept(world, machine);
    world.loop.run(healAfterS - actionAfterS);
    world.workers.get(machine).failsEverything = false;
    world.net.heal("c" + leader, machine);
    world.loop.run(40);
    assertThat(world.leader()).isEqualTo(leader);
    assertThat(world.users.stage(0, job.id)).isEqualTo("running");
    fine(world);
  }

  @Test
  void delayedLaunchIsFencedBeforeItsCancelledJobEnds() {
    SimWorld world = world(9);
    SimJob warmUpJob = world.users.job("j-000009", 1, 1, 0, false);
    world.users.submit(0, warmUpJob);
    world.loop.run(15);
    String machine = runner(world, "j-000009/0");
    int leader = world.leader();
    SimJob job = world.users.job("j-000010", 2, 1, 0, false);
    world.users.submit((leader + 1) % 3, job);
    while (!claimed(world, job)) {
      world.loop.run(0.001);
    }
    world.net.cut("c" + leader, machine);
    world.loop.run(1);
    world.users.cancel((leader + 1) % 3, job);
    world.loop.run(9);
    world.net.heal("c" + leader, machine);
    world.loop.run(60);
    assertThat(world.users.stage(0, job.id)).isEqualTo("cancelled");
    assertThat(world.workers.values()).noneMatch(worker -> worker.running().contains("j-000010/0"));
    fine(world);
  }

  @Test
  void taskWithUnansweredLaunchIsNotMovedBeforeTheLaunchIsFenced() {
    runWithDelayedLaunch(
        2.5,
        16,
        (world, machineName) ->
            world.users.answer(
                world.leader(), "POST", "/admin/machines/" + machineName + "/drain", null));
  }

  @Test
  void attemptWhoseLaunchMayArriveLateIsNotReaped() {
    runWithDelayedLaunch(
        1, 25, (world, machineName) -> world.workers.get(machineName).failsEverything = true);
  }
}
