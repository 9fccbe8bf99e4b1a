package graderelay.core;

/** Outcome of a compare-and-swap transaction on the key-value store. */
public enum TransactionOutcome {
  /** All changes were written. */
  COMMITTED,
  /** A condition did not hold; nothing was written. */
  REFUSED,
  /** No response was received; the cached records have been refreshed since. */
  UNKNOWN
}
