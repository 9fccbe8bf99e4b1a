package graderelay.quota;

import java.util.List;

/**
 * Admits claims on the leader according to the stored limits and accounts. An account reserves a
 * part of its team's limit for the writer of its current revision. The transaction of a claim is
 * conditioned on the revisions of account and limits, and raises the account if that does not cover
 * the claims.
 *
 * <p>So at every commit the claims of a team use no more than its account reserves, and the account
 * no more than the limit under which it was written, even with several concurrent claimers: the
 * writer of a revision knows every claim committed before it, since it has read the task batches as
 * of that revision, and it has made every claim since itself.
 */
public final class AdmissionControl {
  private static final String NOT_STORED_PREFIX = "no limits are stored for team ";

  private final TeamAccounts accounts = new TeamAccounts();
  private final AccountWriter writer;
  private boolean enabled;

  /**
   * Creates the admission control, which is disabled at first.
   *
   * @param name a prefix of write IDs that is unique among all instances, also those of the same
   *     term
   * @param releaseAfterS seconds for which an account may reserve too much before it is lowered
   */
  public AdmissionControl(String name, double releaseAfterS) {
    this.writer = new AccountWriter(name, releaseAfterS, accounts);
  }

  /** True while the stored limits are enforced. */
  public boolean isEnabled() {
    return enabled;
  }

  /** Stops enforcing the stored limits. */
  public void disable() {
    enabled = false;
    accounts.clear();
  }

  /** Starts enforcing the stored limits; every account has to be settled before its first claim. */
  public void enable() {
    enabled = true;
  }

  /**
   * Updates the records after a read. The caller has to add the task batches of the same revision
   * to {@link #committedUse()} first.
   */
  public void update(StoredQuota stored) {
    accounts.update(stored);
  }

  /** Returns the discrepancies found since the last call. */
  public List<AccountDiscrepancy> takeDiscrepancies() {
    return accounts.takeDiscrepancies();
  }

  // ---------------------------------------------------------------- admission of claims

  /** Why the team may not claim anything now, or null if it may. */
  public AdmissionRefusal refusal(String team) {
    if (!enabled) {
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

  /** Requests that the team's account is settled, because tasks of the team are waiting for it. */
  public void requestSettling(String team) {
    accounts.account(team).requestSettling();
  }

  /** True if the team may not claim anything until operators have repaired a record. */
  public boolean isStopped(String team) {
    AdmissionRefusal refusal = refusal(team);
    return refusal != null && !refusal.temporary();
  }

  /** True if the team may not claim anything for about one round trip to the key-value store. */
  public boolean isTemporarilyRefused(String team) {
    AdmissionRefusal refusal = refusal(team);
    return refusal != null && refusal.temporary();
  }

  /** True if the team stays within its stored limit with the extra amount. */
  public boolean fitsLimit(String team, Amount extra) {
    return !enabled || accounts.limitAllows(team, accounts.admitted(team).plus(extra));
  }

  /** True if the team's stored limit allows the use while nothing else of the team is running. */
  public boolean limitAllows(String team, Amount use) {
    return !enabled || accounts.limitAllows(team, use);
  }

  /** Records that a claim was placed; it has not committed yet. */
  public void onClaimPlaced(String team, Amount amount) {
    if (enabled) {
      accounts.account(team).addPlaced(amount);
    }
  }

  /** Records that a placed claim has committed or was abandoned. */
  public void onClaimNoLongerPlaced(String team, Amount amount) {
    if (enabled) {
      accounts.account(team).addPlaced(Amount.NONE.minus(amount));
    }
  }

  // ---------------------------------------------------------------- changes of accounts

  /** True if the account has to be raised to cover the placed claims. */
  public boolean needsRaise(String team) {
    return writer.needsRaise(team);
  }

  /** The comparison or write of the team's account in a transaction with claims of the team. */
  public AccountChange changeForClaims(String team) {
    return writer.changeForClaims(team);
  }

  /** Writes that fence the accounts whose settling was requested, at most {@code maxCount}. */
  public List<AccountChange> fenceWrites(int maxCount) {
    return writer.fenceWrites(maxCount);
  }

  /**
   * Writes that lower accounts which have reserved too much for the release delay, at most {@code
   * maxCount}.
   *
   * @param now seconds on the loop's clock
   */
  public List<AccountChange> releaseWrites(int maxCount, double now) {
    return writer.releaseWrites(maxCount, now);
  }

  /**
   * Records that the changes have committed in one transaction. The caller has to add the task
   * batches of the same transaction to {@link #committedUse()} first.
   */
  public void onCommitted(List<AccountChange> changes, long revision) {
    if (enabled) {
      changes.stream()
          .filter(AccountChange::writes)
          .forEach(change -> accounts.onCommitted(change, revision));
    }
  }

  /** The use of the teams' committed claims; kept up to date while stored limits are enforced. */
  public CommittedUse committedUse() {
    return accounts.committedUse();
  }

  /** Records that the transaction of the changes failed; the records read since show the reason. */
  public void onRefused(List<AccountChange> changes) {
    if (enabled) {
      changes.stream()
          .filter(AccountChange::writes)
          .forEach(change -> accounts.account(change.team()).onRefused(change));
    }
  }

  /** Records that it is unknown whether the changes have committed or will commit. */
  public void onOutcomeUnknown(List<AccountChange> changes) {
    if (enabled) {
      changes.forEach(change -> accounts.account(change.team()).onOutcomeUnknown(change));
    }
  }

  /** Requests that the account is rewritten, even if its record is malformed. */
  public void requestAccountRewrite(String team) {
    accounts.account(team).requestRewrite();
  }

  // ---------------------------------------------------------------- invariant and status

  /**
   * Compares the accounts with the committed claims. An account may exceed the claims, since it is
   * lowered only some time after claims have ended, but must never be below them; claims may exceed
   * a limit that was lowered.
   */
  public void checkAccounts() {
    if (enabled) {
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
