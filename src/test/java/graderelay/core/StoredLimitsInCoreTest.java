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

/** What the core counts and sends where limits are stored. */
class StoredLimitsInCoreTest {
  private static final Amount LIMIT = Amount.granted(3, 0);

  private static StoredQuota stored(Account account, long asOf) {
    LimitRecord limits = LimitRecord.of(new TeamQuota(Amount.NONE, LIMIT), 5, "operator", 0);
    Map<String, Account> accounts = account.revision() == 0 ? Map.of() : Map.of("team", account);
    return new StoredQuota(Map.of("team", limits), accounts, true, asOf);
  }

  private static List<Action.Write> writes(Scheduler s) {
    List<Action.Write> writes = new ArrayList<>();
    for (Action a : new ArrayList<>(pendingActions(s))) {
      if (a instanceof Action.Write w) {
        writes.add(w);
      }
    }
    pendingActions(s).clear();
    return writes;
  }

  /** A leader that has fenced the account at revision 20, with jobs of one task and a machine. */
  private static Scheduler fenced(int jobs) {
    Scheduler s = scheduler(1);
    exchangeHeartbeat(s, "n-000001", 1, 1, 0);
    exchangeHeartbeat(s, "n-000001", 1, 2, 0.1);
    for (int i = 0; i < jobs; i++) {
      s.onJob(array("j-00000" + i, 1), false, 10 + i, 0, 0);
    }
    s.onQuota(stored(Account.ABSENT, 19));
    s.step(1);
    Action.Write fence = writes(s).get(0);
    assertThat(fence.taskBatches()).isEmpty(); // Nothing is claimed before it.
    AccountChange change = fence.accounts().get(0);
    s.onWrite(fence.id(), TransactionOutcome.COMMITTED, 20, 1);
    s.onQuota(stored(Account.of(change.use(), change.writer(), 20), 20));
    return s;
  }

  @Test
  void claimsOfOneRoundRaiseTheirTeamsAccountOnceAndOnlyToTheLimit() {
    Scheduler s = fenced(5);
    s.step(2);
    List<Action.Write> writes = writes(s);
    assertThat(writes).hasSize(1);
    assertThat(writes.get(0).taskBatches()).hasSize(3);
    AccountChange raise = writes.get(0).accounts().get(0);
    assertThat(raise.use()).isEqualTo(LIMIT);
    assertThat(raise.onRevision()).isEqualTo(20);
    assertThat(raise.onLimits()).isEqualTo(5);
  }

  @Test
  void taskBatchChangeSeenWhileAnotherIsUnderWayCountsAtOnce() {
    Scheduler s = fenced(1);
    s.step(2);
    assertThat(writes(s).get(0).taskBatches()).hasSize(1);
    s.onTaskBatch(new TaskBatchKey("j-000000", 0), claimedRecord("n-000009", 1), 30, 2);
    assertThat(s.teamUsage("team").standing().claims()).isEqualTo(Amount.granted(1, 0));
  }

  @Test
  void claimsThatStandWhenLimitsComeToBeStoredCountFromThenOn() {
    Scheduler s = scheduler(1);
    exchangeHeartbeat(s, "n-000001", 1, 1, 0);
    exchangeHeartbeat(s, "n-000001", 1, 2, 0.1);
    s.onJob(array("j-000000", 2), false, 10, 0, 0);
    SchedulerFixture.commitAll(s, 12, 1);
    assertThat(s.teamUsage("team").standing().claims()).isEqualTo(Amount.NONE);
    s.onQuota(stored(Account.ABSENT, 19));
    assertThat(s.teamUsage("team").standing().claims()).isEqualTo(Amount.granted(2, 0));
    s.onQuota(null);
    assertThat(s.teamUsage("team").standing().claims()).isEqualTo(Amount.NONE);
  }

  @Test
  void endOfJobReleasesItsClaimsOnlyOnceItHasCommitted() {
    Scheduler s = fenced(1);
    s.step(2);
    s.onWrite(writes(s).get(0).id(), TransactionOutcome.COMMITTED, 21, 2);
    assertThat(s.teamUsage("team").standing().claims()).isEqualTo(Amount.granted(1, 0));
    s.onCancelled("j-000000", 3); // It was never launched.
    s.step(3.1);
    Action.Write end =
        writes(s).stream().filter(w -> !w.ends().isEmpty()).findFirst().orElseThrow();
    assertThat(s.teamUsage("team").standing().claims()).isEqualTo(Amount.granted(1, 0));
    s.onWrite(end.id(), TransactionOutcome.COMMITTED, 22, 4);
    assertThat(s.teamUsage("team").standing().claims()).isEqualTo(Amount.NONE);
  }
}
