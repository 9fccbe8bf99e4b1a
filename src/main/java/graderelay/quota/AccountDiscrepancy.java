package graderelay.quota;

/**
 * An account that is inconsistent with its team's claims, limit or last known record. Discrepancies
 * are logged and counted, and never repaired silently.
 *
 * @param reserved what the account reserves
 * @param used what the committed claims of the team use
 */
public record AccountDiscrepancy(String team, Kind kind, Amount reserved, Amount used) {
  /** The kind of inconsistency. */
  public enum Kind {
    /** The account reserves less than the committed claims use. */
    BELOW_COMMITTED_CLAIMS("reserves less than its committed claims use"),
    /** Another writer than this leader has changed the account. */
    CHANGED_EXTERNALLY("was changed by another writer"),
    /** The record can't be parsed. */
    MALFORMED("is malformed"),
    /** The claims exceed the limit, which happens after the limit was lowered. */
    ABOVE_LIMIT("exceeds the team's limit");

    private final String description;

    Kind(String description) {
      this.description = description;
    }
  }

  @Override
  public String toString() {
    return "the account of team "
        + team
        + " "
        + kind.description
        + ": it reserves "
        + reserved
        + ", the committed claims use "
        + used;
  }
}
