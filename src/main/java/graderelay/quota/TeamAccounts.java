package graderelay.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * The leader's copy of the stored limits and accounts of all teams, with the use of their committed
 * claims and the discrepancies found between the two.
 */
final class TeamAccounts {
  private final CommittedUse committedUse = new CommittedUse();
  private final Map<String, TeamAccount> accounts = new TreeMap<>();
  private final List<AccountDiscrepancy> discrepancies = new ArrayList<>();
  private Map<String, LimitRecord> limits = Map.of();
  private boolean seeded;

  /** The store revision as of which all records have been read. */
  private long readRevision;

  /** True if all limits of the settings have been stored. */
  boolean isSeeded() {
    return seeded;
  }

  /** The account of a team, created if it is not known yet. */
  TeamAccount account(String team) {
    return accounts.computeIfAbsent(team, x -> new TeamAccount());
  }

  /** The stored limits of a team, or null if there is no record of them. */
  LimitRecord limits(String team) {
    return limits.get(team);
  }

  /** The use of the team's committed claims and of its placed claims. */
  Amount admitted(String team) {
    return committedUse.of(team).plus(account(team).placed());
  }

  /** True if the team's stored limit allows the use in total. */
  boolean limitAllows(String team, Amount use) {
    LimitRecord record = limits.get(team);
    return record != null && record.isReadable() && record.quota().allows(use);
  }

  /** Calls the action for every known account, in alphabetical order of the teams. */
  void forEach(BiConsumer<String, TeamAccount> action) {
    accounts.forEach(action);
  }

  /** Clears everything except {@code readRevision} and {@code seeded}. */
  void clear() {
    accounts.clear();
    committedUse.clear();
    discrepancies.clear();
    limits = Map.of();
  }

  // ---------------------------------------------------------------- records

  /**
   * Updates the records after a read. The caller has to add the task batches of the same revision
   * to {@link #committedUse()} first.
   */
  void update(StoredQuota stored) {
    limits = stored.limits();
    seeded = stored.seeded();
    readRevision = Math.max(readRevision, stored.readRevision());
    stored.accounts().forEach((team, account) -> applyRecord(team, account, stored.readRevision()));
    for (Map.Entry<String, TeamAccount> entry : accounts.entrySet()) {
      String team = entry.getKey();
      if (!limits.containsKey(team)) {
        entry.getValue().onRemoved(); // Removed with its team.
      } else if (!stored.accounts().containsKey(team)) {
        applyRecord(team, Account.ABSENT, stored.readRevision());
      }
      entry.getValue().onReadUpTo(readRevision);
    }
  }

  private void applyRecord(String team, Account found, long storeRevision) {
    TeamAccount account = account(team);
    long knownRevision = account.stored().revision();
    if ((found.revision() > 0 ? found.revision() : storeRevision) < knownRevision) {
      return; // Our own write is newer than what was read.
    }
    boolean isNew = found.revision() != knownRevision;
    if (account.onRead(found)) {
      report(team, AccountDiscrepancy.Kind.CHANGED_EXTERNALLY, found.use());
      account.requestSettling();
    }
    if (isNew && !found.isReadable()) {
      report(team, AccountDiscrepancy.Kind.MALFORMED, found.use());
    }
  }

  /** Records that a write of our own has committed; the records read may already include it. */
  void onCommitted(AccountChange write, long revision) {
    TeamAccount account = account(write.team());
    account.onCommitted(write, revision);
    account.onReadUpTo(readRevision);
  }

  /** The use of the committed claims by team. */
  CommittedUse committedUse() {
    return committedUse;
  }

  // ---------------------------------------------------------------- discrepancies

  /** Adds a discrepancy to those returned by {@link #takeDiscrepancies}. */
  void report(String team, AccountDiscrepancy.Kind kind, Amount reserved) {
    discrepancies.add(new AccountDiscrepancy(team, kind, reserved, committedUse.of(team)));
  }

  /** Returns the discrepancies found since the last call. */
  List<AccountDiscrepancy> takeDiscrepancies() {
    List<AccountDiscrepancy> found = List.copyOf(discrepancies);
    discrepancies.clear();
    return found;
  }

  /**
   * Compares the accounts with the committed claims. An account may exceed the claims, since it is
   * lowered only some time after claims have ended, but must never be below them; claims may exceed
   * a limit that was lowered.
   */
  void checkAll() {
    accounts.forEach(
        (team, account) -> {
          boolean reliedOn = account.isSettled() && !account.isWriteInFlight();
          if (reliedOn && !account.stored().use().covers(committedUse.of(team))) {
            account.unsettle(); // The discrepancy is reported when the account is fenced.
          }
          if (account.updateAboveLimit(isAboveLimit(team))) {
            report(team, AccountDiscrepancy.Kind.ABOVE_LIMIT, account.stored().use());
          }
        });
  }

  private boolean isAboveLimit(String team) {
    LimitRecord record = limits.get(team);
    return record != null && record.isReadable() && !record.quota().allows(committedUse.of(team));
  }
}
