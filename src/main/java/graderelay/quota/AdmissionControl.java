package graderelay.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The leader's admission of claims by the stored limits and accounts. A claim's transaction carries
 * the new value of its team's account, conditioned on the versions of account and limits that it
 * was decided on, so that the committed claims of a team never take more than its stored limit,
 * whoever claims.
 *
 * <p>The new value is always the sum of the committed claims that are known and of those in the
 * transaction. No claim can have committed without changing the account, so if the condition on the
 * account's version holds, the sum misses none; ends that it does not know of only make it larger.
 */
public final class AdmissionControl {
  private static final String NOT_STORED = "no limits are stored for team ";

  private final double releaseAfterS;
  private final CommittedUse committed = new CommittedUse();
  private final Map<String, TeamAccount> accounts = new TreeMap<>();
  private final List<Difference> differences = new ArrayList<>();
  private Map<String, LimitRecord> limits = Map.of();
  private boolean enabled;
  private boolean seeded;

  /**
   * Makes the control, which is off.
   *
   * @param releaseAfterS seconds after which an account that claims don't lower is lowered by
   *     itself
   */
  public AdmissionControl(double releaseAfterS) {
    this.releaseAfterS = releaseAfterS;
  }

  public boolean enabled() {
    return enabled;
  }

  /** What the committed claims take; kept up to date while this is enabled. */
  public CommittedUse committed() {
    return committed;
  }

  /** Stored limits do not count any more. */
  public void disable() {
    enabled = false;
    accounts.clear();
    committed.clear();
    differences.clear();
    limits = Map.of();
  }

  /** From now on the stored limits count; every account has to be settled first. */
  public void enable() {
    enabled = true;
  }

  /** Takes the records as they were read; the slices of the same moment have been taken before. */
  public void update(StoredQuota stored) {
    limits = stored.limits();
    seeded = stored.seeded();
    for (Map.Entry<String, Account> e : stored.accounts().entrySet()) {
      read(e.getKey(), e.getValue(), stored.asOf());
    }
    for (Map.Entry<String, TeamAccount> e : accounts.entrySet()) {
      if (!limits.containsKey(e.getKey())) {
        e.getValue().forget(); // Removed with its team.
      } else if (!stored.accounts().containsKey(e.getKey())) {
        read(e.getKey(), Account.ABSENT, stored.asOf());
      }
    }
  }

  private TeamAccount account(String team) {
    return accounts.computeIfAbsent(team, x -> new TeamAccount());
  }

  private void read(String team, Account found, long asOf) {
    TeamAccount account = account(team);
    long known = account.stored().revision();
    if ((found.revision() > 0 ? found.revision() : asOf) < known) {
      return; // Our own write is newer than what was read.
    }
    boolean isNews = found.revision() != known;
    if (account.read(found)) {
      tell(team, Difference.Kind.CHANGED_BY_OTHERS, found.use());
    }
    if (isNews && !found.isReadable()) {
      tell(team, Difference.Kind.MALFORMED, found.use());
    }
  }

  private void tell(String team, Difference.Kind kind, Amount found) {
    differences.add(new Difference(team, kind, found, committed.of(team)));
  }

  /** What was found wrong since the last call. */
  public List<Difference> takeDifferences() {
    List<Difference> found = List.copyOf(differences);
    differences.clear();
    return found;
  }

  // ---------------------------------------------------------------- placing

  /** Why nothing of the team may be claimed now, or null if something may. */
  public Obstacle obstacle(String team) {
    if (!enabled) {
      return null;
    }
    LimitRecord record = limits.get(team);
    if (record == null) {
      return new Obstacle(seeded ? NOT_STORED + team : "limits are being stored", !seeded);
    }
    if (!record.isReadable()) {
      String why = "the stored limits of team " + team + " are malformed: " + record.malformed();
      return new Obstacle(why, false);
    }
    TeamAccount account = account(team);
    if (account.isMalformed()) {
      String why = account.stored().malformed();
      return new Obstacle("the account of team " + team + " is malformed: " + why, false);
    }
    if (account.isUnderWay()) {
      return new Obstacle("a change of its team's account is being committed", true);
    }
    if (!account.isSettled()) {
      return new Obstacle("its team's account is being settled", true);
    }
    return null;
  }

  /** Something of the team waits for its account to be settled. */
  public void wantSettled(String team) {
    account(team).want();
  }

  /** True if nothing of the team may be claimed before operators have mended a record. */
  public boolean isStopped(String team) {
    Obstacle obstacle = obstacle(team);
    return obstacle != null && !obstacle.passing();
  }

  /** True if nothing of the team may be claimed for about a round trip. */
  public boolean isPassing(String team) {
    Obstacle obstacle = obstacle(team);
    return obstacle != null && obstacle.passing();
  }

  /** True if the team stays within its stored limit with so much more. */
  public boolean fits(String team, Amount extra) {
    if (!enabled) {
      return true;
    }
    Amount use = committed.of(team).plus(account(team).placed()).plus(extra);
    return allows(team, use);
  }

  /** True if the team's stored limit allows so much when nothing else of it runs. */
  public boolean allows(String team, Amount use) {
    LimitRecord record = limits.get(team);
    return !enabled || (record != null && record.isReadable() && record.quota().allows(use));
  }

  /** A claim was placed that has not committed. */
  public void placed(String team, Amount amount) {
    if (enabled) {
      account(team).place(amount);
    }
  }

  /** A placed claim has committed, or was given up. */
  public void noLongerPlaced(String team, Amount amount) {
    if (enabled) {
      account(team).place(Amount.NONE.minus(amount));
    }
  }

  // ---------------------------------------------------------------- changes of accounts

  /** The change of the team's account that goes with claims of so much. */
  public AccountChange claim(String team, Amount claims) {
    return change(team, committed.of(team).plus(claims), limits.get(team).revision());
  }

  /** Accounts to be settled before something of their teams can be claimed, at most so many. */
  public List<AccountChange> settlements(int most) {
    List<AccountChange> changes = new ArrayList<>();
    for (Map.Entry<String, TeamAccount> e : accounts.entrySet()) {
      if (changes.size() < most && e.getValue().needsSettling() && limits.containsKey(e.getKey())) {
        changes.add(settlement(e.getKey()));
      }
    }
    return changes;
  }

  /** The account may lag above the claims; if it is below them, something went wrong before. */
  private AccountChange settlement(String team) {
    Amount claims = committed.of(team);
    Account found = account(team).stored();
    if (found.revision() > 0 && found.isReadable() && !found.use().covers(claims)) {
      tell(team, Difference.Kind.BELOW_CLAIMS, found.use());
    }
    return change(team, claims, AccountChange.ANY_LIMITS);
  }

  /** Accounts that have been above their claims for a while, to be lowered, at most so many. */
  public List<AccountChange> releases(int most, double now) {
    List<AccountChange> changes = new ArrayList<>();
    accounts.forEach(
        (team, account) -> {
          boolean due = account.releaseIsDue(committed.of(team), releaseAfterS, now);
          if (due && changes.size() < most) {
            changes.add(change(team, committed.of(team), AccountChange.ANY_LIMITS));
          }
        });
    return changes;
  }

  private AccountChange change(String team, Amount use, long onLimits) {
    TeamAccount account = account(team);
    AccountChange change = new AccountChange(team, account.stored().revision(), use, onLimits);
    account.sent(change);
    return change;
  }

  /** The changes have committed together; the slices of the same transaction were taken before. */
  public void committed(List<AccountChange> changes, long revision) {
    if (enabled) {
      changes.forEach(c -> account(c.team()).committed(c, revision));
    }
  }

  /** The changes were refused; what was read since says why. */
  public void refused(List<AccountChange> changes) {
    if (enabled) {
      changes.forEach(c -> account(c.team()).refused(c));
    }
  }

  /** Nobody knows whether the changes were carried out, or will be. */
  public void unanswered(List<AccountChange> changes) {
    if (enabled) {
      changes.forEach(c -> account(c.team()).unanswered(c));
    }
  }

  /** An operator wants the account written anew from the claims, though it can't be read. */
  public void replaceAccount(String team) {
    account(team).replace();
  }

  // ---------------------------------------------------------------- the invariant

  /**
   * Compares the accounts with the committed claims. An account may lag above the claims by what
   * has ended, never below; claims may be above a limit that was lowered.
   */
  public void check() {
    if (!enabled) {
      return;
    }
    accounts.forEach(
        (team, account) -> {
          boolean relies = account.isSettled() && !account.isUnderWay();
          if (relies && !account.stored().use().covers(committed.of(team))) {
            tell(team, Difference.Kind.BELOW_CLAIMS, account.stored().use());
            account.unsettle();
          }
          LimitRecord limit = limits.get(team);
          boolean above =
              limit != null && limit.isReadable() && !limit.quota().allows(committed.of(team));
          if (account.tellsAboveLimit(above)) {
            tell(team, Difference.Kind.ABOVE_LIMIT, account.stored().use());
          }
        });
  }

  // ---------------------------------------------------------------- what operators see

  /** How the account of a team stands. */
  public TeamStanding standing(String team) {
    TeamAccount account = account(team);
    Obstacle obstacle = obstacle(team);
    return new TeamStanding(
        account.stored().use(),
        committed.of(team),
        account.isSettled(),
        obstacle == null || obstacle.passing() ? null : obstacle.reason());
  }
}
