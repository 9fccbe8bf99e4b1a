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

/** A zone that is cut off, and its lease delegates. */
class ZonePartitionTest {
  private static SimWorld world(long seed, WorldShape shape) {
    SimWorld w = new SimWorld(seed, shape);
    w.loop.run(4);
    assertThat(w.leader()).isNotNegative();
    return w;
  }

  /** A service whose replicas run in both zones, by the time that everybody has settled. */
  private static SimWorld spread(long seed) {
    SimWorld w = world(seed, WorldShape.of(5));
    w.users.submit(0, w.users.job("j-000110", 6, 1, 0, false, true));
    w.loop.run(20);
    assertThat(w.invariants.starts)
        .isEqualTo(6); // A machine was scaled out in each of them for it.
    return w;
  }

  @ParameterizedTest
  @CsvSource({"true", "false"})
  void tasksInCutOffZoneGoOnForLongerThanOneLease(boolean leadersZone) {
    SimWorld w = spread(62);
    int leader = w.leader();
    String zone = (leader % 2 == 0) == leadersZone ? "a" : "b";
    w.net.cutZone(zone, true);
    w.loop.run(2 * SimWorld.LEASE_S + 2);
    assertThat(w.leader() == leader).isEqualTo(!leadersZone);
    w.net.cutZone(zone, false);
    w.loop.run(20);
    assertThat(w.invariants.starts)
        .as(w.invariants.trace().toString())
        .isEqualTo(6); // Nothing was lost.
    assertThat(w.users.stage(0, "j-000110")).isEqualTo("running");
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"2, 12, true", "2, 12, false", "4, 22, true", "4, 22, false", "6, 30, true"})
  void jobCancelledWhileItsZoneIsCutOffIsGoneInTime(
      double reportS, double leaseS, boolean leadersZone) {
    SimWorld w = world(62, WorldShape.of(5).workers(reportS, leaseS));
    w.users.submit(0, w.users.job("j-000110", 6, 1, 0, false, true));
    w.loop.run(30);
    assertThat(w.invariants.starts).isEqualTo(6);
    boolean inA = (w.leader() % 2 == 0) == leadersZone;
    w.net.cutZone(inA ? "a" : "b", true);
    w.loop.run(0.1); // The zone's lease delegates can know nothing of it.
    w.users.cancel(inA ? 1 : 0, w.invariants.jobs.get("j-000110"));
    w.loop.run(SimWorld.CANCEL_S + 20); // The invariants are checked all along.
    w.net.cutZone(inA ? "a" : "b", false);
    w.loop.run(20);
    assertThat(w.users.stage(0, "j-000110")).isEqualTo("cancelled");
    fine(w);
  }

  @Test
  void tasksLostWithTheirWholeZoneStartElsewhereOnceItsDelegatesGrantIsOver() {
    SimWorld w = world(63, WorldShape.of(5));
    w.users.submit(0, w.users.job("j-000111", 1, 4, 300, false));
    w.loop.run(20);
    String zone = w.workers.get(runner(w, "j-000111/0")).zone;
    for (int i = 0; i < w.size; i++) {
      if (w.settings(i).zone().equals(zone)) {
        w.crash(i);
      }
    }
    w.workers.values().stream()
        .filter(x -> x.zone.equals(zone))
        .map(x -> x.name)
        .toList()
        .forEach(w::cutOff);
    // The leader can't know whether they are dead or keep the task alive.
    double longest = w.settings(0).delegateGrantS() + SimWorld.LEASE_S;
    assertThat(secondsToNextStart(w)).isBetween(longest - 3, longest + 15);
    fine(w);
  }

  @Test
  void leaseDelegateThatOnlyTheLeaderCannotReachExtendsNoLease() {
    SimWorld w = world(64, WorldShape.of(5));
    w.users.submit(0, w.users.job("j-000112", 1, 4, 300, false));
    w.loop.run(20);
    int starts = w.invariants.starts;
    for (int i = 0; i < w.size; i++) {
      if (i != w.leader()) {
        w.net.cut("c" + i, "c" + w.leader());
      }
    }
    w.loop.run(5);
    assertThat(w.invariants.starts).isEqualTo(starts);
    w.cutOff(runner(w, "j-000112/0"));
    assertThat(secondsToNextStart(w)).isBetween(SimWorld.LEASE_S - 2, SimWorld.LEASE_S + 10);
    fine(w);
  }
}
