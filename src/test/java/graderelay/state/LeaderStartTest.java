package graderelay.state;

import static graderelay.sim.WorldAssertions.fine;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.config.Options;
import graderelay.core.Scheduler;
import graderelay.features.FeatureRange;
import graderelay.features.UpgradePolicy;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldShape;
import graderelay.wire.FeatureCodec;
import graderelay.wire.StateCodec;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A leader starts to schedule, whatever else happens between its election and that. */
class LeaderStartTest {
  /** Seconds for which all controllers have to be up before the level is raised. */
  private static final double SOAK_S = 3;

  /** The feature level that is then reached. */
  private static final int LEVEL = 3;

  /** Seconds of an outage in which the level is raised, if it can be. */
  private static final double OUTAGE_S = SOAK_S + 5;

  /** Seconds that each answer of a slow state service takes longer than usual. */
  private static final double SLOW_S = 0.5;

  /** Seconds after the end of an outage within which the leader schedules. */
  private static final double RECOVERY_S = 5;

  /** Seconds after which a leader that can't begin has given up the lead. */
  private static final double GIVE_UP_S = 35;

  /** Seconds after its submission within which a job has run. */
  private static final double RUN_S = 30;

  /** An outside system that is away, slow or refuses. */
  private enum Trouble {
    CLOUD_OUT((world, on) -> world.cloud.outage = on),
    CLOUD_LISTS_NO_TYPES((world, on) -> world.cloud.noTypes = on),
    STORE_REFUSES_LISTS((world, on) -> world.store.refusedList = on ? StateCodec.JOBS : null),
    STORE_HOLDS_READS((world, on) -> world.store.holdWatches = on),
    STORE_SLOW((world, on) -> world.store.slowS = on ? SLOW_S : 0),
    STORE_OUT((world, on) -> world.store.outage(on));

    private final BiConsumer<SimWorld, Boolean> setter;

    Trouble(BiConsumer<SimWorld, Boolean> setter) {
      this.setter = setter;
    }

    private void begin(SimWorld world) {
      setter.accept(world, true);
    }

    private void end(SimWorld world) {
      setter.accept(world, false);
    }
  }

  private static void restartAll(SimWorld world) {
    Options options = new Options(new UpgradePolicy(true, SOAK_S), new FeatureRange(0, LEVEL));
    world.crashAll();
    for (int i = 0; i < world.size; i++) {
      world.replace(i, options);
      world.start(i);
    }
  }

  private static Scheduler schedulerOfLeader(SimWorld world) {
    return world.leader() < 0 ? null : world.controllers[world.leader()].core();
  }

  private static void assertJobRuns(SimWorld world, String id) {
    world.loop.run(RECOVERY_S);
    assertThat(schedulerOfLeader(world)).isNotNull();
    SimJob job = world.users.job(id, 4, 1, 3, false);
    world.users.submit(world.leader(), job);
    world.loop.run(RUN_S);
    assertThat(world.users.stage(0, id)).isEqualTo("done");
    fine(world);
  }

  @Test
  void raiseOfTheLevelBeforeTheFirstTermDoesNotLoseItsStart() {
    // Guards against a leader without a scheduler: accepted jobs stay pending (nothing_ran).
    SimWorld world = new SimWorld(591, WorldShape.of(3));
    Trouble.CLOUD_OUT.begin(world);
    restartAll(world);
    world.loop.run(OUTAGE_S);
    assertThat(world.store.value(FeatureCodec.LEVEL).path("level").asInt()).isEqualTo(LEVEL);
    Trouble.CLOUD_OUT.end(world);
    assertJobRuns(world, "j-000591");
  }

  @ParameterizedTest
  @EnumSource(Trouble.class)
  void leaderSchedulesAfterRestartOfAllWithinTrouble(Trouble trouble) {
    // Guards against an order of events at a start that loses the start for good.
    SimWorld world = new SimWorld(592, WorldShape.of(3));
    world.loop.run(4);
    trouble.begin(world);
    restartAll(world);
    world.loop.run(OUTAGE_S);
    trouble.end(world);
    assertJobRuns(world, "j-000592");
  }

  @ParameterizedTest
  @EnumSource(Trouble.class)
  void leaderSchedulesAfterTakeoverWithinTrouble(Trouble trouble) {
    SimWorld world = new SimWorld(593, WorldShape.of(3));
    restartAll(world);
    world.loop.run(1);
    int leader = world.leader();
    trouble.begin(world);
    world.crash(leader);
    world.loop.run(OUTAGE_S);
    trouble.end(world);
    world.start(leader);
    assertJobRuns(world, "j-000593");
  }

  @ParameterizedTest
  @EnumSource(Trouble.class)
  void leaderSchedulesAfterTroubleThatBeginsWithTheRaiseOfTheLevel(Trouble trouble) {
    SimWorld world = new SimWorld(594, WorldShape.of(3));
    restartAll(world);
    boolean[] hasBegun = {false};
    world.store.onCommit =
        transaction -> {
          if (!hasBegun[0] && transaction.toString().contains(FeatureCodec.LEVEL + "\"")) {
            hasBegun[0] = true;
            world.loop.after(0, () -> trouble.begin(world));
          }
        };
    world.loop.run(OUTAGE_S);
    assertThat(hasBegun[0]).isTrue();
    world.loop.run(OUTAGE_S);
    trouble.end(world);
    assertJobRuns(world, "j-000594");
  }

  @Test
  void jobsEndAfterRestartOfAllWhileTheCloudIsOut() {
    // Guards against a leader that waits for the cloud's machine types before it does anything.
    SimWorld world = new SimWorld(595, WorldShape.of(3));
    world.loop.run(4);
    SimJob cancelled = world.users.job("j-000001", 2, 1, 0, false);
    SimJob ending = world.users.job("j-000002", 2, 1, 12, false);
    world.users.submit(0, cancelled);
    world.users.submit(1, ending);
    world.loop.run(10);
    assertThat(world.invariants.starts).isEqualTo(4);
    Trouble.CLOUD_OUT.begin(world);
    restartAll(world);
    world.loop.run(RECOVERY_S);
    world.users.cancel(2, cancelled);
    world.loop.run(20);
    assertThat(world.users.stage(0, cancelled.id)).isEqualTo("cancelled");
    assertThat(world.users.stage(1, ending.id)).isEqualTo("done");
    Trouble.CLOUD_OUT.end(world);
    assertJobRuns(world, "j-000003");
  }

  @Test
  void leaderThatCannotLoadTheRecordsGivesWayToOneThatCan() {
    // Guards against a leader without a scheduler that nobody replaces.
    SimWorld world = new SimWorld(596, WorldShape.of(3));
    Trouble.STORE_REFUSES_LISTS.begin(world);
    restartAll(world);
    world.loop.run(RECOVERY_S);
    int leader = world.leader();
    world.listsRefused[leader][0] = true;
    Trouble.STORE_REFUSES_LISTS.end(world);
    world.loop.run(GIVE_UP_S);
    assertThat(world.leader()).isNotNegative().isNotEqualTo(leader);
    assertJobRuns(world, "j-000596");
  }

  @Test
  void leaderThatCannotCatchUpKeepsTheLeadInAnOutageOfTheStore() {
    // Guards against an election, which costs worker leases, that no controller could win.
    SimWorld world = new SimWorld(597, WorldShape.of(3));
    restartAll(world);
    world.loop.run(RECOVERY_S);
    int first = world.leader();
    world.refused[first][0] = true;
    while (world.leader() < 0 || world.leader() == first) {
      world.loop.run(0.001);
    }
    world.refused[first][0] = false;
    int leader = world.leader();
    assertThat(world.controllers[leader].core()).isNull();
    Trouble.STORE_OUT.begin(world);
    world.loop.run(GIVE_UP_S);
    assertThat(world.leader()).isEqualTo(leader);
    Trouble.STORE_OUT.end(world);
    assertJobRuns(world, "j-000597");
  }
}
