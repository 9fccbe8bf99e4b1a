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

/**
 * Conditions for finalizing a higher level, for any sequence of published records and responses.
 */
class FinalizationTest {
  private static final double SOAK_S = 10;
  private static final double MAX_SILENCE_S = 3;
  private static final List<String> CONFIGURED = List.of("m-0", "m-1", "m-2");

  /** An event that a leader observes, and the seconds since the previous one. */
  record Step(double afterS, String member, int maxLevel, String incarnation, boolean publishes) {}

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

  /** A simple reference model of the records and responses of each controller. */
  private static final class ReferenceModel {
    final Map<String, Member> published = new HashMap<>();
    final Map<String, List<Double>> responsesOfPublishedProcess = new HashMap<>();

    void onPublished(Step step, double now) {
      published.put(step.member(), member(step.member(), step.maxLevel(), step.incarnation()));
      responsesOfPublishedProcess.put(step.member(), new ArrayList<>());
    }

    void onResponse(Step step, double now) {
      List<Double> responses = responsesOfPublishedProcess.get(step.member());
      if (responses != null
          && published.get(step.member()).incarnation().equals(step.incarnation())) {
        responses.add(now);
      } else if (responses != null) {
        responses.clear(); // Another process has responded.
      }
    }

    /** True if the uninterrupted responses up to now span at least the soak time. */
    boolean hasCompletedSoak(String name, double now) {
      List<Double> responses = responsesOfPublishedProcess.getOrDefault(name, List.of());
      double next = now;
      double first = Double.POSITIVE_INFINITY;
      for (int i = responses.size() - 1; i >= 0 && next - responses.get(i) <= MAX_SILENCE_S; i--) {
        next = responses.get(i);
        first = next;
      }
      return now - first >= SOAK_S;
    }
  }

  private static Member member(String name, int max, String incarnation) {
    return new Member(name, "test", new FeatureRange(0, max), incarnation, 1, 1);
  }

  @Property(seed = "20261202", tries = 2000)
  void levelMayBeFinalizedOnlyIfEveryPublishedProcessSupportsItAndCompletedTheSoak(
      @ForAll("steps") List<Step> steps) {
    MemberLiveness liveness = new MemberLiveness(MAX_SILENCE_S);
    ReferenceModel model = new ReferenceModel();
    double now = 0;
    for (Step step : steps) {
      now += step.afterS();
      if (step.publishes()) {
        model.onPublished(step, now);
      } else {
        liveness.onResponse(step.member(), step.incarnation(), now);
        model.onResponse(step, now);
      }
      for (int level = 1; level <= Feature.LATEST_LEVEL; level++) {
        List<Blocker> blockers =
            Finalization.blockers(level, CONFIGURED, model.published, liveness, SOAK_S, now);
        if (blockers.isEmpty()) {
          for (String name : CONFIGURED) {
            Member member = model.published.get(name);
            assertThat(member).as(name).isNotNull();
            assertThat(member.range().supports(level)).as(name).isTrue();
            assertThat(model.hasCompletedSoak(name, now)).as(name).isTrue();
          }
        }
        assertThat(blockers.size()).isLessThanOrEqualTo(CONFIGURED.size());
      }
    }
  }

  @Test
  void levelMayBeFinalizedOnceAllMembersPublishAndCompleteTheSoak() {
    MemberLiveness liveness = new MemberLiveness(MAX_SILENCE_S);
    ReferenceModel model = new ReferenceModel();
    for (String name : CONFIGURED) {
      model.onPublished(new Step(0, name, 2, "a", true), 0);
    }
    for (int second = 0; second <= SOAK_S; second++) {
      for (String name : CONFIGURED) {
        Step step = new Step(0, name, 2, "a", false);
        liveness.onResponse(name, "a", second);
        model.onResponse(step, second);
      }
      double now = second;
      boolean mayFinalize =
          Finalization.blockers(2, CONFIGURED, model.published, liveness, SOAK_S, second).isEmpty();
      assertThat(mayFinalize).isEqualTo(second >= SOAK_S);
      assertThat(mayFinalize)
          .isEqualTo(CONFIGURED.stream().allMatch(name -> model.hasCompletedSoak(name, now)));
    }
  }

  @Test
  void blockersNameMembersWhosePublishedProcessDoesNotRespond() {
    MemberLiveness liveness = new MemberLiveness(MAX_SILENCE_S);
    Map<String, Member> published = Map.of("m-0", member("m-0", 2, "a"));
    liveness.onResponse("m-0", "b", 1);
    assertThat(Finalization.blockers(1, List.of("m-0"), published, liveness, SOAK_S, 2).toString())
        .contains("m-0 was restarted");
    assertThat(Finalization.blockers(1, List.of("m-0"), published, liveness, SOAK_S, 9).toString())
        .contains("m-0 gives no answer");
    assertThat(Finalization.blockers(1, List.of("m-1"), published, liveness, SOAK_S, 9).toString())
        .contains("m-1 has published no feature levels");
  }

  @Property(seed = "20261202", tries = 500)
  void gateEnablesFeaturesOnlyWithinItsRangeAndTheClusterLevel(
      @ForAll @net.jqwik.api.constraints.IntRange(max = 3) int max,
      @ForAll @net.jqwik.api.constraints.IntRange(max = 5) int level,
      @ForAll @net.jqwik.api.constraints.IntRange(max = 5) int target) {
    FeatureGate gate = new FeatureGate(new FeatureRange(0, max));
    assertThat(gate.isOpen()).isFalse();
    gate.onLevel(new ClusterLevel(level, Math.min(level, target)));
    assertThat(gate.isOpen()).isEqualTo(level <= max);
    for (Feature feature : Feature.values()) {
      boolean usable = level <= max && feature.level() <= Math.min(level, target);
      assertThat(gate.isEnabled(feature)).isEqualTo(usable);
      assertThat(gate.mayHaveRecords(feature)).isEqualTo(feature.level() <= level);
    }
    gate.onMalformed("nothing");
    assertThat(gate.isOpen()).isFalse();
  }
}
