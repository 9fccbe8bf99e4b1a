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
  private static final String NOT_STORED = "no limits are stored for team ";

  private final TeamAccounts accounts = new TeamAccounts();
  private final AccountWriter writer;
  private boolean enabled;

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
  public boolean enabled() {
    return enabled;
  }

  /** Stored limits do not count any more. */
  public void disable() {
    enabled = false;
    accounts.clear();
  }

  /** From now on the stored limits count; every account has to be settled first. */
  public void enable() {
    enabled = true;
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
    if (!enabled) {
      return null;
    }
    AdmissionRefusal ofLimits = refusalByLimits(team);
    return ofLimits == null ? refusalByAccount(team) : ofLimits;
  }

  private AdmissionRefusal refusalByLimits(String team) {
    LimitRecord record = accounts.limits(team);
    if (record == null) {
      boolean seeded = accounts.areSeeded();
      return new AdmissionRefusal(seeded ? NOT_STORED + team : "limits are being stored", !seeded);
    }
    if (!record.isReadable()) {
      String why = "the stored limits of team " + team + " are malformed: " + record.malformed();
      return new AdmissionRefusal(why, false);
    }
    return null;
  }

  private AdmissionRefusal refusalByAccount(String team) {
    TeamAccount account = accounts.account(team);
    if (account.isMalformed()) {
      String why = account.stored().malformed();
      return new AdmissionRefusal("the account of team " + team + " is malformed: " + why, false);
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
  public void wantSettled(String team) {
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
  public boolean fits(String team, Amount extra) {
    return !enabled || accounts.limitAllows(team, accounts.admitted(team).plus(extra));
  }

  /** True if the team's stored limit allows so much when nothing else of it runs. */
  public boolean allows(String team, Amount use) {
    return !enabled || accounts.limitAllows(team, use);
  }

  /** A claim was placed that has not committed. */
  public void placed(String team, Amount amount) {
    if (enabled) {
      accounts.account(team).place(amount);
    }
  }

  /** A placed claim has committed, or was given up. */
  public void noLongerPlaced(String team, Amount amount) {
    if (enabled) {
      accounts.account(team).place(Amount.NONE.minus(amount));
    }
  }

  // ---------------------------------------------------------------- changes of accounts

  /** True if the account has to be raised for what has been placed. */
  public boolean mustRaise(String team) {
    return writer.mustRaise(team);
  }

  /** The condition or write of the team's account in a transaction with claims of the team. */
  public AccountChange claim(String team) {
    return writer.claim(team);
  }

  /** Fences of accounts that something waits for, at most so many. */
  public List<AccountChange> fences(int most) {
    return writer.fences(most);
  }

  /**
   * Writes that lower accounts which have reserved too much for a while, at most so many.
   *
   * @param now seconds on the loop's clock
   */
  public List<AccountChange> releases(int most, double now) {
    return writer.releases(most, now);
  }

  /**
   * The changes have committed together. The caller has passed on the task batches of the same
   * transaction before.
   */
  public void committed(List<AccountChange> changes, long revision) {
    if (enabled) {
      changes.stream()
          .filter(AccountChange::writes)
          .forEach(change -> accounts.committed(change, revision));
    }
  }

  /** What the teams' committed claims use; kept up to date while this is enabled. */
  public CommittedUse committed() {
    return accounts.committed();
  }

  /** The changes were refused; the records read since say why. */
  public void refused(List<AccountChange> changes) {
    if (enabled) {
      changes.stream()
          .filter(AccountChange::writes)
          .forEach(change -> accounts.account(change.team()).refused(change));
    }
  }

  /** It is unknown whether the changes were carried out, or will be. */
  public void unanswered(List<AccountChange> changes) {
    if (enabled) {
      changes.forEach(change -> accounts.account(change.team()).unanswered(change));
    }
  }

  /** An operator wants the account written anew, though it can't be read. */
  public void replaceAccount(String team) {
    accounts.account(team).replace();
  }

  // ---------------------------------------------------------------- invariant and status

  /**
   * Compares the accounts with the committed claims. An account may lag above the claims by what
   * has ended, never below; claims may be above a limit that was lowered.
   */
  public void check() {
    if (enabled) {
      accounts.check();
    }
  }

  /** The state of a team's account, for operators. */
  public TeamStanding standing(String team) {
    TeamAccount account = accounts.account(team);
    AdmissionRefusal refusal = refusal(team);
    return new TeamStanding(
        account.stored().use(),
        accounts.committed().of(team),
        account.isSettled(),
        refusal == null || refusal.temporary() ? null : refusal.reason());
  }
}
