package graderelay.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides on changes of the teams' accounts: raises an account for claims, fences it before the
 * leader relies on it, and lowers it after it has reserved too much for some time.
 */
final class AccountWriter {
  /** An account that reserves more than this multiple of the admitted amount is lowered. */
  private static final int MAX_RESERVED_TO_ADMITTED_RATIO = 2;

  private final String name;
  private final double releaseAfterS;
  private final TeamAccounts accounts;
  private long nextWriteNumber = 1;

  /**
   * Creates the account writer of one leader term.
   *
   * @param name a prefix of write IDs that is unique among all writers, also those of the same term
   * @param releaseAfterS seconds for which an account may reserve too much before it is lowered
   */
  AccountWriter(String name, double releaseAfterS, TeamAccounts accounts) {
    this.name = name;
    this.releaseAfterS = releaseAfterS;
    this.accounts = accounts;
  }

  /** True if the account has to be raised to cover the placed claims. */
  boolean needsRaise(String team) {
    return !accounts.account(team).stored().use().covers(accounts.admitted(team));
  }

  /** The comparison or write of the team's account in a transaction with claims of the team. */
  AccountChange changeForClaims(String team) {
    long limitsRevision = accounts.limits(team).revision();
    if (needsRaise(team)) {
      return write(team, reservation(team), limitsRevision);
    }
    long accountRevision = accounts.account(team).stored().revision();
    return new AccountChange(team, accountRevision, null, "", limitsRevision);
  }

  /** The amount to reserve for the team: 1.5 times its admitted claims, up to its limit. */
  private Amount reservation(String team) {
    Amount admitted = accounts.admitted(team);
    LimitRecord record = accounts.limits(team);
    Amount limit = record != null && record.isReadable() ? record.quota().limit() : Amount.NONE;
    return new Amount(
        reservation(admitted.cpuMillis(), limit.cpuMillis()),
        reservation(admitted.gpuMillis(), limit.gpuMillis()));
  }

  private static long reservation(long admitted, long limit) {
    long withHeadroom = admitted + admitted / 2;
    return limit == 0 ? withHeadroom : Math.max(admitted, Math.min(limit, withHeadroom));
  }

  /** Writes that fence the accounts whose settling was requested, at most {@code maxCount}. */
  List<AccountChange> fenceWrites(int maxCount) {
    List<AccountChange> changes = new ArrayList<>();
    accounts.forEach(
        (team, account) -> {
          if (changes.size() < maxCount && account.needsFence() && accounts.limits(team) != null) {
            changes.add(fence(team));
          }
        });
    return changes;
  }

  /**
   * Returns a write that fences the account. It does not lower the account, since claims that the
   * account covers may still commit before the fence. An account below the known claims is
   * reported, since it shows an earlier fault.
   */
  private AccountChange fence(String team) {
    Account stored = accounts.account(team).stored();
    boolean exists = stored.revision() > 0 && stored.isReadable();
    if (exists && !stored.use().covers(accounts.committedUse().of(team))) {
      accounts.report(team, AccountDiscrepancy.Kind.BELOW_COMMITTED_CLAIMS, stored.use());
    }
    return write(team, stored.use().max(reservation(team)), AccountChange.ANY_LIMITS_REVISION);
  }

  /**
   * Writes that lower accounts which have reserved too much for the release delay, at most {@code
   * maxCount}.
   *
   * @param now seconds on the loop's clock
   */
  List<AccountChange> releaseWrites(int maxCount, double now) {
    List<AccountChange> changes = new ArrayList<>();
    accounts.forEach(
        (team, account) -> {
          boolean due = account.isReleaseDue(isExcessive(team), releaseAfterS, now);
          if (due && !account.isSettled()) {
            account.requestSettling();
          } else if (due && changes.size() < maxCount) {
            changes.add(write(team, reservation(team), AccountChange.ANY_LIMITS_REVISION));
          }
        });
    return changes;
  }

  /** True if the account reserves far more than is admitted, or needlessly exceeds the limit. */
  private boolean isExcessive(String team) {
    Amount reserved = accounts.account(team).stored().use();
    Amount admitted = accounts.admitted(team);
    boolean aboveLimit = !accounts.limitAllows(team, reserved) && !admitted.covers(reserved);
    return aboveLimit || !admitted.times(MAX_RESERVED_TO_ADMITTED_RATIO).covers(reserved);
  }

  private AccountChange write(String team, Amount use, long expectedLimitsRevision) {
    TeamAccount account = accounts.account(team);
    String writeId = name + "-" + nextWriteNumber++;
    AccountChange change =
        new AccountChange(team, account.stored().revision(), use, writeId, expectedLimitsRevision);
    account.onSent(change);
    return change;
  }
}
