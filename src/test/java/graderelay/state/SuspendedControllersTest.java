package graderelay.state;

import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.world;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimWorld;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Controllers that are away for long and may not stand for election. */
class SuspendedControllersTest {
  /** A service runs, and a controller that is not the leader has been down for a while. */
  private static SimWorld withOneDown(long seed, int size) {
    SimWorld w = world(seed, size);
    w.users.submit(w.leader(), w.users.job("j-000070", 3, 1, 0, false));
    w.loop.run(20);
    w.crash((w.leader() + 1) % size);
    w.loop.run(10);
    assertThat(w.invariants.starts).isEqualTo(3);
    return w;
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void outageWhileOneControllerIsAwayCostsNoLease(int size) {
    SimWorld w = withOneDown(71, size);
    final int leader = w.leader();
    w.store.outage(true);
    w.loop.run(SimWorld.LEASE_S + 10);
    w.store.outage(false);
    w.loop.run(20);
    assertThat(w.invariants.starts).isEqualTo(3);
    assertThat(w.invariants.trace()).noneMatch(x -> x.contains("lease over"));
    w.start((leader + 1) % size);
    w.loop.run(10);
    fine(w);
  }

  @Test
  void returningControllerTakesOverAsSoonAsItsSuspensionIsLifted() {
    SimWorld w = withOneDown(72, 3);
    int leader = w.leader();
    int back = (leader + 1) % 3;
    w.start(back);
    w.loop.run(6);
    w.crash(leader);
    w.crash((leader + 2) % 3);
    w.loop.run(8);
    assertThat(w.leader()).isEqualTo(back);
    w.loop.run(20);
    assertThat(w.invariants.starts).isEqualTo(3);
    fine(w);
  }

  @Test
  void lonelySuspendedMemberTakesOverOnlyWhenNobodyCanRelyOnItsSuspension() {
    SimWorld w = withOneDown(73, 3);
    int leader = w.leader();
    int back = (leader + 1) % 3;
    w.crash(leader);
    w.crash((leader + 2) % 3);
    w.start(back);
    w.loop.run(ElectionTiming.SUSPENSION_S - 2);
    assertThat(w.leader()).isNegative();
    // Another process of it has nothing to count from, and begins anew.
    w.crash(back);
    w.start(back);
    w.loop.run(ElectionTiming.SUSPENSION_S - 2);
    assertThat(w.leader()).isNegative();
    w.loop.run(10);
    assertThat(w.leader()).isEqualTo(back);
    w.loop.run(20);
    fine(w);
  }

  @Test
  void leaderThatLosesTheStoreStopsBeforeAnySuspendedMemberCanTakeOver() {
    SimWorld w = withOneDown(74, 3);
    int leader = w.leader();
    int other = (leader + 2) % 3;
    int back = (leader + 1) % 3;
    // The leader and the third are refused alone; the suspended one comes back and is served.
    w.refused[leader][0] = true;
    w.refused[other][0] = true;
    w.net.cut("c" + leader, "c" + back);
    w.net.cut("c" + other, "c" + back);
    w.start(back);
    for (int i = 0; i < 600; i++) {
      w.loop.run(0.1);
      int speaking = 0;
      for (int n = 0; n < 3; n++) {
        speaking += w.controllers[n].speaks() ? 1 : 0;
      }
      assertThat(speaking).isLessThanOrEqualTo(1);
    }
    assertThat(w.leader()).isEqualTo(back);
    fine(w);
  }
}
