package graderelay.worker;

import static graderelay.sim.ScenarioSteps.claimed;
import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.runner;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import org.junit.jupiter.api.Test;

/** Direct launches that nobody answered. */
class LaunchFencingTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 3);
  }

  /** A direct launch is held by a cut between leader and machine; heartbeats go through a peer. */
  private static void heldLaunch(
      double meanwhileAfter,
      double healAfter,
      java.util.function.BiConsumer<SimWorld, String> do1) {
    SimWorld w = world(23);
    SimJob warm = w.users.job("j-000040", 1, 1, 300, false);
    w.users.submit(0, warm);
    w.loop.run(15);
    final String machine = runner(w, "j-000040/0");
    int leader = w.leader();
    SimJob j = w.users.job("j-000041", 1, 1, 300, false);
    w.net.alwaysPooled = true; // The command goes into an open connection and is held there.
    w.users.submit((leader + 1) % 3, j);
    while (!claimed(w, j)) {
      w.loop.run(0.0005);
    }
    w.net.cut("c" + leader, machine);
    w.loop.run(meanwhileAfter);
    do1.accept(w, machine);
    w.loop.run(healAfter - meanwhileAfter);
    w.workers.get(machine).failsEverything = false;
    w.net.heal("c" + leader, machine);
    w.loop.run(40);
    assertThat(w.leader()).isEqualTo(leader);
    assertThat(w.users.stage(0, j.id)).isEqualTo("running");
    fine(w);
  }

  @Test
  void launchThatIsHeldBackIsFencedBeforeItsJobIsOver() {
    SimWorld w = world(9);
    SimJob warm = w.users.job("j-000009", 1, 1, 0, false);
    w.users.submit(0, warm);
    w.loop.run(15);
    String machine = runner(w, "j-000009/0");
    int leader = w.leader();
    SimJob j = w.users.job("j-000010", 2, 1, 0, false);
    w.users.submit((leader + 1) % 3, j);
    while (!claimed(w, j)) {
      w.loop.run(0.001);
    }
    w.net.cut("c" + leader, machine);
    w.loop.run(1);
    w.users.cancel((leader + 1) % 3, j);
    w.loop.run(9);
    w.net.heal("c" + leader, machine);
    w.loop.run(60);
    assertThat(w.users.stage(0, j.id)).isEqualTo("cancelled");
    assertThat(w.workers.values()).noneMatch(x -> x.running().contains("j-000010/0"));
    fine(w);
  }

  @Test
  void taskWhoseLaunchHasNoAnswerIsNotMovedBeforeThatIsFenced() {
    heldLaunch(
        2.5,
        16,
        (w, m) -> w.users.answer(w.leader(), "POST", "/admin/machines/" + m + "/drain", null));
  }

  @Test
  void anAttemptWhoseLaunchMayComeLateIsNotReaped() {
    heldLaunch(1, 25, (w, m) -> w.workers.get(m).failsEverything = true);
  }
}
