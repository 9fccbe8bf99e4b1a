package graderelay.scenario;

import static graderelay.core.SchedulerFixture.machineName;
import static graderelay.core.SchedulerFixture.registerMachine;
import static graderelay.sim.WorldAssertions.fine;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.core.Action;
import graderelay.core.Scheduler;
import graderelay.core.SchedulerFixture;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldShape;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A fleet of four thousand machines, with a task on each, through what may befall it. */
class FleetOfThousandsTest {
  private static final int MACHINES = 4000;
  private static final int REPLICAS = 100;
  private static final double HEARTBEAT_S = 4;
  private static final double LEASE_S = 22;
  private static final double CPUS_OF_A_MACHINE = 4;

  private static SimWorld fleet() {
    WorldShape shape =
        new WorldShape(
            5, HEARTBEAT_S, LEASE_S, List.of("a", "b"), MACHINES, CPUS_OF_A_MACHINE * MACHINES);
    return new SimWorld(70, shape);
  }

  private static List<SimJob> replicasOnEveryMachine(SimWorld w) {
    List<SimJob> jobs = new ArrayList<>();
    for (int i = 0; i < MACHINES / REPLICAS; i++) {
      SimJob job =
          w.users.job(String.format("j-0070%02d", i), REPLICAS, CPUS_OF_A_MACHINE, 0, false);
      jobs.add(job);
      w.users.submit(i % w.size, job);
    }
    for (int i = 0; i < 180 && w.invariants.starts < MACHINES; i++) {
      w.loop.run(1);
    }
    assertThat(w.invariants.starts).isEqualTo(MACHINES);
    return jobs;
  }

  @Test
  void goesThroughFailoverAndZonePartitionWithoutLosingAnyTask() {
    SimWorld w = fleet();
    w.loop.run(4);
    final List<SimJob> jobs = replicasOnEveryMachine(w);
    w.loop.run(15);

    int leader = w.leader();
    w.crash(leader);
    double crashedAt = w.loop.now();
    while (w.leader() < 0 && w.loop.now() < crashedAt + LEASE_S) {
      w.loop.run(0.1);
    }
    assertThat(w.loop.now() - crashedAt).isLessThan(5);
    w.loop.run(6);
    w.start(leader);
    w.loop.run(LEASE_S + 10);
    assertThat(w.invariants.starts).as(w.invariants.trace().toString()).isEqualTo(MACHINES);

    w.net.cutZone("b", true);
    w.loop.run(LEASE_S + 2);
    w.net.cutZone("b", false);
    w.loop.run(LEASE_S);
    assertThat(w.invariants.starts).as(w.invariants.trace().toString()).isEqualTo(MACHINES);
    for (SimJob job : jobs) {
      assertThat(w.users.stage(0, job.id)).as(job.id).isEqualTo("running");
    }
    assertThat(w.workers).hasSize(MACHINES);
    fine(w);
  }

  /** All machines are full, and sent a heartbeat a moment ago. */
  private static Scheduler full() {
    Scheduler s = SchedulerFixture.scheduler(1);
    for (int i = 0; i < MACHINES; i++) {
      registerMachine(s, machineName(i), 0);
    }
    for (int i = 0; i < MACHINES / REPLICAS; i++) {
      s.onJob(
          SchedulerFixture.wholeMachineArray(String.format("j-%d", i), REPLICAS), false, 5, 0, 0);
      SchedulerFixture.commitAll(s, 10 + i, 0.1 + 0.06 * i);
    }
    assertThat(s.machines(3).stream().filter(m -> m.claims() == 1).count()).isEqualTo(MACHINES);
    return s;
  }

  @Test
  void jobsThatWaitDoNotLookAtMachinesThatAreFull() {
    Scheduler s = full();
    for (int i = 0; i < 40; i++) {
      s.onJob(SchedulerFixture.wholeMachineArray(String.format("j-9%d", i), 10), false, 5, 3, 3);
    }
    long before = s.examinedCount();
    s.step(3.1);
    // Each machine a few times for the round as a whole, and not once for each job that waits.
    assertThat(s.examinedCount() - before).isBetween((long) MACHINES, 4L * MACHINES);
  }

  @Test
  void whetherRoomCanBeMadeIsLookedAtOnceForJobsThatAskForTheSame() {
    Scheduler s = full();
    for (int i = 0; i < 40; i++) {
      // More than any machine has, so that no stop makes room.
      s.onJob(
          SchedulerFixture.urgentUnlimitedTeamArray(String.format("j-9%d", i), 10, 8),
          false,
          5,
          3,
          3);
    }
    long before = s.examinedCount();
    s.step(3.1);
    assertThat(s.examinedCount() - before).isBetween((long) MACHINES, 8L * MACHINES);
  }

  @Test
  void planRecordsTheImagesOfAllMachinesInSmallGroups() {
    Scheduler s = SchedulerFixture.scheduler(1);
    for (int i = 0; i < MACHINES; i++) {
      registerMachine(s, machineName(i), 0);
    }
    s.onRecordsLoaded(0);
    for (int i = 0; i < MACHINES / REPLICAS; i++) {
      s.onJob(
          SchedulerFixture.wholeMachineArray(String.format("j-%d", i), REPLICAS), false, 5, 0, 0);
      SchedulerFixture.commitAll(s, 10 + i, 0.1 + 0.1 * i);
    }
    Set<String> recorded = new HashSet<>();
    for (int second = 6; second < 76; second += 2) {
      for (int i = 0; i < MACHINES; i++) {
        SchedulerFixture.runTasks(
            s, machineName(i), second, 0, second); // What runs there is running still.
      }
      s.tick(second + 1);
      List<Action> actions = SchedulerFixture.pendingActions(s);
      int records = 0;
      for (Action a : actions) {
        if (a instanceof Action.StoreImages images) {
          records++;
          recorded.addAll(images.imagesByMachine().keySet());
        }
      }
      assertThat(records).isLessThanOrEqualTo(24);
      actions.removeIf(a -> !(a instanceof Action.SendCommands));
    }
    assertThat(recorded).hasSize(MACHINES);
  }
}
