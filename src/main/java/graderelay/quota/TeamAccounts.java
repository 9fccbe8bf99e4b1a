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
  private final CommittedUse committed = new CommittedUse();
  private final Map<String, TeamAccount> accounts = new TreeMap<>();
  private final List<AccountDiscrepancy> discrepancies = new ArrayList<>();
  private Map<String, LimitRecord> limits = Map.of();
  private boolean seeded;

  /** The store's revision up to which everything has been read. */
  private long readRevision;

  /** True once the settings' limits have been stored as a whole. */
  boolean areSeeded() {
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
    return committed.of(team).plus(account(team).placed());
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
    committed.clear();
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
    readRevision = Math.max(readRevision, stored.asOf());
    stored.accounts().forEach((team, account) -> takeRecord(team, account, stored.asOf()));
    for (Map.Entry<String, TeamAccount> entry : accounts.entrySet()) {
      String team = entry.getKey();
      if (!limits.containsKey(team)) {
        entry.getValue().forget(); // Removed with its team.
      } else if (!stored.accounts().containsKey(team)) {
        takeRecord(team, Account.ABSENT, stored.asOf());
      }
      entry.getValue().readUpTo(readRevision);
    }
  }

  private void takeRecord(String team, Account found, long asOf) {
    TeamAccount account = account(team);
    long known = account.stored().revision();
    if ((found.revision() > 0 ? found.revision() : asOf) < known) {
      return; // Our own write is newer than what was read.
    }
    boolean isNew = found.revision() != known;
    if (account.read(found)) {
      report(team, AccountDiscrepancy.Kind.CHANGED_BY_OTHERS, found.use());
      account.requestSettling();
    }
    if (isNew && !found.isReadable()) {
      report(team, AccountDiscrepancy.Kind.MALFORMED, found.use());
    }
  }

  /** A write of ours has committed; what has been read may already include it. */
  void committed(AccountChange write, long revision) {
    TeamAccount account = account(write.team());
    account.committed(write, revision);
    account.readUpTo(readRevision);
  }

  /** What the committed claims use, by team. */
  CommittedUse committed() {
    return committed;
  }

  // ---------------------------------------------------------------- discrepancies

  /** Keeps a discrepancy until it is taken. */
  void report(String team, AccountDiscrepancy.Kind kind, Amount found) {
    discrepancies.add(new AccountDiscrepancy(team, kind, found, committed.of(team)));
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
  void check() {
    accounts.forEach(
        (team, account) -> {
          boolean reliedOn = account.isSettled() && !account.isWriteInFlight();
          if (reliedOn && !account.stored().use().covers(committed.of(team))) {
            account.unsettle(); // The discrepancy is reported when the account is fenced.
          }
          if (account.hasRisenAboveLimit(isAboveLimit(team))) {
            report(team, AccountDiscrepancy.Kind.ABOVE_LIMIT, account.stored().use());
          }
        });
  }

  private boolean isAboveLimit(String team) {
    LimitRecord record = limits.get(team);
    return record != null && record.isReadable() && !record.quota().allows(committed.of(team));
  }
}
