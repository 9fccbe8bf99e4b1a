package graderelay.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.Fault;
import graderelay.sim.RandomDay;
import graderelay.sim.RandomDay.Verdict;
import graderelay.sim.Seeds;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Random days break no rule, with one version and while it replaces the one in production. A
 * failing day is made as short as possible before it is printed.
 */
class RandomDayTest {
  private static final long SEEDS = 60;

  /** The property {@code seed} plays one day, {@code seeds} says how many. */
  static LongStream seeds() {
    return Seeds.upTo(SEEDS);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noInvariantBreaksOnAnyRandomDay(long seed) {
    assertKeepsTheRules(seed, RandomDay::play);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noRuleBreaksWhileTheVersionInProductionIsReplaced(long seed) {
    assertKeepsTheRules(seed, RandomDay::playRollout);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noRuleBreaksWhileControllersAndTheFeatureLevelGoUpAndDown(long seed) {
    assertKeepsTheRules(seed, RandomDay::playLevels);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void everyJobRunsWhileTheCloudHasNoSpotMachines(long seed) {
    // Guards against work that waits for spot machines for good.
    assertKeepsTheRules(seed, RandomDay::playWithoutSpotMachines);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noJobIsLeftWaitingBesideRoomOnFullFleet(long seed) {
    // Guards against a job that is kept from the only machine with room for good.
    assertKeepsTheRules(seed, RandomDay::playOnFullFleet);
  }

  private static void assertKeepsTheRules(
      long seed, BiFunction<Long, List<Fault>, Verdict> player) {
    List<Fault> faults = Fault.day(seed, RandomDay.DAY_S);
    Verdict verdict = player.apply(seed, faults);
    while (!verdict.violations().isEmpty()) {
      List<Fault> fewer = withoutOneThatDoesNotMatter(seed, faults, player);
      if (fewer == null) {
        break;
      }
      faults = fewer;
      verdict = player.apply(seed, faults);
    }
    assertThat(verdict.violations())
        .as("seed %s, faults %s, trace:%n%s", seed, faults, String.join("\n", verdict.trace()))
        .isEmpty();
  }

  /** The same faults but one, which break a rule as well, or null if every one is needed. */
  private static List<Fault> withoutOneThatDoesNotMatter(
      long seed, List<Fault> faults, BiFunction<Long, List<Fault>, Verdict> player) {
    for (int i = 0; i < faults.size(); i++) {
      List<Fault> fewer = new ArrayList<>(faults);
      fewer.remove(i);
      if (!player.apply(seed, fewer).violations().isEmpty()) {
        return fewer;
      }
    }
    return null;
  }
}
