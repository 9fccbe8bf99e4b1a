package graderelay.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * The leader's view of one team's account.
 *
 * <p>Before the leader relies on an account it fences it: a conditional write gives the record a
 * new version, on which nothing that others have on the way is conditioned. Once the leader has
 * read the task batches as of that write, it knows every claim that will ever have committed under
 * the versions before, and the account counts as settled.
 */
final class TeamAccount {
  private Account stored = Account.ABSENT;
  private boolean settled;
  private boolean wanted;

  /** The version that our fence has given the record, 0 if there is no fence to be read up to. */
  private long fencedAt;

  /** An operator has asked to write a record anew that can't be read. */
  private boolean replacing;

  /** The write that is under way, or null. */
  private AccountChange underWay;

  /** Writes that may have been carried out, or may still be. */
  private final List<AccountChange> possible = new ArrayList<>();

  private Amount placed = Amount.NONE;
  private double excessiveSince = Double.NaN;
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

  boolean needsFence() {
    return wanted && !settled && fencedAt == 0 && !isUnderWay() && !isMalformed();
  }

  /** The record has to be fenced again before the next claim. */
  void unsettle() {
    settled = false;
    fencedAt = 0;
    wanted = true;
  }

  /** Everything up to this revision has been read, task batches included. */
  void readUpTo(long revision) {
    if (fencedAt > 0 && revision >= fencedAt) {
      settled = true;
      wanted = false;
      fencedAt = 0;
    }
  }

  /** An operator wants the record written anew, whatever it says. */
  void replace() {
    unsettle();
    replacing = true;
  }

  /** The record has been removed with its team. */
  void forget() {
    stored = Account.ABSENT;
    settled = false;
    wanted = false;
    fencedAt = 0;
    replacing = false;
    underWay = null;
    possible.clear();
  }

  /** Claims that were placed and have neither committed nor been given up. */
  Amount placed() {
    return placed;
  }

  void place(Amount change) {
    placed = placed.plus(change);
  }

  /** A write leaves. */
  void sent(AccountChange write) {
    underWay = write;
    possible.add(write);
    excessiveSince = Double.NaN;
  }

  /** A write has committed at this revision. */
  void committed(AccountChange write, long revision) {
    if (!possible.contains(write)) {
      return; // Read already, or sent before the stored limits were last switched on.
    }
    answered(write);
    if (revision < stored.revision()) {
      return;
    }
    possible.removeIf(p -> p != underWay); // What was sent before can't commit any more.
    written(Account.of(write.use(), write.writer(), revision));
  }

  /** The record says what we have written. */
  private void written(Account account) {
    stored = account;
    replacing = false;
    if (!settled) {
      fencedAt = account.revision();
    }
  }

  /** A write was refused and won't be carried out. */
  void refused(AccountChange write) {
    possible.remove(write);
    answered(write);
  }

  /**
   * Nobody knows whether a transaction on this account was carried out, or will be: it may be as
   * long as the account has the version that it is conditioned on.
   */
  void unanswered(AccountChange change) {
    answered(change);
    if (settled && change.onRevision() == stored.revision()) {
      unsettle();
    }
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
    AccountChange ours = possibleWrite(account);
    if (ours != null) {
      possible.remove(ours);
      answered(ours); // The read has come before the answer.
      written(account);
      return false;
    }
    boolean reliedOn = settled;
    stored = account;
    settled = false;
    fencedAt = 0;
    replacing = false;
    return reliedOn;
  }

  /** The write of ours that made the record, or null: another one may have written the same. */
  private AccountChange possibleWrite(Account account) {
    for (AccountChange write : possible) {
      if (account.isReadable() && write.writer().equals(account.writer())) {
        return write;
      }
    }
    return null;
  }

  /** True if the account has reserved too much for so long that it should be lowered. */
  boolean releaseIsDue(boolean excessive, double afterS, double now) {
    if (!excessive || isMalformed() || isUnderWay()) {
      excessiveSince = Double.NaN;
      return false;
    }
    if (Double.isNaN(excessiveSince)) {
      excessiveSince = now;
    }
    return now - excessiveSince >= afterS;
  }

  /** True once each time that the claims have come to be above the limit. */
  boolean tellsAboveLimit(boolean above) {
    boolean tells = above && !toldAboveLimit;
    toldAboveLimit = above;
    return tells;
  }
}
