package graderelay.core;

import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimWorld;
import graderelay.sim.WorldShape;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Placement of replicas that have to be spread over zones. */
class SpreadPlacementTest {
  /** A world in which the replicas of a service run in both zones. */
  private static SimWorld worldWithSpreadService(long seed) {
    SimWorld world = world(seed, WorldShape.of(5));
    world.users.submit(0, world.users.job("j-000110", 6, 1, 0, false, true));
    world.loop.run(20);
    assertThat(world.invariants.starts)
        .isEqualTo(6); // A machine was scaled out for it in each zone.
    return world;
  }

  private static SimWorld world(long seed, WorldShape shape) {
    SimWorld world = new SimWorld(seed, shape);
    world.loop.run(4);
    assertThat(world.leader()).isNotNegative();
    return world;
  }

  @Test
  void replicasBeyondTheZoneLimitScaleOutAnotherZone() {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    SchedulerFixture.exchangeHeartbeat(
        scheduler, "n-1", 1, 1, 0); // In zone a, with room for all of them.
    scheduler.onJob(SchedulerFixture.spreadService("j-1", 2), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(scheduler, 10, 0.2);
    assertThat(SchedulerFixture.claimCount(scheduler, "n-1")).isEqualTo(1);
    scheduler.tick(1);
    List<String> zones = new ArrayList<>();
    for (Action action : SchedulerFixture.pendingActions(scheduler)) {
      if (action instanceof Action.ScaleOut scaleOut) {
        zones.add(scaleOut.zone());
      }
    }
    assertThat(zones).containsExactly("b");
  }
}
