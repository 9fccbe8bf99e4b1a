package graderelay.quota;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Two controllers that claim concurrently for one team in a store that does not check terms.
 * Transactions are executed at once, late or never, and responses may be lost.
 */
final class TwoClaimers {
  /** A deliberate fault, which shows that the checks can fail. */
  enum Mutation {
    NONE,
    RELEASE_BEFORE_END_COMMITTED,
    CLAIM_WITHOUT_LIMITS_REVISION,
    FAILOVER_SKIPS_THE_FENCE,
    NO_READ_AFTER_FENCE,
    WRITE_IDS_NOT_UNIQUE
  }

  /** How a transaction and its response are delivered. */
  enum Delivery {
    RESPONSE_RECEIVED,
    RESPONSE_LOST,
    LATE,
    NEVER
  }

  /** A step of a run. */
  sealed interface Step {
    /** A claimer claims a task that needs this many thousandths of a CPU. */
    record Claim(int claimer, int millis, Delivery delivery) implements Step {}

    /** A claimer ends one of the committed claims. */
    record End(int claimer, int pick, Delivery delivery) implements Step {}

    /** A claimer fences or lowers its account, after the elapsed seconds. */
    record WriteAccount(int claimer, double elapsedS, Delivery delivery) implements Step {}

    /** A claimer reads the store. */
    record Read(int claimer) implements Step {}

    /** Another process replaces a claimer. */
    record Failover(int claimer) implements Step {}

    /** An operator changes the limit. */
    record ChangeLimit(int millis) implements Step {}

    /** An operator overwrites the account. */
    record OverwriteAccount(int millis) implements Step {}

    /** A delayed transaction is executed. */
    record DeliverLate(int pick) implements Step {}
  }

  private static final String TEAM = "team";
  private static final double RELEASE_AFTER_S = 5;

  private record TaskBatch(Amount use, long revision) {}

  private record Condition(String key, long revision) {}

  /** {@code account} and {@code taskBatch} are null if the transaction does not concern them. */
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
  private final List<Transaction> delayedTransactions = new ArrayList<>();
  private final AdmissionControl[] claimers = new AdmissionControl[2];
  private Account account = Account.ABSENT;
  private LimitRecord limit = limitRecord(4000, 1);
  private boolean overwritten;
  private long revision = 1;
  private int nextBatch;
  private int nextClaimer;
  private double now;

  /** The violations that were found. */
  final List<String> violations = new ArrayList<>();

  int committedClaims;

  TwoClaimers(Mutation mutation) {
    this.mutation = mutation;
    failOver(0);
    failOver(1);
  }

  private static LimitRecord limitRecord(int millis, long revision) {
    return LimitRecord.of(
        new TeamQuota(Amount.NONE, new Amount(millis, 0)), revision, "operator", 0);
  }

  Amount claims() {
    return taskBatches.values().stream().map(TaskBatch::use).reduce(Amount.NONE, Amount::plus);
  }

  Account account() {
    return account;
  }

  void apply(Step step) {
    if (step instanceof Step.Claim claim) {
      claim(claim);
    } else if (step instanceof Step.End end) {
      end(end);
    } else if (step instanceof Step.WriteAccount write) {
      writeAccount(write);
    } else if (step instanceof Step.Read read) {
      read(claimers[read.claimer()]);
    } else if (step instanceof Step.Failover failover) {
      failOver(failover.claimer());
    } else if (step instanceof Step.ChangeLimit change) {
      limit = limitRecord(change.millis(), ++revision);
    } else if (step instanceof Step.OverwriteAccount overwrite) {
      account = Account.of(new Amount(overwrite.millis(), 0), "somebody", ++revision);
      overwritten = true;
    } else if (step instanceof Step.DeliverLate late && !delayedTransactions.isEmpty()) {
      commit(delayedTransactions.remove(late.pick() % delayedTransactions.size()));
    }
  }

  private void failOver(int claimer) {
    boolean sameNames = mutation == Mutation.WRITE_IDS_NOT_UNIQUE;
    String name = sameNames ? "claimer" : "claimer-" + nextClaimer++;
    AdmissionControl successor = new AdmissionControl(name, RELEASE_AFTER_S);
    successor.enable();
    claimers[claimer] = successor;
    if (mutation == Mutation.FAILOVER_SKIPS_THE_FENCE) {
      read(successor);
      successor.requestSettling(TEAM);
      successor.onCommitted(successor.fenceWrites(1), account.revision()); // Nothing was written.
    } else {
      read(successor);
    }
  }

  private StoredQuota stored() {
    Map<String, Account> accounts = account.revision() == 0 ? Map.of() : Map.of(TEAM, account);
    return new StoredQuota(Map.of(TEAM, limit), accounts, true, revision);
  }

  private void read(AdmissionControl claimer) {
    taskBatches.forEach(
        (id, batch) -> {
          if (!releasedEarly.contains(id)) {
            claimer.committedUse().put(id, 0, TEAM, batch.revision(), batch.use());
          }
        });
    claimer.update(stored());
  }

  private void claim(Step.Claim step) {
    AdmissionControl claimer = claimers[step.claimer()];
    Amount use = new Amount(step.millis(), 0);
    AdmissionRefusal refusal = claimer.refusal(TEAM);
    if (refusal != null) {
      claimer.requestSettling(TEAM);
    } else if (claimer.fitsLimit(TEAM, use)) {
      claimer.onClaimPlaced(TEAM, use);
      AccountChange change = claimer.changeForClaims(TEAM);
      String taskBatch = "slice-" + nextBatch++;
      List<Condition> conditions = conditions(change);
      conditions.add(new Condition(taskBatch, 0));
      send(
          new Transaction(step.claimer(), conditions, change, taskBatch, use, true),
          step.delivery());
    }
  }

  private List<Condition> conditions(AccountChange change) {
    List<Condition> conditions = new ArrayList<>();
    conditions.add(new Condition("account", change.expectedRevision()));
    boolean omitsLimits = mutation == Mutation.CLAIM_WITHOUT_LIMITS_REVISION;
    if (change.dependsOnLimits() && !omitsLimits) {
      conditions.add(new Condition("limit", change.expectedLimitsRevision()));
    }
    return conditions;
  }

  private void end(Step.End step) {
    List<String> ids = new ArrayList<>(taskBatches.keySet());
    if (ids.isEmpty()) {
      return;
    }
    String taskBatch = ids.get(step.pick() % ids.size());
    if (mutation == Mutation.RELEASE_BEFORE_END_COMMITTED) {
      releasedEarly.add(taskBatch);
      claimers[step.claimer()].committedUse().removeJob(taskBatch);
    }
    List<Condition> conditions =
        List.of(new Condition(taskBatch, taskBatches.get(taskBatch).revision()));
    send(
        new Transaction(step.claimer(), conditions, null, taskBatch, Amount.NONE, false),
        step.delivery());
  }

  private void writeAccount(Step.WriteAccount step) {
    now += step.elapsedS();
    AdmissionControl claimer = claimers[step.claimer()];
    claimer.checkAccounts();
    List<AccountChange> changes = new ArrayList<>(claimer.fenceWrites(1));
    if (changes.isEmpty()) {
      changes.addAll(claimer.releaseWrites(1, now));
    }
    for (AccountChange change : changes) {
      send(
          new Transaction(step.claimer(), conditions(change), change, null, null, false),
          step.delivery());
    }
  }

  private void send(Transaction transaction, Delivery delivery) {
    AdmissionControl claimer = claimers[transaction.claimer()];
    List<AccountChange> changes =
        transaction.account() == null ? List.of() : List.of(transaction.account());
    if (delivery == Delivery.RESPONSE_RECEIVED && commit(transaction)) {
      if (transaction.taskBatch() != null) {
        claimer.committedUse().put(transaction.taskBatch(), 0, TEAM, revision, transaction.use());
      }
      claimer.onCommitted(changes, revision);
      if (mutation == Mutation.NO_READ_AFTER_FENCE) {
        claimer.update(stored());
      }
    } else if (delivery == Delivery.RESPONSE_RECEIVED) {
      read(claimer);
      claimer.onRefused(changes);
    } else {
      if (delivery == Delivery.RESPONSE_LOST) {
        commit(transaction);
      } else if (delivery == Delivery.LATE) {
        delayedTransactions.add(transaction);
      }
      read(claimer);
      claimer.onOutcomeUnknown(changes);
    }
    if (transaction.claims()) {
      claimer.onClaimNoLongerPlaced(TEAM, transaction.use());
    }
  }

  private long revisionOf(String key) {
    return switch (key) {
      case "account" -> account.revision();
      case "limit" -> limit.revision();
      default -> taskBatches.containsKey(key) ? taskBatches.get(key).revision() : 0;
    };
  }

  private boolean commit(Transaction transaction) {
    for (Condition condition : transaction.conditions()) {
      if (revisionOf(condition.key()) != condition.revision()) {
        return false;
      }
    }
    revision++;
    if (transaction.account() != null && transaction.account().writes()) {
      account = Account.of(transaction.account().use(), transaction.account().writeId(), revision);
      overwritten = false;
    }
    if (transaction.taskBatch() != null) {
      taskBatches.put(transaction.taskBatch(), new TaskBatch(transaction.use(), revision));
    }
    committedClaims += transaction.claims() ? 1 : 0;
    checkInvariants(transaction.claims());
    return true;
  }

  private void checkInvariants(boolean claimCommitted) {
    if (claimCommitted && !limit.quota().allows(claims())) {
      violations.add("claims of " + claims() + " with a limit of " + limit.quota().limit());
    }
    if (!overwritten && !account.use().covers(claims())) {
      violations.add("claims of " + claims() + " with an account of " + account.use());
    }
    if (account.use().isNegative()) {
      violations.add("the account is negative: " + account.use());
    }
  }

  /** Drops delayed transactions and lets the account converge to the claims. */
  void convergeAccount() {
    delayedTransactions.clear();
    for (int i = 0; i < 6; i++) {
      apply(new Step.Read(0));
      claimers[0].requestSettling(TEAM);
      apply(new Step.WriteAccount(0, RELEASE_AFTER_S + 1, Delivery.RESPONSE_RECEIVED));
    }
  }
}
