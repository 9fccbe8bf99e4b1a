package graderelay.quota;

/**
 * An account that does not agree with its team's claims, limit or last known record. It is logged
 * and counted, and never mended silently.
 *
 * @param reserved what the account says
 * @param used what the committed claims of the team use
 */
public record AccountDiscrepancy(String team, Kind kind, Amount reserved, Amount used) {
  /** What is wrong. */
  public enum Kind {
    /** The account says less than the committed claims take. */
    BELOW_COMMITTED_CLAIMS("says less than its committed claims take"),
    /** Somebody other than this leader has changed the account. */
    CHANGED_EXTERNALLY("was changed by somebody else"),
    /** The record can't be read. */
    MALFORMED("can't be read"),
    /** The claims take more than the limit, as happens after the limit was lowered. */
    ABOVE_LIMIT("is above the team's limit");

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
        + ": it says "
        + reserved
        + ", the claims take "
        + used;
  }
}
