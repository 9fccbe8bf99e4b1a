package graderelay.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * The leader's view of one team's account.
 *
 * <p>Before the leader relies on an account it fences it: a conditional write gives the record a
 * new revision, so that in-flight writes of other writers, which are conditioned on the old
 * revision, fail. Once the leader has read the task batches as of that write, it knows every claim
 * that was committed under earlier revisions, and the account is settled.
 */
final class TeamAccount {
  private Account stored = Account.ABSENT;

  /** True while the leader may rely on the account. */
  private boolean settled;

  /** True if tasks of the team are waiting for the account to be settled. */
  private boolean settlingRequested;

  /** The revision of our fence, or 0 if no read as of a fence is awaited. */
  private long fenceRevision;

  /** True if an operator has requested to rewrite the record although it is malformed. */
  private boolean rewriteRequested;

  /** The write whose response is awaited, or null. */
  private AccountChange writeInFlight;

  /** Writes that may have committed or may still commit. */
  private final List<AccountChange> unresolvedWrites = new ArrayList<>();

  private Amount placed = Amount.NONE;

  /** When the account began to reserve too much, in seconds; NaN if it does not. */
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

  /** True if the record is malformed and no rewrite was requested. */
  boolean isMalformed() {
    return !stored.isReadable() && !rewriteRequested;
  }

  /** Requests that the account is settled, because tasks of the team are waiting for it. */
  void requestSettling() {
    settlingRequested = true;
  }

  /** True if settling was requested and a fence can be sent now. */
  boolean needsFence() {
    return settlingRequested
        && !settled
        && fenceRevision == 0
        && !isWriteInFlight()
        && !isMalformed();
  }

  /** Requires a new fence before the next claim. */
  void unsettle() {
    settled = false;
    fenceRevision = 0;
    settlingRequested = true;
  }

  /** Records that all records, including task batches, were read as of the revision. */
  void onReadUpTo(long revision) {
    if (fenceRevision > 0 && revision >= fenceRevision) {
      settled = true;
      settlingRequested = false;
      fenceRevision = 0;
    }
  }

  /** Requests that the record is rewritten, even if it is malformed. */
  void requestRewrite() {
    unsettle();
    rewriteRequested = true;
  }

  /** Resets the state after the record was removed with its team. */
  void onRemoved() {
    stored = Account.ABSENT;
    settled = false;
    settlingRequested = false;
    fenceRevision = 0;
    rewriteRequested = false;
    writeInFlight = null;
    unresolvedWrites.clear();
  }

  /** The use of placed claims that have neither committed nor been abandoned. */
  Amount placed() {
    return placed;
  }

  /** Adds to the use of placed claims; a negative amount reduces it. */
  void addPlaced(Amount change) {
    placed = placed.plus(change);
  }

  /** Records that a write is being sent. */
  void onSent(AccountChange write) {
    writeInFlight = write;
    unresolvedWrites.add(write);
    excessiveSince = Double.NaN;
  }

  /** Records that a write has committed at the revision. */
  void onCommitted(AccountChange write, long revision) {
    if (!unresolvedWrites.contains(write)) {
      return; // It was read already, or sent before the stored limits were last enabled.
    }
    clearInFlight(write);
    if (revision < stored.revision()) {
      return;
    }
    // Writes that were sent earlier can't commit any more.
    unresolvedWrites.removeIf(other -> other != writeInFlight);
    applyOwnWrite(Account.of(write.use(), write.writeId(), revision));
  }

  /** Applies a write of our own that is known to have committed. */
  private void applyOwnWrite(Account account) {
    stored = account;
    rewriteRequested = false;
    if (!settled) {
      fenceRevision = account.revision();
    }
  }

  /** Records that a write has failed and will not commit. */
  void onRefused(AccountChange write) {
    unresolvedWrites.remove(write);
    clearInFlight(write);
  }

  /**
   * Records that the outcome of a transaction on this account is unknown. It may still commit while
   * the account has the revision that the transaction is conditioned on.
   */
  void onOutcomeUnknown(AccountChange change) {
    clearInFlight(change);
    if (settled && change.expectedRevision() == stored.revision()) {
      unsettle();
    }
  }

  /** Clears the write in flight: its response has arrived or is no longer expected. */
  private void clearInFlight(AccountChange change) {
    if (change.equals(writeInFlight)) {
      writeInFlight = null;
    }
  }

  /**
   * Updates the account with the record as it was read.
   *
   * @return true if another writer has changed the record while this leader relied on it
   */
  boolean onRead(Account account) {
    if (account.revision() == stored.revision()) {
      return false;
    }
    AccountChange ownWrite = unresolvedWriteOf(account);
    if (ownWrite != null) {
      unresolvedWrites.remove(ownWrite);
      clearInFlight(ownWrite); // The read arrived before the response.
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

  /** The write of our own that created the record, or null; write IDs are unique per writer. */
  private AccountChange unresolvedWriteOf(Account account) {
    for (AccountChange write : unresolvedWrites) {
      if (account.isReadable() && write.writeId().equals(account.writeId())) {
        return write;
      }
    }
    return null;
  }

  /** True if the account has reserved too much for at least {@code releaseAfterS} seconds. */
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

  /** Records whether the claims exceed the limit; true if they do and did not at the last call. */
  boolean updateAboveLimit(boolean above) {
    boolean becameAboveLimit = above && !wasAboveLimit;
    wasAboveLimit = above;
    return becameAboveLimit;
  }
}
