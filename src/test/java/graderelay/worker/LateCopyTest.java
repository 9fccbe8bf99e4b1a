package graderelay.worker;

import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.runner;
import static graderelay.sim.WorldAssertions.world;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import org.junit.jupiter.api.Test;

/**
 * Late copies of direct launches that were carried out and answered. The term stays as it is from
 * the launch on, unless a test says otherwise.
 */
class LateCopyTest {
  private static final String RUNNING_TASK = "j-000070/0";
  private static final String TASK = "j-000071/0";

  /** Seconds until an ended attempt was reaped and its task runs elsewhere. */
  private static final double REAPED_AFTER_S = 15;

  private final SimWorld world = world(71, 3);
  private final SimJob job = world.users.job("j-000071", 1, 1, 300, false);
  private String machine;

  /** Starts the task beside another one that keeps its machine; copies of its launch are kept. */
  private void startTask() {
    keepMachineBusy();
    world.users.submit(0, job);
    world.loop.run(5);
    assertThat(runner(world, TASK)).isEqualTo(machine);
    assertThat(world.net.requestCopies.kept()).hasSize(1);
  }

  private void keepMachineBusy() {
    world.users.submit(0, world.users.job("j-000070", 1, 1, 600, false));
    world.loop.run(30);
    machine = runner(world, RUNNING_TASK);
    world.net.requestCopies.keep(request -> request.launches(job.id));
  }

  private void drain() {
    world.users.answer(world.leader(), "POST", "/admin/machines/" + machine + "/drain", null);
    world.loop.run(REAPED_AFTER_S);
    assertThat(runner(world, TASK)).isNotEqualTo(machine);
  }

  private void assertReaped() {
    assertThat(world.workers.get(machine).lists(TASK, 1)).isFalse();
  }

  private void copyArrives() {
    world.net.requestCopies.deliverKept();
    world.loop.run(5);
  }

  @Test
  void copyOfLaunchDoesNotStartMovedTaskOnItsOldMachine() {
    startTask();
    drain();
    assertReaped();
    copyArrives();
    fine(world);
  }

  @Test
  void copyOfLaunchDoesNotStartCancelledTask() {
    startTask();
    world.users.cancel(1, job);
    world.loop.run(SimWorld.CANCEL_S + 2);
    assertReaped();
    copyArrives();
    fine(world);
  }

  @Test
  void copyOfRefusedLaunchDoesNotStartTaskThatRunsElsewhere() {
    keepMachineBusy();
    world.workers.get(machine).refusal = "no_room";
    world.users.submit(0, job);
    world.loop.run(20);
    assertThat(world.net.requestCopies.kept()).isNotEmpty();
    assertThat(runner(world, TASK)).isNotEqualTo(machine);
    assertReaped();
    world.workers.get(machine).refusal = null;
    copyArrives();
    fine(world);
  }

  @Test
  void copyOfLaunchWhoseAnswerWasLostDoesNotStartMovedTask() {
    keepMachineBusy();
    world.users.submit(0, job);
    world.net.losesAnswersTo = path -> path.equals("/commands");
    world.loop.run(6);
    world.net.losesAnswersTo = path -> false;
    assertThat(runner(world, TASK)).isEqualTo(machine);
    assertThat(world.net.requestCopies.kept()).hasSize(1);
    drain();
    copyArrives();
    fine(world);
  }

  @Test
  void copyOfLaunchDoesNotStartTaskWhoseLeaderIsBackWithinOneSecond() {
    startTask();
    drain();
    assertReaped();
    int leader = world.leader();
    world.crash(leader);
    world.loop.run(0.2);
    world.start(leader);
    copyArrives();
    fine(world);
  }

  @Test
  void copyOfEarlierLeadersLaunchDoesNotStartTaskThatNewLeaderMoved() {
    startTask();
    world.crash(world.leader());
    world.loop.run(8);
    drain();
    assertReaped();
    copyArrives();
    fine(world);
  }

  @Test
  void copyOfLaunchDoesNotStartTaskWhoseLeaderHandedOver() {
    startTask();
    int leader = world.leader();
    drain();
    assertReaped();
    world.refused[leader][0] = true;
    double until = world.loop.now() + 20;
    while ((world.leader() < 0 || world.leader() == leader) && world.loop.now() < until) {
      world.loop.run(0.001);
    }
    assertThat(world.leader()).isNotNegative().isNotEqualTo(leader);
    copyArrives();
    world.refused[leader][0] = false;
    fine(world);
  }
}
