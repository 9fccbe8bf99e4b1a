package graderelay.core;

import static graderelay.core.SchedulerFixture.array;
import static graderelay.core.SchedulerFixture.claimedRecord;
import static graderelay.core.SchedulerFixture.exchangeHeartbeat;
import static graderelay.core.SchedulerFixture.pendingActions;
import static graderelay.core.SchedulerFixture.scheduler;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.quota.Account;
import graderelay.quota.AccountChange;
import graderelay.quota.Amount;
import graderelay.quota.LimitRecord;
import graderelay.quota.StoredQuota;
import graderelay.quota.TeamQuota;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the scheduling core counts and writes while stored limits are in use. */
class StoredLimitsInCoreTest {
  private static final Amount LIMIT = Amount.roundedDown(3, 0);

  private static StoredQuota storedQuota(Account account, long asOf) {
    LimitRecord limits = LimitRecord.of(new TeamQuota(Amount.NONE, LIMIT), 5, "operator", 0);
    Map<String, Account> accounts = account.revision() == 0 ? Map.of() : Map.of("team", account);
    return new StoredQuota(Map.of("team", limits), accounts, true, asOf);
  }

  private static List<Action.Write> takeWrites(Scheduler scheduler) {
    List<Action.Write> writes = new ArrayList<>();
    for (Action action : new ArrayList<>(pendingActions(scheduler))) {
      if (action instanceof Action.Write write) {
        writes.add(write);
      }
    }
    pendingActions(scheduler).clear();
    return writes;
  }

  /**
   * A leader that has fenced the team's account at revision 20, with jobs of one task each and one
   * machine.
   */
  private static Scheduler schedulerWithFencedAccount(int jobs) {
    Scheduler scheduler = scheduler(1);
    exchangeHeartbeat(scheduler, "n-000001", 1, 1, 0);
    exchangeHeartbeat(scheduler, "n-000001", 1, 2, 0.1);
    for (int i = 0; i < jobs; i++) {
      scheduler.onJob(array("j-00000" + i, 1), false, 10 + i, 0, 0);
    }
    scheduler.onQuota(storedQuota(Account.ABSENT, 19));
    scheduler.step(1);
    Action.Write fence = takeWrites(scheduler).get(0);
    assertThat(fence.taskBatches()).isEmpty(); // Nothing is claimed before the account is fenced.
    AccountChange change = fence.accountChanges().get(0);
    scheduler.onTransactionOutcome(fence.id(), TransactionOutcome.COMMITTED, 20, 1);
    scheduler.onQuota(storedQuota(Account.of(change.use(), change.writeId(), 20), 20));
    return scheduler;
  }

  @Test
  void claimsOfOneRoundRaiseTheirTeamsAccountOnceAndOnlyToTheLimit() {
    Scheduler scheduler = schedulerWithFencedAccount(5);
    scheduler.step(2);
    List<Action.Write> writes = takeWrites(scheduler);
    assertThat(writes).hasSize(1);
    assertThat(writes.get(0).taskBatches()).hasSize(3);
    AccountChange raise = writes.get(0).accountChanges().get(0);
    assertThat(raise.use()).isEqualTo(LIMIT);
    assertThat(raise.expectedRevision()).isEqualTo(20);
    assertThat(raise.expectedLimitsRevision()).isEqualTo(5);
  }

  @Test
  void taskBatchChangeSeenDuringAnotherWriteCountsAtOnce() {
    Scheduler scheduler = schedulerWithFencedAccount(1);
    scheduler.step(2);
    assertThat(takeWrites(scheduler).get(0).taskBatches()).hasSize(1);
    scheduler.onTaskBatch(new TaskBatchKey("j-000000", 0), claimedRecord("n-000009", 1), 30, 2);
    assertThat(scheduler.teamUsage("team").standing().used()).isEqualTo(Amount.roundedDown(1, 0));
  }

  @Test
  void existingClaimsCountFromWhenLimitsAreFirstStored() {
    Scheduler scheduler = scheduler(1);
    exchangeHeartbeat(scheduler, "n-000001", 1, 1, 0);
    exchangeHeartbeat(scheduler, "n-000001", 1, 2, 0.1);
    scheduler.onJob(array("j-000000", 2), false, 10, 0, 0);
    SchedulerFixture.commitAll(scheduler, 12, 1);
    assertThat(scheduler.teamUsage("team").standing().used()).isEqualTo(Amount.NONE);
    scheduler.onQuota(storedQuota(Account.ABSENT, 19));
    assertThat(scheduler.teamUsage("team").standing().used()).isEqualTo(Amount.roundedDown(2, 0));
    scheduler.onQuota(null);
    assertThat(scheduler.teamUsage("team").standing().used()).isEqualTo(Amount.NONE);
  }

  @Test
  void endOfJobReleasesItsClaimsOnlyOnceItHasCommitted() {
    Scheduler scheduler = schedulerWithFencedAccount(1);
    scheduler.step(2);
    scheduler.onTransactionOutcome(
        takeWrites(scheduler).get(0).id(), TransactionOutcome.COMMITTED, 21, 2);
    assertThat(scheduler.teamUsage("team").standing().used()).isEqualTo(Amount.roundedDown(1, 0));
    scheduler.onCancelled("j-000000", 3); // It was never launched.
    scheduler.step(3.1);
    Action.Write end =
        takeWrites(scheduler).stream()
            .filter(write -> !write.jobEnds().isEmpty())
            .findFirst()
            .orElseThrow();
    assertThat(scheduler.teamUsage("team").standing().used()).isEqualTo(Amount.roundedDown(1, 0));
    scheduler.onTransactionOutcome(end.id(), TransactionOutcome.COMMITTED, 22, 4);
    assertThat(scheduler.teamUsage("team").standing().used()).isEqualTo(Amount.NONE);
  }
}
