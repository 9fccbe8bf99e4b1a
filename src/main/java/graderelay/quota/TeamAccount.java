package graderelay.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * The leader's view of one team's account. Before anything of the team is claimed under a new
 * leader the account is settled: written anew, from the committed claims, by a conditional write.
 * From then on at most one change of it is under way.
 */
final class TeamAccount {
  private Account stored = Account.ABSENT;
  private boolean settled;
  private boolean wanted;

  /** An operator has asked to write a record anew that can't be read. */
  private boolean replacing;

  /** The change that is under way, or null. */
  private AccountChange underWay;

  /** Changes that may have been carried out, or may still be. */
  private final List<AccountChange> possible = new ArrayList<>();

  private Amount placed = Amount.NONE;
  private double releasableSince = Double.NaN;
  private boolean toldAboveLimit;

  Account stored() {
    return stored;
  }

  boolean isSettled() {
    return settled;
  }

  boolean isUnderWay() {
    return underWay != null;
  }

  /** True if the record can't be read and nobody has asked to write it anew. */
  boolean isMalformed() {
    return !stored.isReadable() && !replacing;
  }

  /** Something of the team waits for its account to be settled. */
  void want() {
    wanted = true;
  }

  boolean needsSettling() {
    return wanted && !settled && !isUnderWay() && !isMalformed();
  }

  /** The record has to be written anew before the next claim. */
  void unsettle() {
    settled = false;
  }

  /** An operator wants the record written anew, whatever it says. */
  void replace() {
    replacing = true;
    settled = false;
    wanted = true;
  }

  /** The record has been removed with its team. */
  void forget() {
    stored = Account.ABSENT;
    settled = false;
    replacing = false;
    underWay = null;
    possible.clear();
  }

  /** Claims that were placed and have not committed. */
  Amount placed() {
    return placed;
  }

  void place(Amount change) {
    placed = placed.plus(change);
  }

  /** A change leaves. */
  void sent(AccountChange change) {
    underWay = change;
    possible.add(change);
    releasableSince = Double.NaN;
  }

  /** A change has committed at this revision. */
  void committed(AccountChange change, long revision) {
    if (!possible.contains(change)) {
      return; // Read already, or sent before the stored limits were last switched on.
    }
    answered(change);
    if (revision < stored.revision()) {
      return;
    }
    stored = Account.of(change.use(), revision);
    settled = true;
    wanted = false;
    replacing = false;
    possible.removeIf(p -> p != underWay); // What was sent before can't commit any more.
  }

  /** A change was refused and won't be carried out. */
  void refused(AccountChange change) {
    possible.remove(change);
    answered(change);
  }

  /** Nobody knows whether the change was carried out, or will be. */
  void unanswered(AccountChange change) {
    answered(change);
  }

  private void answered(AccountChange change) {
    if (change.equals(underWay)) {
      underWay = null;
    }
  }

  /**
   * Takes the record as it was read.
   *
   * @return true if it was changed by somebody else while this leader relied on it
   */
  boolean read(Account account) {
    if (account.revision() == stored.revision()) {
      return false;
    }
    AccountChange ours = account.isReadable() ? possibleChangeTo(account.use()) : null;
    stored = account;
    replacing = false;
    if (ours != null) {
      possible.remove(ours);
      answered(ours); // The read has come before the answer.
      return false;
    }
    boolean reliedOn = settled;
    settled = false;
    return reliedOn;
  }

  private AccountChange possibleChangeTo(Amount use) {
    for (AccountChange change : possible) {
      if (change.use().equals(use)) {
        return change;
      }
    }
    return null;
  }

  /** True if the account has been above the claims for so long that it should be lowered. */
  boolean releaseIsDue(Amount claims, double afterS, double now) {
    if (!settled || isUnderWay() || stored.use().equals(claims)) {
      releasableSince = Double.NaN;
      return false;
    }
    if (Double.isNaN(releasableSince)) {
      releasableSince = now;
    }
    return now - releasableSince >= afterS;
  }

  /** True once each time that the claims have come to be above the limit. */
  boolean tellsAboveLimit(boolean above) {
    boolean tells = above && !toldAboveLimit;
    toldAboveLimit = above;
    return tells;
  }
}
