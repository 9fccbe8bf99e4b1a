package graderelay.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * The leader's view of one team's account.
 *
 * <p>Before the leader relies on an account it fences it: a conditional write gives the record a
 * new version, so that writes of others that are still in flight fail on the old one. Once the
 * leader has read the task batches as of that write, it knows every claim that will ever have
 * committed under the versions before, and the account counts as settled.
 */
final class TeamAccount {
  private Account stored = Account.ABSENT;

  /** True while the leader may rely on the account. */
  private boolean settled;

  /** True while something waits for the account to be settled. */
  private boolean settlingRequested;

  /** The version that our fence has given the record, 0 if there is no fence to be read up to. */
  private long fenceRevision;

  /** An operator has asked to write a record anew that can't be read. */
  private boolean rewriteRequested;

  /** The write whose answer is awaited, or null. */
  private AccountChange writeInFlight;

  /** Writes that may have been carried out, or may still be. */
  private final List<AccountChange> unresolvedWrites = new ArrayList<>();

  private Amount placed = Amount.NONE;

  /** When the account was first seen to reserve too much, in seconds; NaN if it does not. */
  private double excessiveSince = Double.NaN;

  private boolean wasAboveLimit;

  Account stored() {
    return stored;
  }

  boolean isSettled() {
    return settled;
  }

  boolean isWriteInFlight() {
    return writeInFlight != null;
  }

  /** True if the record can't be read and nobody has asked to write it anew. */
  boolean isMalformed() {
    return !stored.isReadable() && !rewriteRequested;
  }

  /** Something of the team waits for its account to be settled. */
  void requestSettling() {
    settlingRequested = true;
  }

  /** True if the account is to be settled and a fence can be sent now. */
  boolean needsFence() {
    return settlingRequested
        && !settled
        && fenceRevision == 0
        && !isWriteInFlight()
        && !isMalformed();
  }

  /** The record has to be fenced again before the next claim. */
  void unsettle() {
    settled = false;
    fenceRevision = 0;
    settlingRequested = true;
  }

  /** Everything up to this revision has been read, task batches included. */
  void onReadUpTo(long revision) {
    if (fenceRevision > 0 && revision >= fenceRevision) {
      settled = true;
      settlingRequested = false;
      fenceRevision = 0;
    }
  }

  /** An operator wants the record written anew, whatever it says. */
  void requestRewrite() {
    unsettle();
    rewriteRequested = true;
  }

  /** The record has been removed with its team. */
  void onRemoved() {
    stored = Account.ABSENT;
    settled = false;
    settlingRequested = false;
    fenceRevision = 0;
    rewriteRequested = false;
    writeInFlight = null;
    unresolvedWrites.clear();
  }

  /** Claims that were placed and have neither committed nor been given up. */
  Amount placed() {
    return placed;
  }

  /** Adds to what is placed, or takes away from it if the amount is negative. */
  void addPlaced(Amount change) {
    placed = placed.plus(change);
  }

  /** A write is sent. */
  void onSent(AccountChange write) {
    writeInFlight = write;
    unresolvedWrites.add(write);
    excessiveSince = Double.NaN;
  }

  /** A write has committed at this revision. */
  void onCommitted(AccountChange write, long revision) {
    if (!unresolvedWrites.contains(write)) {
      return; // Read already, or sent before the stored limits were last switched on.
    }
    clearInFlight(write);
    if (revision < stored.revision()) {
      return;
    }
    // What was sent before can't commit any more.
    unresolvedWrites.removeIf(other -> other != writeInFlight);
    applyOwnWrite(Account.of(write.use(), write.writeId(), revision));
  }

  /** The record says what we have written. */
  private void applyOwnWrite(Account account) {
    stored = account;
    rewriteRequested = false;
    if (!settled) {
      fenceRevision = account.revision();
    }
  }

  /** A write was refused and won't be carried out. */
  void onRefused(AccountChange write) {
    unresolvedWrites.remove(write);
    clearInFlight(write);
  }

  /**
   * Nobody knows whether a transaction on this account was carried out, or will be: it may be as
   * long as the account has the version that it is conditioned on.
   */
  void onOutcomeUnknown(AccountChange change) {
    clearInFlight(change);
    if (settled && change.expectedRevision() == stored.revision()) {
      unsettle();
    }
  }

  /** The answer of a write has come, or it will not come any more. */
  private void clearInFlight(AccountChange change) {
    if (change.equals(writeInFlight)) {
      writeInFlight = null;
    }
  }

  /**
   * Takes the record as it was read.
   *
   * @return true if it was changed by somebody else while this leader relied on it
   */
  boolean onRead(Account account) {
    if (account.revision() == stored.revision()) {
      return false;
    }
    AccountChange ownWrite = unresolvedWriteOf(account);
    if (ownWrite != null) {
      unresolvedWrites.remove(ownWrite);
      clearInFlight(ownWrite); // The read has come before the answer.
      applyOwnWrite(account);
      return false;
    }
    final boolean wasReliedOn = settled;
    stored = account;
    settled = false;
    fenceRevision = 0;
    rewriteRequested = false;
    return wasReliedOn;
  }

  /** The write of ours that made the record, or null: other writers write under other names. */
  private AccountChange unresolvedWriteOf(Account account) {
    for (AccountChange write : unresolvedWrites) {
      if (account.isReadable() && write.writeId().equals(account.writeId())) {
        return write;
      }
    }
    return null;
  }

  /** True if the account has reserved too much for so long that it should be lowered. */
  boolean isReleaseDue(boolean excessive, double releaseAfterS, double now) {
    if (!excessive || isMalformed() || isWriteInFlight()) {
      excessiveSince = Double.NaN;
      return false;
    }
    if (Double.isNaN(excessiveSince)) {
      excessiveSince = now;
    }
    return now - excessiveSince >= releaseAfterS;
  }

  /** True once each time that the claims have come to be above the limit. */
  boolean updateAboveLimit(boolean above) {
    boolean becameAboveLimit = above && !wasAboveLimit;
    wasAboveLimit = above;
    return becameAboveLimit;
  }
}
