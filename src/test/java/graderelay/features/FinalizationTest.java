package graderelay.features;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** When the cluster may go to a higher level, whatever its controllers publish and answer. */
class FinalizationTest {
  private static final double SOAK_S = 10;
  private static final double MOST_SILENT_S = 3;
  private static final List<String> CONFIGURED = List.of("m-0", "m-1", "m-2");

  /** Something that a leader sees, and how long after what came before. */
  record Step(double afterS, String member, int max, String incarnation, boolean publishes) {}

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(
            Arbitraries.doubles().between(0, 4),
            Arbitraries.of(CONFIGURED),
            Arbitraries.integers().between(0, 2),
            Arbitraries.of("a", "b"),
            Arbitraries.frequency(
                net.jqwik.api.Tuple.of(1, true), net.jqwik.api.Tuple.of(6, false)))
        .as(Step::new)
        .list()
        .ofMaxSize(60);
  }

  /** Answers and records of each controller, kept plainly beside what is tested. */
  private static final class Seen {
    final Map<String, Member> published = new HashMap<>();
    final Map<String, List<Double>> answersOfRecord = new HashMap<>();

    void publish(Step s, double now) {
      published.put(s.member(), member(s.member(), s.max(), s.incarnation()));
      answersOfRecord.put(s.member(), new ArrayList<>());
    }

    void answer(Step s, double now) {
      List<Double> all = answersOfRecord.get(s.member());
      if (all != null && published.get(s.member()).incarnation().equals(s.incarnation())) {
        all.add(now);
      } else if (all != null) {
        all.clear(); // Another process answers.
      }
    }

    /** True if the answers without a gap up to now go back for at least the soak time. */
    boolean steady(String name, double now) {
      List<Double> all = answersOfRecord.getOrDefault(name, List.of());
      double next = now;
      double first = Double.POSITIVE_INFINITY;
      for (int i = all.size() - 1; i >= 0 && next - all.get(i) <= MOST_SILENT_S; i--) {
        next = all.get(i);
        first = next;
      }
      return now - first >= SOAK_S;
    }
  }

  private static Member member(String name, int max, String incarnation) {
    return new Member(name, "test", new FeatureRange(0, max), incarnation, 1, 1);
  }

  @Property(seed = "20261202", tries = 2000)
  void levelIsFreeOnlyIfEveryPublishedProcessSupportsItAndHasAnsweredForTheSoakTime(
      @ForAll("steps") List<Step> steps) {
    MemberLiveness liveness = new MemberLiveness(MOST_SILENT_S);
    Seen seen = new Seen();
    double now = 0;
    for (Step s : steps) {
      now += s.afterS();
      if (s.publishes()) {
        seen.publish(s, now);
      } else {
        liveness.heard(s.member(), s.incarnation(), now);
        seen.answer(s, now);
      }
      for (int level = 1; level <= Feature.LATEST_LEVEL; level++) {
        List<Blocker> blockers =
            Finalization.blockers(level, CONFIGURED, seen.published, liveness, SOAK_S, now);
        if (blockers.isEmpty()) {
          for (String name : CONFIGURED) {
            Member m = seen.published.get(name);
            assertThat(m).as(name).isNotNull();
            assertThat(m.range().supports(level)).as(name).isTrue();
            assertThat(seen.steady(name, now)).as(name).isTrue();
          }
        }
        assertThat(blockers.size()).isLessThanOrEqualTo(CONFIGURED.size());
      }
    }
  }

  @Test
  void allThatPublishAndAnswerForTheSoakTimeFreeTheLevel() {
    MemberLiveness liveness = new MemberLiveness(MOST_SILENT_S);
    Seen seen = new Seen();
    for (String name : CONFIGURED) {
      seen.publish(new Step(0, name, 2, "a", true), 0);
    }
    for (int second = 0; second <= SOAK_S; second++) {
      for (String name : CONFIGURED) {
        Step s = new Step(0, name, 2, "a", false);
        liveness.heard(name, "a", second);
        seen.answer(s, second);
      }
      double at = second;
      boolean free =
          Finalization.blockers(2, CONFIGURED, seen.published, liveness, SOAK_S, second).isEmpty();
      assertThat(free).isEqualTo(second >= SOAK_S);
      assertThat(free).isEqualTo(CONFIGURED.stream().allMatch(n -> seen.steady(n, at)));
    }
  }

  @Test
  void processThatIsNotTheOneThatPublishedIsNamed() {
    MemberLiveness liveness = new MemberLiveness(MOST_SILENT_S);
    Map<String, Member> published = Map.of("m-0", member("m-0", 2, "a"));
    liveness.heard("m-0", "b", 1);
    assertThat(Finalization.blockers(1, List.of("m-0"), published, liveness, SOAK_S, 2).toString())
        .contains("m-0 was restarted");
    assertThat(Finalization.blockers(1, List.of("m-0"), published, liveness, SOAK_S, 9).toString())
        .contains("m-0 gives no answer");
    assertThat(Finalization.blockers(1, List.of("m-1"), published, liveness, SOAK_S, 9).toString())
        .contains("m-1 has published no feature levels");
  }

  @Property(seed = "20261202", tries = 500)
  void gateUsesEachFeatureOnlyWithinItsRangeAndTheLevel(
      @ForAll @net.jqwik.api.constraints.IntRange(max = 3) int max,
      @ForAll @net.jqwik.api.constraints.IntRange(max = 5) int level,
      @ForAll @net.jqwik.api.constraints.IntRange(max = 5) int target) {
    FeatureGate gate = new FeatureGate(new FeatureRange(0, max));
    assertThat(gate.isOpen()).isFalse();
    gate.onLevel(new ClusterLevel(level, Math.min(level, target)));
    assertThat(gate.isOpen()).isEqualTo(level <= max);
    for (Feature f : Feature.values()) {
      boolean may = level <= max && f.level() <= Math.min(level, target);
      assertThat(gate.enabled(f)).isEqualTo(may);
      assertThat(gate.present(f)).isEqualTo(f.level() <= level);
    }
    gate.onMalformed("nothing");
    assertThat(gate.isOpen()).isFalse();
  }
}
