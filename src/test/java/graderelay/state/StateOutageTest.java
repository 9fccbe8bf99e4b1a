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

/** An outage of the store, and restarts in it. */
class StateOutageTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 3);
  }

  @Test
  void runningTasksOutliveRestartOfAllControllersInOutageAsLongAsCancellationAllows() {
    SimWorld w = new SimWorld(25, WorldShape.of(3).fleet(8, List.of("a")));
    w.loop.run(3);
    w.users.submit(0, w.users.job("j-000051", 3, 1, 0, false));
    w.loop.run(15);
    final int starts = w.invariants.starts;
    w.store.outage(true);
    w.loop.run(3);
    w.crashAll();
    w.loop.run(6);
    w.startAll();
    // A lease, and what processes that know nothing may give away, but for a heartbeat's interval.
    w.loop.run(SimWorld.LEASE_S + w.settings(0).beginnersS() - 3);
    w.store.outage(false);
    w.loop.run(20);
    assertThat(w.leader()).isNotNegative();
    assertThat(w.invariants.starts).isEqualTo(starts);
    fine(w);
  }

  /** The same with a cancellation that the leader had not heard of: nobody remembers it now. */
  @ParameterizedTest
  @CsvSource({"a, 3, 6", "a, 0.1, 6", "a, 0.1, 11", "a, 9, 6", "ab, 0.1, 6", "ab, 3, 0.2"})
  void cancellationJustBeforeAnOutageIsCarriedOutThoughAllControllersRestart(
      String zones, double until, double away) {
    SimWorld w = new SimWorld(25, WorldShape.of(3).fleet(8, List.of(zones.split("(?<=.)"))));
    w.loop.run(3);
    SimJob j = w.users.job("j-000051", 3, 1, 0, false);
    w.users.submit(0, j);
    w.loop.run(15);
    int other = (w.leader() + 1) % 3;
    w.refused[w.leader()][0] = true;
    w.users.cancel(other, j);
    w.loop.run(0.05);
    assertThat(j.cancelAnswered).isNotNaN();
    w.store.outage(true);
    w.crash(other); // Nobody has heard of it.
    w.loop.run(until);
    w.crash((other + 1) % 3);
    w.crash((other + 2) % 3);
    w.loop.run(away);
    w.startAll();
    w.loop.run(SimWorld.CANCEL_S + 20);
    w.store.outage(false);
    w.loop.run(20);
    fine(w);
  }

  @Test
  void withTheStoreAwayUsersAreAnsweredAtOnceAndNothingIsForgotten() {
    SimWorld w = world(16);
    SimJob j = w.users.job("j-000018", 2, 1, 4, true);
    w.users.submit(0, j);
    w.loop.run(30);
    w.store.outage(true);
    w.loop.run(6);
    double asked = w.loop.now();
    SimJob k = w.users.job("j-000019", 1, 1, 2, true);
    JsonNode a = w.users.answer(0, "POST", "/v1/jobs", Json.write(w.users.body(k)));
    assertThat(a.path("http").asInt()).isEqualTo(503);
    assertThat(w.loop.now() - asked).isLessThan(0.2);
    assertThat(w.users.stage(0, j.id)).isEqualTo("done");
    w.store.outage(false);
    w.users.submit(0, k);
    w.loop.run(60);
    assertThat(w.users.stage(1, k.id)).isEqualTo("done");
    fine(w);
  }
}
