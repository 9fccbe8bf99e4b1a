package graderelay.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * The leader's copy of the stored limits and accounts of all teams, with what their committed
 * claims use and the discrepancies between the two that have been found.
 */
final class TeamAccounts {
  private final CommittedUse committedUse = new CommittedUse();
  private final Map<String, TeamAccount> accounts = new TreeMap<>();
  private final List<AccountDiscrepancy> discrepancies = new ArrayList<>();
  private Map<String, LimitRecord> limits = Map.of();
  private boolean seeded;

  /** The store's revision up to which everything has been read. */
  private long readRevision;

  /** True once the settings' limits have been stored as a whole. */
  boolean isSeeded() {
    return seeded;
  }

  /** The account of a team, which is made if it is not known yet. */
  TeamAccount account(String team) {
    return accounts.computeIfAbsent(team, x -> new TeamAccount());
  }

  /** The stored limits of a team, or null if there is no record of them. */
  LimitRecord limits(String team) {
    return limits.get(team);
  }

  /** What the team's claims use, with those that have been placed and not committed. */
  Amount admitted(String team) {
    return committedUse.of(team).plus(account(team).placed());
  }

  /** True if the team's stored limit allows so much in all. */
  boolean limitAllows(String team, Amount use) {
    LimitRecord record = limits.get(team);
    return record != null && record.isReadable() && record.quota().allows(use);
  }

  /** Calls back with every known account, by team in alphabetical order. */
  void forEach(BiConsumer<String, TeamAccount> action) {
    accounts.forEach(action);
  }

  /** Forgets everything but how far the store has been read. */
  void clear() {
    accounts.clear();
    committedUse.clear();
    discrepancies.clear();
    limits = Map.of();
  }

  // ---------------------------------------------------------------- records

  /**
   * Takes the records as they were read. The caller has passed on the task batches of the same
   * revision before.
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

  /** A write of ours has committed; what has been read may already include it. */
  void onCommitted(AccountChange write, long revision) {
    TeamAccount account = account(write.team());
    account.onCommitted(write, revision);
    account.onReadUpTo(readRevision);
  }

  /** What the committed claims use, by team. */
  CommittedUse committedUse() {
    return committedUse;
  }

  // ---------------------------------------------------------------- discrepancies

  /** Keeps a discrepancy until it is taken. */
  void report(String team, AccountDiscrepancy.Kind kind, Amount reserved) {
    discrepancies.add(new AccountDiscrepancy(team, kind, reserved, committedUse.of(team)));
  }

  /** The discrepancies that were found since the last call. */
  List<AccountDiscrepancy> takeDiscrepancies() {
    List<AccountDiscrepancy> found = List.copyOf(discrepancies);
    discrepancies.clear();
    return found;
  }

  /**
   * Compares the accounts with the committed claims. An account may lag above the claims by what
   * has ended, never below; claims may be above a limit that was lowered.
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
