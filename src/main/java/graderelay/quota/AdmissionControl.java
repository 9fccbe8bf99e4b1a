package graderelay.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The leader's admission of claims by the stored limits and accounts. An account reserves a part of
 * its team's limit for whoever holds its present version. A claim's transaction is conditioned on
 * the versions of account and limits; it raises the account where that does not cover the claims.
 *
 * <p>So at every commit the claims of a team take no more than its account, and that no more than
 * the limit under which it was decided, whoever claims: the holder of a version knows every claim
 * that has committed before it, since it has read the task batches as of the write that made the
 * version, and every claim since is its own.
 */
public final class AdmissionControl {
  private static final String NOT_STORED = "no limits are stored for team ";

  private final String name;
  private final double releaseAfterS;
  private final CommittedUse committed = new CommittedUse();
  private final Map<String, TeamAccount> accounts = new TreeMap<>();
  private final List<Difference> differences = new ArrayList<>();
  private Map<String, LimitRecord> limits = Map.of();
  private boolean enabled;
  private boolean seeded;
  private long nextWrite = 1;

  /** The revision up to which everything has been read. */
  private long asOf;

  /**
   * Makes the control, which is off.
   *
   * @param name tells this control from all others, also from those of the same term
   * @param releaseAfterS seconds for which an account may reserve too much
   */
  public AdmissionControl(String name, double releaseAfterS) {
    this.name = name;
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

  /**
   * Takes the records as they were read; the task batches of the same moment have been taken
   * before.
   */
  public void update(StoredQuota stored) {
    limits = stored.limits();
    seeded = stored.seeded();
    asOf = Math.max(asOf, stored.asOf());
    for (Map.Entry<String, Account> e : stored.accounts().entrySet()) {
      read(e.getKey(), e.getValue(), stored.asOf());
    }
    for (Map.Entry<String, TeamAccount> e : accounts.entrySet()) {
      if (!limits.containsKey(e.getKey())) {
        e.getValue().forget(); // Removed with its team.
      } else if (!stored.accounts().containsKey(e.getKey())) {
        read(e.getKey(), Account.ABSENT, stored.asOf());
      }
      e.getValue().readUpTo(asOf);
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
      account.want();
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
      return new Obstacle("its team's account is being changed", true);
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

  /** What the team's claims take, with those that have been placed and not committed. */
  private Amount admitted(String team) {
    return committed.of(team).plus(account(team).placed());
  }

  /** True if the account has to be raised for what has been placed. */
  public boolean mustRaise(String team) {
    return !account(team).stored().use().covers(admitted(team));
  }

  /** What a transaction with claims of the team says of its account. */
  public AccountChange claim(String team) {
    long onLimits = limits.get(team).revision();
    if (mustRaise(team)) {
      return write(team, reservation(team), onLimits);
    }
    return new AccountChange(team, account(team).stored().revision(), null, "", onLimits);
  }

  /** What is reserved for the team: its claims and half as much again, as far as the limit goes. */
  private Amount reservation(String team) {
    Amount admitted = admitted(team);
    LimitRecord record = limits.get(team);
    Amount limit = record != null && record.isReadable() ? record.quota().limit() : Amount.NONE;
    return new Amount(
        reservation(admitted.cpuMillis(), limit.cpuMillis()),
        reservation(admitted.gpuMillis(), limit.gpuMillis()));
  }

  private static long reservation(long admitted, long limit) {
    long wanted = admitted + admitted / 2;
    return limit == 0 ? wanted : Math.max(admitted, Math.min(limit, wanted));
  }

  /** Fences for accounts that something waits for, at most so many. */
  public List<AccountChange> fences(int most) {
    List<AccountChange> changes = new ArrayList<>();
    for (Map.Entry<String, TeamAccount> e : accounts.entrySet()) {
      if (changes.size() < most && e.getValue().needsFence() && limits.containsKey(e.getKey())) {
        changes.add(fence(e.getKey()));
      }
    }
    return changes;
  }

  /**
   * Keeps what the account says, since claims that it covers may still commit before the fence. If
   * it is below the claims that are known, something went wrong before.
   */
  private AccountChange fence(String team) {
    Account found = account(team).stored();
    if (found.revision() > 0 && found.isReadable() && !found.use().covers(committed.of(team))) {
      tell(team, Difference.Kind.BELOW_CLAIMS, found.use());
    }
    return write(team, found.use().orMore(reservation(team)), AccountChange.ANY_LIMITS);
  }

  /** Accounts that have reserved too much for a while, to be lowered, at most so many. */
  public List<AccountChange> releases(int most, double now) {
    List<AccountChange> changes = new ArrayList<>();
    accounts.forEach(
        (team, account) -> {
          boolean due = account.releaseIsDue(isExcessive(team), releaseAfterS, now);
          if (due && !account.isSettled()) {
            account.want();
          } else if (due && changes.size() < most) {
            changes.add(write(team, reservation(team), AccountChange.ANY_LIMITS));
          }
        });
    return changes;
  }

  /** True if more than twice of what is admitted is reserved, or more than the limit allows. */
  private boolean isExcessive(String team) {
    Amount reserved = account(team).stored().use();
    Amount admitted = admitted(team);
    boolean aboveLimit = !allows(team, reserved) && !admitted.covers(reserved);
    return aboveLimit || !admitted.times(2).covers(reserved);
  }

  private AccountChange write(String team, Amount use, long onLimits) {
    TeamAccount account = account(team);
    String writer = name + "-" + nextWrite++;
    AccountChange change =
        new AccountChange(team, account.stored().revision(), use, writer, onLimits);
    account.sent(change);
    return change;
  }

  /**
   * The changes have committed together; the task batches of the same transaction were taken
   * before.
   */
  public void committed(List<AccountChange> changes, long revision) {
    if (enabled) {
      changes.stream()
          .filter(AccountChange::writes)
          .forEach(
              c -> {
                account(c.team()).committed(c, revision);
                account(c.team()).readUpTo(asOf);
              });
    }
  }

  /** The changes were refused; what was read since says why. */
  public void refused(List<AccountChange> changes) {
    if (enabled) {
      changes.stream().filter(AccountChange::writes).forEach(c -> account(c.team()).refused(c));
    }
  }

  /** Nobody knows whether the changes were carried out, or will be. */
  public void unanswered(List<AccountChange> changes) {
    if (enabled) {
      changes.forEach(c -> account(c.team()).unanswered(c));
    }
  }

  /** An operator wants the account written anew, though it can't be read. */
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
            account.unsettle(); // It is told of when it is fenced.
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
