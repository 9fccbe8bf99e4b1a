package graderelay.quota;

/**
 * A transaction's part on a team's account: the version that it was decided on, and the new value
 * if the account is written.
 *
 * @param expectedRevision the version of the account that must still stand
 * @param use the new value, or null if the account stays as it is and is only a condition
 * @param writeId the unique name of this write, "" if it writes nothing
 * @param expectedLimitsRevision the version of the team's limits that must still stand, or {@link
 *     #ANY_LIMITS}
 */
public record AccountChange(
    String team, long expectedRevision, Amount use, String writeId, long expectedLimitsRevision) {
  /** The transaction admits nothing, so it is valid under any limits. */
  public static final long ANY_LIMITS_REVISION = -1;

  /** True if the account is written, and not only compared. */
  public boolean writes() {
    return use != null;
  }

  /** True if claims are admitted, which must fail once the limits have changed. */
  public boolean dependsOnLimits() {
    return expectedLimitsRevision != ANY_LIMITS_REVISION;
  }
}
