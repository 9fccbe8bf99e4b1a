package graderelay.state;

import static graderelay.sim.WorldAssertions.fine;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import graderelay.sim.WorldShape;
import graderelay.wire.Json;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Outages of the key-value store, and restarts of controllers during them. */
class StateOutageTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 3);
  }

  @Test
  void tasksSurviveRestartOfAllControllersInOutageWithinTheTimeOfCancellations() {
    SimWorld world = new SimWorld(25, WorldShape.of(3).fleet(8, List.of("a")));
    world.loop.run(3);
    world.users.submit(0, world.users.job("j-000051", 3, 1, 0, false));
    world.loop.run(15);
    final int starts = world.invariants.starts;
    world.store.outage(true);
    world.loop.run(3);
    world.crashAll();
    world.loop.run(6);
    world.startAll();
    // One lease, and the time for which new processes may renew leases without knowing
    // cancellations, less a heartbeat interval.
    world.loop.run(SimWorld.LEASE_S + world.settings(0).startupRenewalS() - 3);
    world.store.outage(false);
    world.loop.run(20);
    assertThat(world.leader()).isNotNegative();
    assertThat(world.invariants.starts).isEqualTo(starts);
    fine(world);
  }

  /**
   * The only controller to which a cancellation is known crashes at the start of the outage, and
   * the others restart during it, so that the cancellation is known to no process.
   */
  @ParameterizedTest
  @CsvSource({"a, 3, 6", "a, 0.1, 6", "a, 0.1, 11", "a, 9, 6", "ab, 0.1, 6", "ab, 3, 0.2"})
  void cancellationJustBeforeOutageTakesEffectAlthoughAllControllersRestart(
      String zones, double othersCrashAfterS, double downS) {
    SimWorld world = new SimWorld(25, WorldShape.of(3).fleet(8, List.of(zones.split("(?<=.)"))));
    world.loop.run(3);
    SimJob job = world.users.job("j-000051", 3, 1, 0, false);
    world.users.submit(0, job);
    world.loop.run(15);
    int other = (world.leader() + 1) % 3;
    world.refused[world.leader()][0] = true;
    world.users.cancel(other, job);
    world.loop.run(0.05);
    assertThat(job.cancelAnswered).isNotNaN();
    world.store.outage(true);
    world.crash(other); // The cancellation is known to no other controller.
    world.loop.run(othersCrashAfterS);
    world.crash((other + 1) % 3);
    world.crash((other + 2) % 3);
    world.loop.run(downS);
    world.startAll();
    world.loop.run(SimWorld.CANCEL_S + 20);
    world.store.outage(false);
    world.loop.run(20);
    fine(world);
  }

  @Test
  void usersAreAnsweredAtOnceDuringStoreOutageAndJobsAreKept() {
    SimWorld world = world(16);
    SimJob job = world.users.job("j-000018", 2, 1, 4, true);
    world.users.submit(0, job);
    world.loop.run(30);
    world.store.outage(true);
    world.loop.run(6);
    double askedAt = world.loop.now();
    SimJob refusedJob = world.users.job("j-000019", 1, 1, 2, true);
    JsonNode answer =
        world.users.answer(0, "POST", "/v1/jobs", Json.write(world.users.body(refusedJob)));
    assertThat(answer.path("http").asInt()).isEqualTo(503);
    assertThat(world.loop.now() - askedAt).isLessThan(0.2);
    assertThat(world.users.stage(0, job.id)).isEqualTo("done");
    world.store.outage(false);
    world.users.submit(0, refusedJob);
    world.loop.run(60);
    assertThat(world.users.stage(1, refusedJob.id)).isEqualTo("done");
    fine(world);
  }
}
