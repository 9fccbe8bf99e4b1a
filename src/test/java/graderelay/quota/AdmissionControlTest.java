package graderelay.quota;

import static org.assertj.core.api.Assertions.assertThat;

import graderelay.quota.TwoClaimers.Fate;
import graderelay.quota.TwoClaimers.Mutation;
import graderelay.quota.TwoClaimers.Step;
import java.math.BigDecimal;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Claims of two controllers at once, by the rules of admission alone. */
class AdmissionControlTest {
  private static final int STEPS = 80;
  private static final int SEEDS = 1000;

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Integer> claimer = Arbitraries.integers().between(0, 1);
    Arbitrary<Integer> pick = Arbitraries.integers().between(0, 50);
    Arbitrary<Integer> millis = Arbitraries.integers().between(1, 2500);
    Arbitrary<Fate> fate = Arbitraries.of(Fate.values());
    Arbitrary<Step> step =
        Arbitraries.oneOf(
            Combinators.combine(claimer, millis, fate).as(Step.Claim::new),
            Combinators.combine(claimer, pick, fate).as(Step.End::new),
            Combinators.combine(claimer, Arbitraries.doubles().between(0, 6), fate)
                .as(Step.WriteAccount::new),
            claimer.map(Step.Read::new),
            claimer.map(Step.Failover::new),
            Arbitraries.integers().between(1, 6000).map(Step.Limit::new),
            Arbitraries.integers().between(0, 6000).map(Step.Tamper::new),
            pick.map(Step.CarryOut::new));
    return step.list().ofMaxSize(STEPS);
  }

  @Property(tries = 2000, seed = "29")
  void noOrderOfStepsPassesTheLimitAndNothingIsLostInTheEnd(@ForAll("steps") List<Step> steps) {
    TwoClaimers claimers = new TwoClaimers(Mutation.NONE);
    steps.forEach(claimers::play);
    claimers.settleDown();
    assertThat(claimers.violations).isEmpty();
    assertThat(claimers.claims().times(2).covers(claimers.account().use())).isTrue();
    assertThat(claimers.account().use().covers(claimers.claims())).isTrue();
  }

  /** A random order of steps that fit each other better than those drawn one by one. */
  private static TwoClaimers randomDay(long seed, Mutation mutation) {
    SplittableRandom random = new SplittableRandom(seed);
    TwoClaimers claimers = new TwoClaimers(mutation);
    for (int i = 0; i < STEPS; i++) {
      claimers.play(step(random));
    }
    return claimers;
  }

  private static Step step(SplittableRandom random) {
    int claimer = random.nextInt(2);
    Fate fate = random.nextInt(3) > 0 ? Fate.ANSWERED : Fate.values()[random.nextInt(4)];
    return switch (random.nextInt(20)) {
      case 0, 1, 2, 3, 4, 5, 6 -> new Step.Claim(claimer, 1 + random.nextInt(1500), fate);
      case 7, 8 -> new Step.End(claimer, random.nextInt(20), fate);
      case 9, 10, 11, 12 -> new Step.WriteAccount(claimer, random.nextDouble() * 6, fate);
      case 13, 14, 15, 16 -> new Step.Read(claimer);
      case 17 -> new Step.Limit(1 + random.nextInt(6000));
      case 18 -> random.nextBoolean() ? new Step.Failover(claimer) : new Step.Tamper(0);
      default -> new Step.CarryOut(random.nextInt(20));
    };
  }

  @ParameterizedTest
  @EnumSource(Mutation.class)
  void everyMutationIsFoundByRandomDaysAndNothingElseIs(Mutation mutation) {
    int found = 0;
    int claims = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      TwoClaimers day = randomDay(seed, mutation);
      found += day.violations.isEmpty() ? 0 : 1;
      claims += day.committedClaims;
    }
    System.out.printf("%s: found by %d of %d random days%n", mutation, found, SEEDS);
    assertThat(claims).isGreaterThan(SEEDS);
    if (mutation == Mutation.NONE) {
      assertThat(found).isZero();
    } else {
      assertThat(found).as("days that find it, of " + SEEDS).isPositive();
    }
  }

  private static StoredQuota stored(Account account, long limitRevision, long asOf) {
    TeamQuota quota = new TeamQuota(Amount.granted(1, 0), Amount.granted(4, 2));
    return new StoredQuota(
        Map.of("team", LimitRecord.of(quota, limitRevision, "operator", 0)),
        account.revision() == 0 ? Map.of() : Map.of("team", account),
        true,
        asOf);
  }

  /** A leader that has fenced the team's account at revision 11, and read it. */
  private static AdmissionControl settled() {
    AdmissionControl control = new AdmissionControl("leader", 5);
    control.enable();
    control.update(stored(Account.ABSENT, 3, 10));
    control.wantSettled("team");
    List<AccountChange> fences = control.fences(9);
    control.committed(fences, 11);
    assertThat(control.refusal("team").temporary()).isTrue(); // It has not read that far.
    control.update(stored(Account.of(Amount.NONE, fences.get(0).writer(), 11), 3, 11));
    assertThat(control.refusal("team")).isNull();
    return control;
  }

  private static void place(AdmissionControl control, double cpus) {
    control.placed("team", Amount.granted(cpus, 0));
  }

  @Test
  void fenceKeepsWhatIsReservedAndIsSentOnlyOnce() {
    AdmissionControl control = new AdmissionControl("leader", 5);
    control.enable();
    control.update(stored(Account.of(Amount.granted(3, 0), "before", 7), 3, 10));
    assertThat(control.refusal("team").temporary()).isTrue();
    assertThat(control.fences(9)).isEmpty(); // Nobody waits for it.
    control.wantSettled("team");
    AccountChange fence = control.fences(9).get(0);
    assertThat(fence.use()).isEqualTo(Amount.granted(3, 0));
    assertThat(fence.onRevision()).isEqualTo(7);
    assertThat(fence.dependsOnLimits()).isFalse();
    assertThat(control.fences(9)).isEmpty();
  }

  @Test
  void claimRaisesTheAccountOnceAndTheNextOnesAreOnlyConditionedOnIt() {
    AdmissionControl control = settled();
    place(control, 2);
    AccountChange raise = control.claim("team");
    assertThat(raise.use()).isEqualTo(Amount.granted(3, 0)); // Half as much again.
    assertThat(raise.onRevision()).isEqualTo(11);
    assertThat(raise.onLimits()).isEqualTo(3);
    assertThat(control.refusal("team").reason()).contains("is being changed");
    control.committed().put("job", 0, "team", 12, Amount.granted(2, 0));
    control.committed(List.of(raise), 12);
    control.noLongerPlaced("team", Amount.granted(2, 0));
    assertThat(control.refusal("team")).isNull();
    place(control, 0.5);
    assertThat(control.claim("team")).isEqualTo(new AccountChange("team", 12, null, "", 3));
    place(control, 0.5);
    assertThat(control.claim("team").writes()).isFalse(); // Beside the one under way.
    place(control, 0.5);
    assertThat(control.claim("team").use()).isEqualTo(Amount.granted(4, 0)); // The limit.
    assertThat(control.fits("team", Amount.granted(0.501, 0))).isFalse();
    assertThat(control.fits("team", Amount.granted(0.5, 0))).isTrue();
  }

  @Test
  void readThatComesBeforeTheAnswerLetsTheTeamGoOn() {
    AdmissionControl control = settled();
    place(control, 1);
    AccountChange first = control.claim("team");
    control.committed().put("job", 0, "team", 12, Amount.granted(1, 0));
    control.update(stored(Account.of(first.use(), first.writer(), 12), 3, 12));
    assertThat(control.refusal("team")).isNull();
    place(control, 1);
    AccountChange second = control.claim("team");
    assertThat(second.onRevision()).isEqualTo(12);
    control.committed(List.of(first), 12); // Late: it must not free the second one's place.
    assertThat(control.refusal("team").temporary()).isTrue();
    assertThat(control.takeDiscrepancies()).isEmpty();
  }

  @Test
  void claimWithoutAnAnswerMayStillCommitSoItsAccountIsFencedAgain() {
    AdmissionControl control = settled();
    place(control, 1);
    AccountChange raise = control.claim("team");
    control.unanswered(List.of(raise));
    control.noLongerPlaced("team", Amount.granted(1, 0));
    assertThat(control.refusal("team").temporary()).isTrue();
    assertThat(control.fences(9)).singleElement().matches(f -> f.onRevision() == 11);
  }

  @Test
  void anAccountThatSomebodyElseChangesIsToldOfAndFencedAgain() {
    AdmissionControl control = settled();
    control.update(stored(Account.of(Amount.NONE, "another", 15), 3, 15));
    assertThat(control.takeDiscrepancies())
        .singleElement()
        .satisfies(d -> assertThat(d.kind()).isEqualTo(AccountDiscrepancy.Kind.CHANGED_BY_OTHERS))
        .satisfies(d -> assertThat(d.toString()).contains("team team").contains("0 CPUs"));
    assertThat(control.fences(9)).singleElement().matches(f -> f.onRevision() == 15);
  }

  @Test
  void anAccountBelowTheClaimsIsToldOfWhenItIsFenced() {
    AdmissionControl control = new AdmissionControl("leader", 5);
    control.enable();
    control.committed().put("job", 0, "team", 6, Amount.granted(3, 0));
    control.update(stored(Account.of(Amount.granted(1, 0), "before", 7), 3, 10));
    control.wantSettled("team");
    assertThat(control.fences(9).get(0).use().covers(Amount.granted(3, 0))).isTrue();
    assertThat(control.takeDiscrepancies())
        .singleElement()
        .satisfies(d -> assertThat(d.kind()).isEqualTo(AccountDiscrepancy.Kind.BELOW_CLAIMS));
  }

  @Test
  void excessReservationIsLoweredAfterTheDelayAlsoAboveTheLimit() {
    AdmissionControl control = settled();
    place(control, 2);
    AccountChange raise = control.claim("team");
    control.committed(List.of(raise), 12);
    control.noLongerPlaced("team", Amount.granted(2, 0));
    assertThat(control.releases(9, 100)).isEmpty();
    assertThat(control.releases(9, 104)).isEmpty();
    AccountChange release = control.releases(9, 105).get(0);
    assertThat(release.use()).isEqualTo(Amount.NONE);
    assertThat(release.onRevision()).isEqualTo(12);
  }

  @Test
  void amountsAreExactAndRoundedToTheSafeSide() {
    assertThat(Amount.needed(0.1, 0).times(3)).isEqualTo(Amount.granted(0.3, 0));
    assertThat(Amount.needed(0.0001, 0)).isEqualTo(new Amount(1, 0));
    assertThat(Amount.granted(0.9999, 0)).isEqualTo(new Amount(999, 0));
    assertThat(Amount.millis(new BigDecimal("2.125"))).isEqualTo(2125);
    TeamQuota quota = new TeamQuota(Amount.NONE, Amount.granted(0, 2));
    assertThat(quota.allows(Amount.needed(1e6, 2))).isTrue(); // No limit of CPUs.
    assertThat(quota.allows(Amount.needed(0, 2.001))).isFalse();
  }
}
