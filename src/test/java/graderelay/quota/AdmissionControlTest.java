package graderelay.quota;

import static org.assertj.core.api.Assertions.assertThat;

import graderelay.quota.TwoClaimers.Delivery;
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

/** Concurrent claims of two controllers, with admission control as the only safeguard. */
class AdmissionControlTest {
  private static final int STEPS_PER_RUN = 80;
  private static final int SEED_COUNT = 1000;

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Integer> claimer = Arbitraries.integers().between(0, 1);
    Arbitrary<Integer> pick = Arbitraries.integers().between(0, 50);
    Arbitrary<Integer> millis = Arbitraries.integers().between(1, 2500);
    Arbitrary<Delivery> fate = Arbitraries.of(Delivery.values());
    Arbitrary<Step> step =
        Arbitraries.oneOf(
            Combinators.combine(claimer, millis, fate).as(Step.Claim::new),
            Combinators.combine(claimer, pick, fate).as(Step.End::new),
            Combinators.combine(claimer, Arbitraries.doubles().between(0, 6), fate)
                .as(Step.WriteAccount::new),
            claimer.map(Step.Read::new),
            claimer.map(Step.Failover::new),
            Arbitraries.integers().between(1, 6000).map(Step.ChangeLimit::new),
            Arbitraries.integers().between(0, 6000).map(Step.OverwriteAccount::new),
            pick.map(Step.DeliverLate::new));
    return step.list().ofMaxSize(STEPS_PER_RUN);
  }

  @Property(tries = 2000, seed = "29")
  void noOrderOfStepsExceedsTheLimitAndTheAccountConverges(@ForAll("steps") List<Step> steps) {
    TwoClaimers claimers = new TwoClaimers(Mutation.NONE);
    steps.forEach(claimers::apply);
    claimers.convergeAccount();
    assertThat(claimers.violations).isEmpty();
    assertThat(claimers.claims().times(2).covers(claimers.account().use())).isTrue();
    assertThat(claimers.account().use().covers(claimers.claims())).isTrue();
  }

  /** Random steps, weighted so that they form longer useful sequences than uniformly drawn ones. */
  private static TwoClaimers randomRun(long seed, Mutation mutation) {
    SplittableRandom random = new SplittableRandom(seed);
    TwoClaimers claimers = new TwoClaimers(mutation);
    for (int i = 0; i < STEPS_PER_RUN; i++) {
      claimers.apply(step(random));
    }
    return claimers;
  }

  private static Step step(SplittableRandom random) {
    int claimer = random.nextInt(2);
    Delivery fate =
        random.nextInt(3) > 0 ? Delivery.RESPONSE_RECEIVED : Delivery.values()[random.nextInt(4)];
    return switch (random.nextInt(20)) {
      case 0, 1, 2, 3, 4, 5, 6 -> new Step.Claim(claimer, 1 + random.nextInt(1500), fate);
      case 7, 8 -> new Step.End(claimer, random.nextInt(20), fate);
      case 9, 10, 11, 12 -> new Step.WriteAccount(claimer, random.nextDouble() * 6, fate);
      case 13, 14, 15, 16 -> new Step.Read(claimer);
      case 17 -> new Step.ChangeLimit(1 + random.nextInt(6000));
      case 18 -> random.nextBoolean() ? new Step.Failover(claimer) : new Step.OverwriteAccount(0);
      default -> new Step.DeliverLate(random.nextInt(20));
    };
  }

  @ParameterizedTest
  @EnumSource(Mutation.class)
  void randomRunsDetectEveryMutationAndReportNoFalseViolations(Mutation mutation) {
    int detectedRuns = 0;
    int committedClaims = 0;
    for (long seed = 0; seed < SEED_COUNT; seed++) {
      TwoClaimers run = randomRun(seed, mutation);
      detectedRuns += run.violations.isEmpty() ? 0 : 1;
      committedClaims += run.committedClaims;
    }
    System.out.printf("%s: found by %d of %d random runs%n", mutation, detectedRuns, SEED_COUNT);
    assertThat(committedClaims).isGreaterThan(SEED_COUNT);
    if (mutation == Mutation.NONE) {
      assertThat(detectedRuns).isZero();
    } else {
      assertThat(detectedRuns).as("runs that find it, of " + SEED_COUNT).isPositive();
    }
  }

  private static StoredQuota stored(Account account, long limitRevision, long readRevision) {
    TeamQuota quota = new TeamQuota(Amount.roundedDown(1, 0), Amount.roundedDown(4, 2));
    return new StoredQuota(
        Map.of("team", LimitRecord.of(quota, limitRevision, "operator", 0)),
        account.revision() == 0 ? Map.of() : Map.of("team", account),
        true,
        readRevision);
  }

  /** The control of a leader that has fenced the team's account at revision 11 and read it. */
  private static AdmissionControl settledControl() {
    AdmissionControl control = new AdmissionControl("leader", 5);
    control.enable();
    control.update(stored(Account.ABSENT, 3, 10));
    control.requestSettling("team");
    List<AccountChange> fences = control.fenceWrites(9);
    control.onCommitted(fences, 11);
    assertThat(control.refusal("team").temporary()).isTrue(); // No read as of the fence yet.
    control.update(stored(Account.of(Amount.NONE, fences.get(0).writeId(), 11), 3, 11));
    assertThat(control.refusal("team")).isNull();
    return control;
  }

  private static void place(AdmissionControl control, double cpus) {
    control.onClaimPlaced("team", Amount.roundedDown(cpus, 0));
  }

  @Test
  void fenceKeepsTheReservationAndIsSentOnlyOnce() {
    AdmissionControl control = new AdmissionControl("leader", 5);
    control.enable();
    control.update(stored(Account.of(Amount.roundedDown(3, 0), "before", 7), 3, 10));
    assertThat(control.refusal("team").temporary()).isTrue();
    assertThat(control.fenceWrites(9)).isEmpty(); // Settling was not requested.
    control.requestSettling("team");
    AccountChange fence = control.fenceWrites(9).get(0);
    assertThat(fence.use()).isEqualTo(Amount.roundedDown(3, 0));
    assertThat(fence.expectedRevision()).isEqualTo(7);
    assertThat(fence.dependsOnLimits()).isFalse();
    assertThat(control.fenceWrites(9)).isEmpty();
  }

  @Test
  void claimRaisesTheAccountAndFollowingClaimsOnlyCompareItsRevision() {
    AdmissionControl control = settledControl();
    place(control, 2);
    AccountChange raise = control.changeForClaims("team");
    assertThat(raise.use()).isEqualTo(Amount.roundedDown(3, 0)); // 1.5 times the claim.
    assertThat(raise.expectedRevision()).isEqualTo(11);
    assertThat(raise.expectedLimitsRevision()).isEqualTo(3);
    assertThat(control.refusal("team").reason()).contains("is being changed");
    control.committedUse().put("job", 0, "team", 12, Amount.roundedDown(2, 0));
    control.onCommitted(List.of(raise), 12);
    control.onClaimNoLongerPlaced("team", Amount.roundedDown(2, 0));
    assertThat(control.refusal("team")).isNull();
    place(control, 0.5);
    assertThat(control.changeForClaims("team"))
        .isEqualTo(new AccountChange("team", 12, null, "", 3));
    place(control, 0.5);
    assertThat(control.changeForClaims("team").writes())
        .isFalse(); // While another claim is in flight.
    place(control, 0.5);
    assertThat(control.changeForClaims("team").use())
        .isEqualTo(Amount.roundedDown(4, 0)); // Capped at the limit.
    assertThat(control.fitsLimit("team", Amount.roundedDown(0.501, 0))).isFalse();
    assertThat(control.fitsLimit("team", Amount.roundedDown(0.5, 0))).isTrue();
  }

  @Test
  void readThatArrivesBeforeTheCommitResponseLetsTheTeamContinue() {
    AdmissionControl control = settledControl();
    place(control, 1);
    AccountChange first = control.changeForClaims("team");
    control.committedUse().put("job", 0, "team", 12, Amount.roundedDown(1, 0));
    control.update(stored(Account.of(first.use(), first.writeId(), 12), 3, 12));
    assertThat(control.refusal("team")).isNull();
    place(control, 1);
    AccountChange second = control.changeForClaims("team");
    assertThat(second.expectedRevision()).isEqualTo(12);
    control.onCommitted(
        List.of(first), 12); // A late response must not clear the second write in flight.
    assertThat(control.refusal("team").temporary()).isTrue();
    assertThat(control.takeDiscrepancies()).isEmpty();
  }

  @Test
  void accountIsFencedAgainAfterClaimOfUnknownOutcome() {
    AdmissionControl control = settledControl();
    place(control, 1);
    AccountChange raise = control.changeForClaims("team");
    control.onOutcomeUnknown(List.of(raise));
    control.onClaimNoLongerPlaced("team", Amount.roundedDown(1, 0));
    assertThat(control.refusal("team").temporary()).isTrue();
    assertThat(control.fenceWrites(9))
        .singleElement()
        .matches(fence -> fence.expectedRevision() == 11);
  }

  @Test
  void externallyChangedAccountIsReportedAndFencedAgain() {
    AdmissionControl control = settledControl();
    control.update(stored(Account.of(Amount.NONE, "another", 15), 3, 15));
    assertThat(control.takeDiscrepancies())
        .singleElement()
        .satisfies(
            discrepancy ->
                assertThat(discrepancy.kind())
                    .isEqualTo(AccountDiscrepancy.Kind.CHANGED_EXTERNALLY))
        .satisfies(
            discrepancy ->
                assertThat(discrepancy.toString()).contains("team team").contains("0 CPUs"));
    assertThat(control.fenceWrites(9))
        .singleElement()
        .matches(fence -> fence.expectedRevision() == 15);
  }

  @Test
  void accountBelowTheCommittedClaimsIsReportedWhenItIsFenced() {
    AdmissionControl control = new AdmissionControl("leader", 5);
    control.enable();
    control.committedUse().put("job", 0, "team", 6, Amount.roundedDown(3, 0));
    control.update(stored(Account.of(Amount.roundedDown(1, 0), "before", 7), 3, 10));
    control.requestSettling("team");
    assertThat(control.fenceWrites(9).get(0).use().covers(Amount.roundedDown(3, 0))).isTrue();
    assertThat(control.takeDiscrepancies())
        .singleElement()
        .satisfies(
            discrepancy ->
                assertThat(discrepancy.kind())
                    .isEqualTo(AccountDiscrepancy.Kind.BELOW_COMMITTED_CLAIMS));
  }

  @Test
  void excessReservationIsLoweredAfterTheReleaseDelay() {
    AdmissionControl control = settledControl();
    place(control, 2);
    AccountChange raise = control.changeForClaims("team");
    control.onCommitted(List.of(raise), 12);
    control.onClaimNoLongerPlaced("team", Amount.roundedDown(2, 0));
    assertThat(control.releaseWrites(9, 100)).isEmpty();
    assertThat(control.releaseWrites(9, 104)).isEmpty();
    AccountChange release = control.releaseWrites(9, 105).get(0);
    assertThat(release.use()).isEqualTo(Amount.NONE);
    assertThat(release.expectedRevision()).isEqualTo(12);
  }

  @Test
  void amountsAreExactWithNeedsRoundedUpAndGrantsRoundedDown() {
    assertThat(Amount.roundedUp(0.1, 0).times(3)).isEqualTo(Amount.roundedDown(0.3, 0));
    assertThat(Amount.roundedUp(0.0001, 0)).isEqualTo(new Amount(1, 0));
    assertThat(Amount.roundedDown(0.9999, 0)).isEqualTo(new Amount(999, 0));
    assertThat(Amount.toMillisExact(new BigDecimal("2.125"))).isEqualTo(2125);
    TeamQuota quota = new TeamQuota(Amount.NONE, Amount.roundedDown(0, 2));
    assertThat(quota.allows(Amount.roundedUp(1e6, 2))).isTrue(); // CPUs are unlimited.
    assertThat(quota.allows(Amount.roundedUp(0, 2.001))).isFalse();
  }
}
