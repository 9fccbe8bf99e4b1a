package graderelay.state;

/** How a call to the key-value store ended. */
public enum StoreOutcome {
  /** The call was executed. */
  SUCCEEDED("done"),

  /** The requested key, session lease or revision does not exist (any more). */
  NOT_FOUND("absent"),

  /** A condition of the transaction did not hold; nothing was changed. */
  CONDITION_FAILED("conflict"),

  /** The session lease to bind a key to has expired; nothing was changed. */
  LEASE_EXPIRED("no_hold"),

  /** The call was not executed and will not be. */
  NOT_EXECUTED("not_executed"),

  /** The call may have been executed, may still be executed, or neither. */
  UNKNOWN("unknown");

  private final String metricLabel;

  StoreOutcome(String metricLabel) {
    this.metricLabel = metricLabel;
  }

  /** The label of this outcome in metrics; dashboards depend on it, so it must not change. */
  public String metricLabel() {
    return metricLabel;
  }
}
