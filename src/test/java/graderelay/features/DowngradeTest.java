package graderelay.features;

import static graderelay.features.UpgradeSteps.SOAK_S;
import static graderelay.features.UpgradeSteps.assertAllJobsEnd;
import static graderelay.features.UpgradeSteps.requestLevelChange;
import static graderelay.features.UpgradeSteps.storedLevel;
import static graderelay.features.UpgradeSteps.submitSteadyJobs;
import static graderelay.features.UpgradeSteps.worldAtLatestLevel;
import static graderelay.sim.WorldAssertions.fine;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.wire.FeatureCodec;
import graderelay.wire.StateCodec;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Downgrades of the feature level, also while leaders fail. */
class DowngradeTest {
  @ParameterizedTest
  @CsvSource({"1, 216", "0, 217"})
  void downgradeRemovesTheNewRecordsBeforeLoweringTheLevel(int target, long seed) {
    SimWorld world = worldAtLatestLevel(seed, 3);
    world.users.submit(0, world.users.job("j-000650", 3, 1, 0, false));
    world.loop.run(40);
    assertThat(world.store.items.keySet()).anyMatch(key -> key.startsWith(FeatureCodec.HINTS));
    final int starts = world.invariants.starts;
    assertThat(requestLevelChange(world, world.leader(), "downgrade", target).path("http").asInt())
        .isEqualTo(200);
    world.loop.run(10);
    assertThat(storedLevel(world)).isEqualTo(target);
    assertThat(world.store.items.keySet()).noneMatch(key -> key.startsWith(FeatureCodec.HINTS));
    world.loop.run(3 * SOAK_S); // The downgrade holds the level, so it is not raised again.
    assertThat(storedLevel(world)).isEqualTo(target);
    assertThat(world.invariants.starts).isEqualTo(starts);
    if (target == 0) {
      assertThat(world.store.value(FeatureCodec.LEADER)).isNull();
      assertThat(world.store.items.keySet())
          .noneMatch(key -> key.startsWith(StateCodec.SUSPENSIONS));
      rollBackToProduction(world);
    }
    fine(world);
  }

  /** Restarts all controllers with the version in production, which has to lead again. */
  private static void rollBackToProduction(SimWorld world) {
    for (int i = 0; i < world.size; i++) {
      world.rollBack(i);
      world.crash(i);
      world.loop.run(1);
      world.start(i);
      world.loop.run(5);
    }
    assertThat(world.leader()).isNotNegative();
    assertThat(world.users.stage(0, "j-000650")).isEqualTo("running");
  }

  @ParameterizedTest
  @CsvSource({"1, 218", "2, 219", "3, 220", "4, 221", "5, 222", "6, 223"})
  void downgradeInterruptedAfterAnyStepContinuesUnderTheNextLeader(int step, long seed) {
    SimWorld world = worldAtLatestLevel(seed, 3);
    final List<SimJob> jobs = submitSteadyJobs(world, 30);
    world.loop.run(40);
    int[] stepCount = {0};
    int leader = world.leader();
    world.store.loseAnswer =
        transaction -> {
          String changes = transaction.path("then").toString();
          boolean isDowngradeStep =
              changes.contains(FeatureCodec.LEVEL)
                  || changes.contains("\"drop\":\"" + FeatureCodec.HINTS)
                  || changes.contains("\"drop\":\"" + StateCodec.SUSPENSIONS);
          if (isDowngradeStep && ++stepCount[0] == step) {
            world.loop.after(0, () -> world.crash(leader));
            return true;
          }
          return false;
        };
    requestLevelChange(world, leader, "downgrade", 0);
    world.loop.run(8);
    world.store.loseAnswer = transaction -> false;
    if (!world.isUp(leader)) {
      world.start(leader);
    }
    world.loop.run(25);
    assertThat(storedLevel(world)).as("after step " + step + " of " + stepCount[0]).isZero();
    assertThat(world.store.items.keySet()).noneMatch(key -> key.startsWith(FeatureCodec.HINTS));
    assertThat(world.leader()).isNotNegative();
    assertAllJobsEnd(world, jobs);
  }
}
