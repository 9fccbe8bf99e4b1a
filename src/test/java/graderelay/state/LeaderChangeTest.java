package graderelay.state;

import static graderelay.sim.ScenarioSteps.allOver;
import static graderelay.sim.ScenarioSteps.arrays;
import static graderelay.sim.ScenarioSteps.refuse;
import static graderelay.sim.ScenarioSteps.running;
import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.runner;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Changes of leader, also many and in an outage. */
class LeaderChangeTest {
  private static SimWorld world(long seed, int size) {
    return WorldAssertions.world(seed, size);
  }

  private static SimWorld oneZone(long seed, int size) {
    return WorldAssertions.zoned(seed, size, "a");
  }

  @ParameterizedTest
  @CsvSource({
    "crash, 0",
    "crash, 2",
    "crash, 4",
    "handover, 0.5",
    "handover, 1",
    "handover, 1.5",
    "isolate, 0.5",
    "isolate, 4",
    "isolate, 12",
    "blink, 0",
    "blink, 0.2"
  })
  void jobsCancelledWhileTheFleetChangesHandsAreGoneInTime(String how, double cancelAfter) {
    SimWorld w = world(321, 3);
    w.users.lookClosely();
    SimJob[] jobs = running(w, 3);
    int leader = w.leader();
    switch (how) {
      case "crash" -> w.crash(leader);
      case "handover" -> refuse(w, leader, true);
      case "isolate" -> w.isolate(leader, true);
      default -> {
        w.crash(leader);
        w.loop.after(0.1, () -> w.start(leader));
      }
    }
    w.loop.run(cancelAfter);
    for (int i = 0; i < 3; i++) {
      w.users.cancel((leader + 1 + i) % 3, jobs[i]);
    }
    w.loop.run(8);
    if (how.equals("isolate")) {
      w.isolate(leader, false);
    }
    w.loop.run(SimWorld.CANCEL_S);
    assertThat(w.workers.values()).allMatch(x -> x.running().isEmpty());
    fine(w);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void tenLeaderChangesInTwoMinutesAlsoInAnOutageCostNoJob(boolean blinks) {
    SimWorld w = world(322, 3);
    List<SimJob> jobs = arrays(w, 24, 4, 9);
    for (int i = 0; i < 10; i++) {
      w.loop.run(10);
      if (i % 4 == 2) {
        w.store.outage(true);
        w.loop.after(8, () -> w.store.outage(false));
      }
      int leader = w.leader();
      if (leader >= 0) {
        w.crash(leader);
        w.loop.after(blinks ? 0.2 : 5, () -> w.start(leader));
      }
    }
    w.loop.run(90);
    allOver(w, jobs);
  }

  @Test
  void leadershipIsHandedOverAndBackAndAllEndAndOneReturnsAtOnce() {
    SimWorld w = oneZone(323, 3);
    SimJob[] jobs = running(w, 2);
    for (int i = 0; i < 3; i++) {
      int leader = w.leader();
      refuse(w, leader, true);
      w.loop.run(2.5);
      assertThat(w.leader()).isNotEqualTo(leader);
      refuse(w, leader, false);
      w.loop.run(2);
    }
    w.users.cancel(0, jobs[0]);
    w.loop.run(0.1);
    w.crashAll();
    w.loop.run(0.4);
    w.start(1);
    w.loop.run(SimWorld.CANCEL_S);
    w.start(0);
    w.start(2);
    w.loop.run(10);
    assertThat(w.workers.values()).noneMatch(x -> x.running().contains(jobs[0].id + "/0"));
    assertThat(w.users.stage(1, jobs[1].id)).isEqualTo("running");
    assertThat(w.invariants.trace()).noneMatch(x -> x.contains("lease over"));
    fine(w);
  }

  @Test
  void allControllersAreAwayForLongerThanOneLeaseAfterCancellation() {
    SimWorld w = world(324, 3);
    SimJob[] jobs = running(w, 2);
    w.users.cancel(0, jobs[0]);
    w.loop.run(0.05);
    w.crashAll();
    w.loop.run(SimWorld.LEASE_S + 5);
    w.startAll();
    w.loop.run(30);
    assertThat(w.users.stage(2, jobs[0].id)).isEqualTo("cancelled");
    assertThat(runner(w, jobs[1].id + "/0")).isNotNull(); // It began anew.
    fine(w);
  }

  @Test
  void tasksThatEndFarApartAcrossLeaderChangeEndTheirJob() {
    SimWorld w = world(325, 3);
    w.cloud.capacity = 1; // One task after the other.
    SimJob j = w.users.job("j-000480", 3, 4, 9, false);
    w.users.submit(0, j);
    for (int i = 0; i < 3; i++) {
      w.loop.run(12);
      int leader = w.leader();
      w.crash(leader);
      w.loop.after(0.5 + i * 3, () -> w.start(leader));
    }
    w.loop.run(40);
    assertThat(w.invariants.starts).isEqualTo(3);
    assertThat(w.users.stage(0, j.id)).isEqualTo("done");
    fine(w);
  }
}
