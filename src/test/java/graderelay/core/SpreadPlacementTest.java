package graderelay.core;

import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimWorld;
import graderelay.sim.WorldShape;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Replicas that have to be spread over zones. */
class SpreadPlacementTest {
  /** A service whose replicas run in both zones, by the time that everybody has settled. */
  private static SimWorld spread(long seed) {
    SimWorld w = world(seed, WorldShape.of(5));
    w.users.submit(0, w.users.job("j-000110", 6, 1, 0, false, true));
    w.loop.run(20);
    assertThat(w.invariants.starts)
        .isEqualTo(6); // A machine was scaled out in each of them for it.
    return w;
  }

  private static SimWorld world(long seed, WorldShape shape) {
    SimWorld w = new SimWorld(seed, shape);
    w.loop.run(4);
    assertThat(w.leader()).isNotNegative();
    return w;
  }

  @Test
  void replicasThatOneZoneMayNotTakeScaleOutInAnother() {
    Scheduler s = SchedulerFixture.scheduler(1);
    SchedulerFixture.exchangeHeartbeat(s, "n-1", 1, 1, 0); // In zone a, with room for all of them.
    s.onJob(SchedulerFixture.spreadService("j-1", 2), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(s, 10, 0.2);
    assertThat(SchedulerFixture.claimCount(s, "n-1")).isEqualTo(1);
    s.tick(1);
    List<String> zones = new ArrayList<>();
    for (Action a : SchedulerFixture.pendingActions(s)) {
      if (a instanceof Action.ScaleOut h) {
        zones.add(h.zone());
      }
    }
    assertThat(zones).containsExactly("b");
  }
}
