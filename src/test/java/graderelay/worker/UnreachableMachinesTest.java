package graderelay.worker;

import static graderelay.sim.ScenarioSteps.allOver;
import static graderelay.sim.ScenarioSteps.arrays;
import static graderelay.sim.ScenarioSteps.other;
import static graderelay.sim.ScenarioSteps.running;
import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.runner;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorker;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import graderelay.sim.WorldShape;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Machines that hang, are cut off, or come at once while the leader changes. */
class UnreachableMachinesTest {
  private static SimWorld world(long seed, int size) {
    return WorldAssertions.world(seed, size);
  }

  @ParameterizedTest
  @CsvSource({"2, cancel", "6, cancel", "11, cancel", "20, cancel", "6, owner", "20, owner"})
  void machineThatHangsAndGoesOnKeepsNoCancelledTask(double hangS, String and) {
    SimWorld w = world(331, 3);
    SimJob[] jobs = running(w, 2);
    int leader = w.leader();
    w.workers.values().forEach(x -> x.hang(hangS));
    w.users.cancel(other(w, leader), jobs[0]);
    w.loop.run(0.5);
    if (and.equals("owner")) {
      w.crash(leader);
    }
    w.loop.run(hangS + 15);
    assertThat(w.workers.values()).noneMatch(x -> x.running().contains(jobs[0].id + "/0"));
    w.loop.run(SimWorld.CANCEL_S);
    fine(w);
  }

  @Test
  void commandHeldUpForSecondsStartsNothingOfCancelledJob() {
    SimWorld w = world(332, 3);
    running(w, 1);
    w.net.alwaysPooled = true;
    String machine = w.workers.keySet().iterator().next();
    int leader = w.leader();
    w.net.cut("c" + leader, machine);
    SimJob j = w.users.job("j-000481", 3, 1, 30, true);
    w.users.submit(other(w, leader), j);
    w.loop.run(1.5);
    w.users.cancel(other(w, leader), j);
    w.loop.run(6);
    w.net.heal("c" + leader, machine);
    w.loop.run(SimWorld.CANCEL_S);
    assertThat(w.workers.values()).noneMatch(x -> x.running().contains(j.id + "/0"));
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"cut, 6", "cut, 30", "hang, 6", "hang, 30", "deaf, 30", "mute, 30"})
  void teamAtItsLimitStaysWithinItWhileMachinesAreUnreachableAndTheLeaderChanges(
      String how, double length) {
    SimWorld w = new SimWorld(333, WorldShape.of(3).fleet(20, List.of("a", "b")));
    w.cloud.capacity = 20;
    w.loop.run(3);
    List<SimJob> jobs = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      SimJob j = w.users.job(String.format("j-0004%02d", i), 4, 3, 300, false);
      jobs.add(j);
      w.users.submit(i % 3, j);
    }
    w.loop.run(25);
    assertThat(w.invariants.starts).isEqualTo(20); // 60 of 60 CPUs; four tasks wait for the limit.
    List<SimWorker> some = new ArrayList<>(w.workers.values()).subList(0, 5);
    for (SimWorker x : some) {
      switch (how) {
        case "cut" -> w.cutOff(x.name);
        case "hang" -> x.hang(length);
        case "deaf" -> w.net.deaf(x.name, true);
        default -> w.net.mute(x.name, true);
      }
    }
    int leader = w.leader();
    w.users.cancel(other(w, leader), jobs.get(0));
    w.users.cancel(other(w, leader), jobs.get(1));
    w.loop.run(0.3);
    w.crash(leader);
    w.users.cancel(other(w, leader), jobs.get(2));
    w.loop.run(length);
    for (SimWorker x : some) {
      w.net.deaf(x.name, false);
      w.net.mute(x.name, false);
      for (int i = 0; i < 3; i++) {
        w.net.heal("c" + i, x.name);
      }
    }
    w.start(leader);
    w.loop.run(SimWorld.CANCEL_S + 20);
    for (int i = 3; i < 6; i++) {
      assertThat(w.users.stage(0, jobs.get(i).id)).isEqualTo("running");
    }
    fine(w);
  }

  @Test
  void workersThatCanOpenNoConnectionLoseTheirLeaseAndTheirTasksRunOnce() {
    SimWorld w = world(334, 3);
    SimJob[] jobs = running(w, 3);
    w.workers.keySet().forEach(m -> w.net.mute(m, true));
    w.users.cancel(0, jobs[0]);
    w.loop.run(SimWorld.LEASE_S + 12);
    w.workers.keySet().forEach(m -> w.net.mute(m, false));
    w.loop.run(40);
    assertThat(w.users.stage(1, jobs[0].id)).isEqualTo("cancelled");
    assertThat(w.users.stage(1, jobs[1].id)).isEqualTo("running");
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"cut, 8", "cut, 25", "deaf, 8", "deaf, 25"})
  void leaderEndsWhileMachinesWithLongTasksDoNotHearTheNext(String how, double length) {
    SimWorld w = world(335, 3);
    final SimJob[] jobs = running(w, 2);
    SimJob longOne = w.users.job("j-000482", 3, 1, 70, false);
    w.users.submit(0, longOne);
    w.loop.run(10);
    List<String> names = new ArrayList<>(w.workers.keySet());
    for (String m : names) {
      if (how.equals("cut")) {
        w.cutOff(m);
      } else {
        w.net.deaf(m, true);
      }
    }
    w.crash(w.leader());
    w.users.cancel(w.isUp(0) ? 0 : 1, jobs[0]);
    w.loop.run(length);
    for (String m : names) {
      w.net.deaf(m, false);
      for (int i = 0; i < 3; i++) {
        w.net.heal("c" + i, m);
      }
    }
    w.loop.run(140);
    assertThat(w.users.stage(w.leader(), longOne.id)).isEqualTo("done");
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"0.2, 1", "0.2, 4", "3, 1"})
  void newMachinesGetWorkAtOnceWhileWritesLagAndTheLeaderEnds(double writeS, double endsAfter) {
    SimWorld w = world(336, 3);
    w.cloud.bootFactor = 0.15;
    w.store.delayS = writeS;
    w.store.delay = t -> t.toString().contains("g/slice/");
    final List<SimJob> jobs = arrays(w, 8, 0.1, 6);
    w.loop.run(1 + endsAfter);
    int leader = w.leader();
    w.crash(leader);
    w.loop.run(3);
    w.start(leader);
    w.loop.run(60);
    w.store.delay = t -> false;
    w.loop.run(40);
    allOver(w, jobs);
  }

  @Test
  void jobsBoundToOneZoneRunAgainAfterItsMachinesWereLost() {
    SimWorld w = world(337, 3);
    List<SimJob> jobs = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      SimJob j = w.users.job(String.format("j-0004%02d", i), 2, 1, i % 2 == 0 ? 0 : 120, false);
      j.zone = i < 2 ? "a" : "b";
      jobs.add(j);
      w.users.submit(i % 3, j);
    }
    w.loop.run(20);
    assertThat(w.invariants.starts).isEqualTo(8);
    for (SimWorker x : new ArrayList<>(w.workers.values())) {
      if (x.zone.equals("a")) {
        w.cloud.take(x.name);
      }
    }
    w.loop.run(60);
    for (int i = 0; i < 2; i++) {
      assertThat(runner(w, jobs.get(i).id + "/1")).isNotNull();
    }
    fine(w);
  }

  @Test
  void withMoreWorkThanRoomOverSlowLinksTheUrgentGoesFirstAndAllIsServed() {
    SimWorld w = world(338, 3);
    w.net.slow = 50; // An eighth of a second each way, a quarter at most.
    w.cloud.capacity = 3;
    List<SimJob> jobs = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      SimJob j = w.users.job(String.format("j-0004%02d", i), 4, 1, 8, true);
      j.guest = i % 2 == 0; // Of the lowest priority.
      jobs.add(j);
      w.users.submit(i % 3, j);
    }
    w.loop.run(30);
    SimJob service = w.users.job("j-000483", 2, 2, 0, true);
    w.users.submit(0, service);
    w.loop.run(25);
    assertThat(service.firstStart).isNotNaN();
    w.loop.run(120);
    for (SimJob j : jobs) {
      assertThat(w.users.stage(1, j.id)).isEqualTo("done");
    }
    fine(w);
  }
}
