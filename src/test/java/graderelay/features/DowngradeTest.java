package graderelay.features;

import static graderelay.features.UpgradeSteps.SOAK_S;
import static graderelay.features.UpgradeSteps.allEnd;
import static graderelay.features.UpgradeSteps.change;
import static graderelay.features.UpgradeSteps.finalized;
import static graderelay.features.UpgradeSteps.level;
import static graderelay.features.UpgradeSteps.steadyJobs;
import static graderelay.sim.WorldAssertions.fine;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.wire.FeatureCodec;
import graderelay.wire.StateCodec;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Feature levels that are lowered, step by step and under failing leaders. */
class DowngradeTest {
  @ParameterizedTest
  @CsvSource({"1, 216", "0, 217"})
  void downgradeRemovesTheNewFormsBeforeTheLevelFalls(int target, long seed) {
    SimWorld w = finalized(seed, 3);
    w.users.submit(0, w.users.job("j-000650", 3, 1, 0, false));
    w.loop.run(40);
    assertThat(w.store.items.keySet()).anyMatch(k -> k.startsWith(FeatureCodec.HINTS));
    final int starts = w.invariants.starts;
    assertThat(change(w, w.leader(), "downgrade", target).path("http").asInt()).isEqualTo(200);
    w.loop.run(10);
    assertThat(level(w)).isEqualTo(target);
    assertThat(w.store.items.keySet()).noneMatch(k -> k.startsWith(FeatureCodec.HINTS));
    w.loop.run(3 * SOAK_S); // It is held, and does not rise again by itself.
    assertThat(level(w)).isEqualTo(target);
    assertThat(w.invariants.starts).isEqualTo(starts);
    if (target == 0) {
      assertThat(w.store.value(FeatureCodec.LEADER)).isNull();
      assertThat(w.store.items.keySet()).noneMatch(k -> k.startsWith(StateCodec.SUSPENSIONS));
      upgradeToProduction(w);
    }
    fine(w);
  }

  /** The version in production leads again. */
  private static void upgradeToProduction(SimWorld w) {
    for (int i = 0; i < w.size; i++) {
      w.rollBack(i);
      w.crash(i);
      w.loop.run(1);
      w.start(i);
      w.loop.run(5);
    }
    assertThat(w.leader()).isNotNegative();
    assertThat(w.users.stage(0, "j-000650")).isEqualTo("running");
  }

  @ParameterizedTest
  @CsvSource({"1, 218", "2, 219", "3, 220", "4, 221", "5, 222", "6, 223"})
  void downgradeInterruptedAfterAnyStepGoesOnUnderTheNextLeader(int step, long seed) {
    SimWorld w = finalized(seed, 3);
    final List<SimJob> jobs = steadyJobs(w, 30);
    w.loop.run(40);
    int[] steps = {0};
    int leader = w.leader();
    w.store.loseAnswer =
        t -> {
          String changes = t.path("then").toString();
          boolean ofTheDowngrade =
              changes.contains(FeatureCodec.LEVEL)
                  || changes.contains("\"drop\":\"" + FeatureCodec.HINTS)
                  || changes.contains("\"drop\":\"" + StateCodec.SUSPENSIONS);
          if (ofTheDowngrade && ++steps[0] == step) {
            w.loop.after(0, () -> w.crash(leader));
            return true;
          }
          return false;
        };
    change(w, leader, "downgrade", 0);
    w.loop.run(8);
    w.store.loseAnswer = t -> false;
    if (!w.isUp(leader)) {
      w.start(leader);
    }
    w.loop.run(25);
    assertThat(level(w)).as("after step " + step + " of " + steps[0]).isZero();
    assertThat(w.store.items.keySet()).noneMatch(k -> k.startsWith(FeatureCodec.HINTS));
    assertThat(w.leader()).isNotNegative();
    allEnd(w, jobs);
  }
}
