package graderelay.state;

/** How a call to the key-value store ended. */
public enum StoreOutcome {
  /** The call was executed. */
  SUCCEEDED("done"),

  /** The key, session lease or revision asked for does not exist, or no longer. */
  NOT_FOUND("absent"),

  /** A condition of the transaction did not hold: nothing was changed. */
  CONDITION_FAILED("conflict"),

  /** The session lease that a put was to be bound to has expired: nothing was changed. */
  LEASE_EXPIRED("no_hold"),

  /** The call was not executed, and it won't be. */
  NOT_EXECUTED("not_executed"),

  /** The call was executed, or not, or is still to be. */
  UNKNOWN("unknown");

  private final String metricLabel;

  StoreOutcome(String metricLabel) {
    this.metricLabel = metricLabel;
  }

  /** The outcome as dashboards know it; these names don't change with those of the constants. */
  public String metricLabel() {
    return metricLabel;
  }
}
