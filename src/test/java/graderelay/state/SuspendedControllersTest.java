package graderelay.state;

import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.world;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimWorld;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Controllers that were down for long and are suspended from election. */
class SuspendedControllersTest {
  /** A running service, and a follower that is down for long enough to be suspended. */
  private static SimWorld worldWithSuspendedController(long seed, int size) {
    SimWorld world = world(seed, size);
    world.users.submit(world.leader(), world.users.job("j-000070", 3, 1, 0, false));
    world.loop.run(20);
    world.crash((world.leader() + 1) % size);
    world.loop.run(10);
    assertThat(world.invariants.starts).isEqualTo(3);
    return world;
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void storeOutageWhileOneControllerIsDownEndsNoWorkerLease(int size) {
    SimWorld world = worldWithSuspendedController(71, size);
    final int leader = world.leader();
    world.store.outage(true);
    world.loop.run(SimWorld.LEASE_S + 10);
    world.store.outage(false);
    world.loop.run(20);
    assertThat(world.invariants.starts).isEqualTo(3);
    assertThat(world.invariants.trace()).noneMatch(line -> line.contains("lease over"));
    world.start((leader + 1) % size);
    world.loop.run(10);
    fine(world);
  }

  @Test
  void restartedControllerIsElectedOnceItsSuspensionIsLifted() {
    SimWorld world = worldWithSuspendedController(72, 3);
    int leader = world.leader();
    int restarted = (leader + 1) % 3;
    world.start(restarted);
    world.loop.run(6);
    world.crash(leader);
    world.crash((leader + 2) % 3);
    world.loop.run(8);
    assertThat(world.leader()).isEqualTo(restarted);
    world.loop.run(20);
    assertThat(world.invariants.starts).isEqualTo(3);
    fine(world);
  }

  @Test
  void lastSuspendedControllerIsElectedOnlyWhenNoLeaderCanRelyOnItsSuspension() {
    SimWorld world = worldWithSuspendedController(73, 3);
    int leader = world.leader();
    int restarted = (leader + 1) % 3;
    world.crash(leader);
    world.crash((leader + 2) % 3);
    world.start(restarted);
    world.loop.run(ElectionTiming.SUSPENSION_S - 2);
    assertThat(world.leader()).isNegative();
    // A new process of it does not know since when it has waited, and starts over.
    world.crash(restarted);
    world.start(restarted);
    world.loop.run(ElectionTiming.SUSPENSION_S - 2);
    assertThat(world.leader()).isNegative();
    world.loop.run(10);
    assertThat(world.leader()).isEqualTo(restarted);
    world.loop.run(20);
    fine(world);
  }

  @Test
  void leaderThatLosesTheStoreStopsBeforeSuspendedControllerIsElected() {
    SimWorld world = worldWithSuspendedController(74, 3);
    int leader = world.leader();
    int other = (leader + 2) % 3;
    int restarted = (leader + 1) % 3;
    // The store refuses the leader and the third controller, and serves the suspended one, which
    // restarts.
    world.refused[leader][0] = true;
    world.refused[other][0] = true;
    world.net.cut("c" + leader, "c" + restarted);
    world.net.cut("c" + other, "c" + restarted);
    world.start(restarted);
    for (int i = 0; i < 600; i++) {
      world.loop.run(0.1);
      int actingLeaders = 0;
      for (int controller = 0; controller < 3; controller++) {
        actingLeaders += world.controllers[controller].mayActAsLeader() ? 1 : 0;
      }
      assertThat(actingLeaders).isLessThanOrEqualTo(1);
    }
    assertThat(world.leader()).isEqualTo(restarted);
    fine(world);
  }
}
