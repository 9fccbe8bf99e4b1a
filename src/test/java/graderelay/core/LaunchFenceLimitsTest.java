package graderelay.core;

import static graderelay.core.SchedulerFixture.GRANT_LIMIT_S;
import static graderelay.core.SchedulerFixture.RENEWAL_LIMIT_S;
import static graderelay.core.SchedulerFixture.claimCount;
import static graderelay.core.SchedulerFixture.commitAll;
import static graderelay.core.SchedulerFixture.exchangeHeartbeat;
import static graderelay.core.SchedulerFixture.heartbeat;
import static graderelay.core.SchedulerFixture.pendingActions;
import static graderelay.core.SchedulerFixture.registerMachine;
import static graderelay.core.SchedulerFixture.scheduler;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import org.junit.jupiter.api.Test;

/**
 * Guards against leases that are renewed under the term of a launch that may still start a task of
 * a cancelled job: without a higher term they must run out in time for the cancellation.
 */
class LaunchFenceLimitsTest {
  private static final String MACHINE = "n-1";
  private static final String ZONE = "a";
  private static final double CLAIMED_AT = 1;

  private final Scheduler scheduler = scheduler(1);

  /** A job with one task, whose direct launch gets no response. */
  private void launchWithoutResponse() {
    registerMachine(scheduler, MACHINE, 0);
    scheduler.onJob(SchedulerFixture.array("j-1", 1), false, 5, 0.5, 0.5);
    commitAll(scheduler, 10, CLAIMED_AT);
    assertThat(claimCount(scheduler, MACHINE)).isEqualTo(1);
    for (Action action : new ArrayList<>(pendingActions(scheduler))) {
      if (action instanceof Action.SendCommands sent) {
        pendingActions(scheduler).remove(action);
        scheduler.onCommandDelivery(sent, CommandDeliveryOutcome.UNKNOWN, null, CLAIMED_AT + 2);
      }
    }
  }

  private void tickUntil(double end) {
    for (double now = CLAIMED_AT + 2; now < end; now += 0.25) {
      scheduler.tick(now);
    }
  }

  private long termRaisesRequested() {
    return pendingActions(scheduler).stream().filter(a -> a instanceof Action.RaiseTerm).count();
  }

  @Test
  void leaseOfMachineWithUnfencedLaunchIsRenewedUntilTheLimitOnly() {
    launchWithoutResponse();
    scheduler.onCancelled("j-1", CLAIMED_AT + 2);
    assertThat(scheduler.mayRenewLease(MACHINE, CLAIMED_AT + RENEWAL_LIMIT_S)).isTrue();
    assertThat(scheduler.mayRenewLease(MACHINE, CLAIMED_AT + RENEWAL_LIMIT_S + 0.1)).isFalse();
  }

  @Test
  void limitAppliesAtOnceToCancellationThatWasLearnedLate() {
    launchWithoutResponse();
    double learnedAt = CLAIMED_AT + RENEWAL_LIMIT_S + 3;
    exchangeHeartbeat(scheduler, MACHINE, 1, 2, learnedAt - 1);
    assertThat(scheduler.mayRenewLease(MACHINE, learnedAt)).isTrue();
    scheduler.onCancelled("j-1", learnedAt);
    assertThat(scheduler.mayRenewLease(MACHINE, learnedAt)).isFalse();
    scheduler.tick(learnedAt);
    assertThat(termRaisesRequested()).isEqualTo(1);
  }

  @Test
  void higherTermEndsTheLimit() {
    launchWithoutResponse();
    scheduler.onCancelled("j-1", CLAIMED_AT + 2);
    scheduler.onTerm(2, CLAIMED_AT + 8);
    assertThat(scheduler.mayRenewLease(MACHINE, CLAIMED_AT + 100)).isTrue();
    assertThat(scheduler.mayGrantDelegation(ZONE, CLAIMED_AT + 100)).isTrue();
  }

  @Test
  void heartbeatThatListsTheAttemptEndsTheLimit() {
    launchWithoutResponse();
    scheduler.onCancelled("j-1", CLAIMED_AT + 2);
    var running =
        new Heartbeat.TaskStatus(
            SchedulerFixture.array("j-1", 1).taskId(0), 1, Heartbeat.Stage.RUNNING, "", false);
    scheduler.onHeartbeat(heartbeat(MACHINE, 1, 2, 1, running), CLAIMED_AT + 3);
    assertThat(scheduler.mayRenewLease(MACHINE, CLAIMED_AT + 100)).isTrue();
  }

  @Test
  void launchThatWasNotCancelledDoesNotLimitLeases() {
    launchWithoutResponse();
    assertThat(scheduler.mayRenewLease(MACHINE, CLAIMED_AT + 100)).isTrue();
    assertThat(scheduler.mayGrantDelegation(ZONE, CLAIMED_AT + 100)).isTrue();
  }

  @Test
  void delegatesOfTheZoneGetNoGrantBeyondTheLimit() {
    launchWithoutResponse();
    scheduler.onCancelled("j-1", CLAIMED_AT + 2);
    assertThat(scheduler.mayGrantDelegation(ZONE, CLAIMED_AT + GRANT_LIMIT_S)).isTrue();
    assertThat(scheduler.mayGrantDelegation(ZONE, CLAIMED_AT + GRANT_LIMIT_S + 0.1)).isFalse();
    assertThat(scheduler.mayGrantDelegation("b", CLAIMED_AT + GRANT_LIMIT_S + 0.1)).isTrue();
  }

  @Test
  void termIsRaisedOnceGrantsAreWithheldAndAgainAfterFailure() {
    launchWithoutResponse();
    scheduler.onCancelled("j-1", CLAIMED_AT + 2);
    tickUntil(CLAIMED_AT + GRANT_LIMIT_S);
    assertThat(termRaisesRequested()).isZero();
    tickUntil(CLAIMED_AT + GRANT_LIMIT_S + 1);
    assertThat(termRaisesRequested()).isEqualTo(1);
    scheduler.onTerm(0, CLAIMED_AT + GRANT_LIMIT_S + 1);
    scheduler.tick(CLAIMED_AT + GRANT_LIMIT_S + 2.5);
    assertThat(termRaisesRequested()).isEqualTo(2);
  }
}
