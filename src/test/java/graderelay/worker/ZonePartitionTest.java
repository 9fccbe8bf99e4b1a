package graderelay.worker;

import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.runner;
import static graderelay.sim.WorldAssertions.secondsToNextStart;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimWorld;
import graderelay.sim.WorldShape;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Zone partitions, during which lease delegates renew worker leases. */
class ZonePartitionTest {
  private static SimWorld world(long seed, WorldShape shape) {
    SimWorld world = new SimWorld(seed, shape);
    world.loop.run(4);
    assertThat(world.leader()).isNotNegative();
    return world;
  }

  /** A world in steady state with a service whose replicas run in both zones. */
  private static SimWorld worldWithSpreadService(long seed) {
    SimWorld world = world(seed, WorldShape.of(5));
    world.users.submit(0, world.users.job("j-000110", 6, 1, 0, false, true));
    world.loop.run(20);
    assertThat(world.invariants.starts).isEqualTo(6); // A machine was scaled out in each zone.
    return world;
  }

  @ParameterizedTest
  @CsvSource({"true", "false"})
  void tasksInPartitionedZoneKeepRunningForLongerThanOneLease(boolean leadersZone) {
    SimWorld world = worldWithSpreadService(62);
    int leader = world.leader();
    String zone = (leader % 2 == 0) == leadersZone ? "a" : "b";
    world.net.cutZone(zone, true);
    world.loop.run(2 * SimWorld.LEASE_S + 2);
    assertThat(world.leader() == leader).isEqualTo(!leadersZone);
    world.net.cutZone(zone, false);
    world.loop.run(20);
    assertThat(world.invariants.starts)
        .as(world.invariants.trace().toString())
        .isEqualTo(6); // No task was started again.
    assertThat(world.users.stage(0, "j-000110")).isEqualTo("running");
    fine(world);
  }

  @ParameterizedTest
  @CsvSource({"2, 12, true", "2, 12, false", "4, 22, true", "4, 22, false", "6, 30, true"})
  void jobCancelledWhileItsZoneIsPartitionedStopsInTime(
      double heartbeatIntervalS, double leaseS, boolean leadersZone) {
    SimWorld world = world(62, WorldShape.of(5).workers(heartbeatIntervalS, leaseS));
    world.users.submit(0, world.users.job("j-000110", 6, 1, 0, false, true));
    world.loop.run(30);
    assertThat(world.invariants.starts).isEqualTo(6);
    boolean zoneA = (world.leader() % 2 == 0) == leadersZone;
    world.net.cutZone(zoneA ? "a" : "b", true);
    world.loop.run(0.1); // The zone's lease delegates can't learn of the cancellation.
    world.users.cancel(zoneA ? 1 : 0, world.invariants.jobs.get("j-000110"));
    world.loop.run(SimWorld.CANCEL_S + 20); // The invariants are checked continuously.
    world.net.cutZone(zoneA ? "a" : "b", false);
    world.loop.run(20);
    assertThat(world.users.stage(0, "j-000110")).isEqualTo("cancelled");
    fine(world);
  }

  @Test
  void tasksLostWithTheirZoneRestartElsewhereOnceTheDelegationGrantHasExpired() {
    SimWorld world = world(63, WorldShape.of(5));
    world.users.submit(0, world.users.job("j-000111", 1, 4, 300, false));
    world.loop.run(20);
    String zone = world.workers.get(runner(world, "j-000111/0")).zone;
    for (int i = 0; i < world.size; i++) {
      if (world.settings(i).zone().equals(zone)) {
        world.crash(i);
      }
    }
    world.workers.values().stream()
        .filter(worker -> worker.zone.equals(zone))
        .map(worker -> worker.name)
        .toList()
        .forEach(world::cutOff);
    // The leader can't tell whether the machines are down or the delegates still renew the lease.
    double maxRecoveryS = world.settings(0).delegateGrantS() + SimWorld.LEASE_S;
    assertThat(secondsToNextStart(world)).isBetween(maxRecoveryS - 3, maxRecoveryS + 15);
    fine(world);
  }

  @Test
  void leaseDelegateThatOnlyTheLeaderCannotReachRenewsNoLease() {
    SimWorld world = world(64, WorldShape.of(5));
    world.users.submit(0, world.users.job("j-000112", 1, 4, 300, false));
    world.loop.run(20);
    int starts = world.invariants.starts;
    for (int i = 0; i < world.size; i++) {
      if (i != world.leader()) {
        world.net.cut("c" + i, "c" + world.leader());
      }
    }
    world.loop.run(5);
    assertThat(world.invariants.starts).isEqualTo(starts);
    world.cutOff(runner(world, "j-000112/0"));
    assertThat(secondsToNextStart(world)).isBetween(SimWorld.LEASE_S - 2, SimWorld.LEASE_S + 10);
    fine(world);
  }
}
