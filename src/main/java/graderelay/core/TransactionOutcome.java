package graderelay.core;

/** How a compare-and-swap transaction on the key-value store ended. */
public enum TransactionOutcome {
  /** All of it was written. */
  COMMITTED,
  /** A condition didn't hold; nothing was written. */
  REFUSED,
  /** No answer came; the cached records have been brought up to date since. */
  UNKNOWN
}
