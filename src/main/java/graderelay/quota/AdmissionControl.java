package graderelay.quota;

import java.util.List;

/**
 * The leader's admission of claims by the stored limits and accounts. An account reserves a part of
 * its team's limit for the writer of its present version. A claim's transaction is conditioned on
 * the versions of account and limits; it raises the account where that does not cover the claims.
 *
 * <p>So at every commit the claims of a team take no more than its account, and that no more than
 * the limit under which it was decided, whoever claims: the writer of a version knows every claim
 * that has committed before it, since it has read the task batches as of the write that made the
 * version, and every claim since is its own.
 */
public final class AdmissionControl {
  private static final String NOT_STORED_PREFIX = "no limits are stored for team ";

  private final TeamAccounts accounts = new TeamAccounts();
  private final AccountWriter writer;
  private boolean isEnabled;

  /**
   * Makes the control, which is off.
   *
   * @param name tells this control from all others, also from those of the same term
   * @param releaseAfterS seconds for which an account may reserve too much
   */
  public AdmissionControl(String name, double releaseAfterS) {
    this.writer = new AccountWriter(name, releaseAfterS, accounts);
  }

  /** True while the stored limits count. */
  public boolean isEnabled() {
    return isEnabled;
  }

  /** Stored limits do not count any more. */
  public void disable() {
    isEnabled = false;
    accounts.clear();
  }

  /** From now on the stored limits count; every account has to be settled first. */
  public void enable() {
    isEnabled = true;
  }

  /**
   * Takes the records as they were read. The caller has passed on the task batches of the same
   * revision before.
   */
  public void update(StoredQuota stored) {
    accounts.update(stored);
  }

  /** The discrepancies that were found since the last call. */
  public List<AccountDiscrepancy> takeDiscrepancies() {
    return accounts.takeDiscrepancies();
  }

  // ---------------------------------------------------------------- admission of claims

  /** Why nothing of the team may be claimed now, or null if something may. */
  public AdmissionRefusal refusal(String team) {
    if (!isEnabled) {
      return null;
    }
    AdmissionRefusal limitsRefusal = refusalDueToLimits(team);
    return limitsRefusal == null ? refusalDueToAccount(team) : limitsRefusal;
  }

  private AdmissionRefusal refusalDueToLimits(String team) {
    LimitRecord record = accounts.limits(team);
    if (record == null) {
      boolean seeded = accounts.isSeeded();
      return new AdmissionRefusal(
          seeded ? NOT_STORED_PREFIX + team : "limits are being stored", !seeded);
    }
    if (!record.isReadable()) {
      String reason = "the stored limits of team " + team + " are malformed: " + record.malformed();
      return new AdmissionRefusal(reason, false);
    }
    return null;
  }

  private AdmissionRefusal refusalDueToAccount(String team) {
    TeamAccount account = accounts.account(team);
    if (account.isMalformed()) {
      String reason = account.stored().malformed();
      return new AdmissionRefusal(
          "the account of team " + team + " is malformed: " + reason, false);
    }
    if (account.isWriteInFlight()) {
      return new AdmissionRefusal("its team's account is being changed", true);
    }
    if (!account.isSettled()) {
      return new AdmissionRefusal("its team's account is being settled", true);
    }
    return null;
  }

  /** Something of the team waits for its account to be settled. */
  public void requestSettling(String team) {
    accounts.account(team).requestSettling();
  }

  /** True if nothing of the team may be claimed before operators have mended a record. */
  public boolean isStopped(String team) {
    AdmissionRefusal refusal = refusal(team);
    return refusal != null && !refusal.temporary();
  }

  /** True if nothing of the team may be claimed for about a round trip to the store. */
  public boolean isTemporarilyRefused(String team) {
    AdmissionRefusal refusal = refusal(team);
    return refusal != null && refusal.temporary();
  }

  /** True if the team stays within its stored limit with so much more. */
  public boolean fitsLimit(String team, Amount extra) {
    return !isEnabled || accounts.limitAllows(team, accounts.admitted(team).plus(extra));
  }

  /** True if the team's stored limit allows so much when nothing else of it runs. */
  public boolean limitAllows(String team, Amount use) {
    return !isEnabled || accounts.limitAllows(team, use);
  }

  /** A claim was placed that has not committed. */
  public void onClaimPlaced(String team, Amount amount) {
    if (isEnabled) {
      accounts.account(team).addPlaced(amount);
    }
  }

  /** A placed claim has committed, or was given up. */
  public void onClaimNoLongerPlaced(String team, Amount amount) {
    if (isEnabled) {
      accounts.account(team).addPlaced(Amount.NONE.minus(amount));
    }
  }

  // ---------------------------------------------------------------- changes of accounts

  /** True if the account has to be raised for what has been placed. */
  public boolean needsRaise(String team) {
    return writer.needsRaise(team);
  }

  /** The condition or write of the team's account in a transaction with claims of the team. */
  public AccountChange changeForClaims(String team) {
    return writer.changeForClaims(team);
  }

  /** Fences of accounts that something waits for, at most so many. */
  public List<AccountChange> fenceWrites(int maxCount) {
    return writer.fenceWrites(maxCount);
  }

  /**
   * Writes that lower accounts which have reserved too much for a while, at most so many.
   *
   * @param now seconds on the loop's clock
   */
  public List<AccountChange> releaseWrites(int maxCount, double now) {
    return writer.releaseWrites(maxCount, now);
  }

  /**
   * The changes have committed together. The caller has passed on the task batches of the same
   * transaction before.
   */
  public void onCommitted(List<AccountChange> changes, long revision) {
    if (isEnabled) {
      changes.stream()
          .filter(AccountChange::writes)
          .forEach(change -> accounts.onCommitted(change, revision));
    }
  }

  /** What the teams' committed claims use; kept up to date while this is enabled. */
  public CommittedUse committedUse() {
    return accounts.committedUse();
  }

  /** The changes were refused; the records read since say why. */
  public void onRefused(List<AccountChange> changes) {
    if (isEnabled) {
      changes.stream()
          .filter(AccountChange::writes)
          .forEach(change -> accounts.account(change.team()).onRefused(change));
    }
  }

  /** It is unknown whether the changes were carried out, or will be. */
  public void onOutcomeUnknown(List<AccountChange> changes) {
    if (isEnabled) {
      changes.forEach(change -> accounts.account(change.team()).onOutcomeUnknown(change));
    }
  }

  /** An operator wants the account written anew, though it can't be read. */
  public void requestAccountRewrite(String team) {
    accounts.account(team).requestRewrite();
  }

  // ---------------------------------------------------------------- invariant and status

  /**
   * Compares the accounts with the committed claims. An account may lag above the claims by what
   * has ended, never below; claims may be above a limit that was lowered.
   */
  public void checkAccounts() {
    if (isEnabled) {
      accounts.checkAll();
    }
  }

  /** The state of a team's account, for operators. */
  public TeamQuotaStatus status(String team) {
    TeamAccount account = accounts.account(team);
    AdmissionRefusal refusal = refusal(team);
    return new TeamQuotaStatus(
        account.stored().use(),
        accounts.committedUse().of(team),
        account.isSettled(),
        refusal == null || refusal.temporary() ? null : refusal.reason());
  }
}
