package graderelay.quota;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Two controllers that both claim for one team against one store that checks no term. What they
 * send is carried out at once, late or never, and answers are lost.
 */
final class TwoClaimers {
  /** What one of them does wrong on purpose, to show that the properties can fail. */
  enum Mutation {
    NONE,
    RELEASE_BEFORE_THE_END_HAS_COMMITTED,
    CLAIM_WITHOUT_THE_VERSION_OF_THE_LIMITS,
    FAILOVER_TRUSTS_THE_ACCOUNT,
    NO_READ_AFTER_THE_FENCE,
    WRITERS_NOT_TOLD_APART
  }

  /** What becomes of a transaction. */
  enum Fate {
    ANSWERED,
    ANSWER_LOST,
    LATE,
    NEVER
  }

  /** One step. */
  sealed interface Step {
    /** A claimer claims a task that takes so many thousandths of a CPU. */
    record Claim(int claimer, int millis, Fate fate) implements Step {}

    /** A claimer ends one of the claims that stand. */
    record End(int claimer, int pick, Fate fate) implements Step {}

    /** A claimer settles and lowers its account, after so many seconds. */
    record WriteAccount(int claimer, double seconds, Fate fate) implements Step {}

    /** A claimer reads the store. */
    record Read(int claimer) implements Step {}

    /** Another process takes a claimer's place. */
    record Failover(int claimer) implements Step {}

    /** Operators change the limit. */
    record Limit(int millis) implements Step {}

    /** Somebody overwrites the account by hand. */
    record Tamper(int millis) implements Step {}

    /** A late transaction is carried out. */
    record CarryOut(int pick) implements Step {}
  }

  private static final String TEAM = "team";
  private static final double RELEASE_S = 5;

  private record TaskBatch(Amount use, long revision) {}

  private record Condition(String key, long revision) {}

  /** {@code account} and {@code taskBatch} are null where the transaction is not about them. */
  private record Transaction(
      int claimer,
      List<Condition> conditions,
      AccountChange account,
      String taskBatch,
      Amount use,
      boolean claims) {}

  private final Mutation mutation;
  private final Map<String, TaskBatch> taskBatches = new TreeMap<>();
  private final Set<String> releasedEarly = new HashSet<>();
  private final List<Transaction> late = new ArrayList<>();
  private final AdmissionControl[] claimers = new AdmissionControl[2];
  private Account account = Account.ABSENT;
  private LimitRecord limit = limited(4000, 1);
  private boolean tampered;
  private long revision = 1;
  private int nextBatch;
  private int nextClaimer;
  private double now;

  /** What was found wrong. */
  final List<String> violations = new ArrayList<>();

  int committedClaims;

  TwoClaimers(Mutation mutation) {
    this.mutation = mutation;
    failOver(0);
    failOver(1);
  }

  private static LimitRecord limited(int millis, long revision) {
    return LimitRecord.of(
        new TeamQuota(Amount.NONE, new Amount(millis, 0)), revision, "operator", 0);
  }

  Amount claims() {
    return taskBatches.values().stream().map(TaskBatch::use).reduce(Amount.NONE, Amount::plus);
  }

  Account account() {
    return account;
  }

  void play(Step step) {
    if (step instanceof Step.Claim s) {
      claim(s);
    } else if (step instanceof Step.End s) {
      end(s);
    } else if (step instanceof Step.WriteAccount s) {
      writeAccount(s);
    } else if (step instanceof Step.Read s) {
      read(claimers[s.claimer()]);
    } else if (step instanceof Step.Failover s) {
      failOver(s.claimer());
    } else if (step instanceof Step.Limit s) {
      limit = limited(s.millis(), ++revision);
    } else if (step instanceof Step.Tamper s) {
      account = Account.of(new Amount(s.millis(), 0), "somebody", ++revision);
      tampered = true;
    } else if (step instanceof Step.CarryOut s && !late.isEmpty()) {
      commit(late.remove(s.pick() % late.size()));
    }
  }

  private void failOver(int claimer) {
    boolean alike = mutation == Mutation.WRITERS_NOT_TOLD_APART;
    String name = alike ? "claimer" : "claimer-" + nextClaimer++;
    AdmissionControl fresh = new AdmissionControl(name, RELEASE_S);
    fresh.enable();
    claimers[claimer] = fresh;
    if (mutation == Mutation.FAILOVER_TRUSTS_THE_ACCOUNT) {
      read(fresh);
      fresh.wantSettled(TEAM);
      fresh.committed(fresh.fences(1), account.revision()); // It never wrote it.
    } else {
      read(fresh);
    }
  }

  private StoredQuota stored() {
    Map<String, Account> accounts = account.revision() == 0 ? Map.of() : Map.of(TEAM, account);
    return new StoredQuota(Map.of(TEAM, limit), accounts, true, revision);
  }

  private void read(AdmissionControl claimer) {
    taskBatches.forEach(
        (id, s) -> {
          if (!releasedEarly.contains(id)) {
            claimer.committed().put(id, 0, TEAM, s.revision(), s.use());
          }
        });
    claimer.update(stored());
  }

  private void claim(Step.Claim s) {
    AdmissionControl claimer = claimers[s.claimer()];
    Amount use = new Amount(s.millis(), 0);
    AdmissionRefusal refusal = claimer.refusal(TEAM);
    if (refusal != null) {
      claimer.wantSettled(TEAM);
    } else if (claimer.fits(TEAM, use)) {
      claimer.placed(TEAM, use);
      AccountChange change = claimer.claim(TEAM);
      String taskBatch = "slice-" + nextBatch++;
      List<Condition> conditions = conditions(change);
      conditions.add(new Condition(taskBatch, 0));
      send(new Transaction(s.claimer(), conditions, change, taskBatch, use, true), s.fate());
    }
  }

  private List<Condition> conditions(AccountChange change) {
    List<Condition> conditions = new ArrayList<>();
    conditions.add(new Condition("account", change.onRevision()));
    boolean forgets = mutation == Mutation.CLAIM_WITHOUT_THE_VERSION_OF_THE_LIMITS;
    if (change.dependsOnLimits() && !forgets) {
      conditions.add(new Condition("limit", change.onLimits()));
    }
    return conditions;
  }

  private void end(Step.End s) {
    List<String> standing = new ArrayList<>(taskBatches.keySet());
    if (standing.isEmpty()) {
      return;
    }
    String taskBatch = standing.get(s.pick() % standing.size());
    if (mutation == Mutation.RELEASE_BEFORE_THE_END_HAS_COMMITTED) {
      releasedEarly.add(taskBatch);
      claimers[s.claimer()].committed().removeJob(taskBatch);
    }
    List<Condition> on = List.of(new Condition(taskBatch, taskBatches.get(taskBatch).revision()));
    send(new Transaction(s.claimer(), on, null, taskBatch, Amount.NONE, false), s.fate());
  }

  private void writeAccount(Step.WriteAccount s) {
    now += s.seconds();
    AdmissionControl claimer = claimers[s.claimer()];
    claimer.check();
    List<AccountChange> changes = new ArrayList<>(claimer.fences(1));
    if (changes.isEmpty()) {
      changes.addAll(claimer.releases(1, now));
    }
    for (AccountChange c : changes) {
      send(new Transaction(s.claimer(), conditions(c), c, null, null, false), s.fate());
    }
  }

  private void send(Transaction t, Fate fate) {
    AdmissionControl claimer = claimers[t.claimer()];
    List<AccountChange> changes = t.account() == null ? List.of() : List.of(t.account());
    if (fate == Fate.ANSWERED && commit(t)) {
      if (t.taskBatch() != null) {
        claimer.committed().put(t.taskBatch(), 0, TEAM, revision, t.use());
      }
      claimer.committed(changes, revision);
      if (mutation == Mutation.NO_READ_AFTER_THE_FENCE) {
        claimer.update(stored());
      }
    } else if (fate == Fate.ANSWERED) {
      read(claimer);
      claimer.refused(changes);
    } else {
      if (fate == Fate.ANSWER_LOST) {
        commit(t);
      } else if (fate == Fate.LATE) {
        late.add(t);
      }
      read(claimer);
      claimer.unanswered(changes);
    }
    if (t.claims()) {
      claimer.noLongerPlaced(TEAM, t.use());
    }
  }

  private long revisionOf(String key) {
    return switch (key) {
      case "account" -> account.revision();
      case "limit" -> limit.revision();
      default -> taskBatches.containsKey(key) ? taskBatches.get(key).revision() : 0;
    };
  }

  private boolean commit(Transaction t) {
    for (Condition c : t.conditions()) {
      if (revisionOf(c.key()) != c.revision()) {
        return false;
      }
    }
    revision++;
    if (t.account() != null && t.account().writes()) {
      account = Account.of(t.account().use(), t.account().writer(), revision);
      tampered = false;
    }
    if (t.taskBatch() != null) {
      taskBatches.put(t.taskBatch(), new TaskBatch(t.use(), revision));
    }
    committedClaims += t.claims() ? 1 : 0;
    judge(t.claims());
    return true;
  }

  private void judge(boolean claimed) {
    if (claimed && !limit.quota().allows(claims())) {
      violations.add("claims of " + claims() + " with a limit of " + limit.quota().limit());
    }
    if (!tampered && !account.use().covers(claims())) {
      violations.add("claims of " + claims() + " with an account of " + account.use());
    }
    if (account.use().isNegative()) {
      violations.add("the account is negative: " + account.use());
    }
  }

  /** In the end the account has as much as the claims ask for, whatever was lost on the way. */
  void settleDown() {
    late.clear();
    for (int i = 0; i < 6; i++) {
      play(new Step.Read(0));
      claimers[0].wantSettled(TEAM);
      play(new Step.WriteAccount(0, RELEASE_S + 1, Fate.ANSWERED));
    }
  }
}
