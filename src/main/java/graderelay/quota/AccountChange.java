package graderelay.quota;

/**
 * The part of a transaction that concerns a team's account: the revisions that it is conditioned
 * on, and the new value if it writes the account.
 *
 * @param expectedRevision the revision that the account must still have
 * @param use the new value, or null if the account is only compared
 * @param writeId the unique ID of this write, or "" if nothing is written
 * @param expectedLimitsRevision the revision that the team's limits must still have, or {@link
 *     #ANY_LIMITS_REVISION}
 */
public record AccountChange(
    String team, long expectedRevision, Amount use, String writeId, long expectedLimitsRevision) {
  /** For transactions that admit no claims, which are therefore valid under any limits. */
  public static final long ANY_LIMITS_REVISION = -1;

  /** True if the account is written and not only compared. */
  public boolean writes() {
    return use != null;
  }

  /** True if the transaction admits claims and so must fail if the limits have changed. */
  public boolean dependsOnLimits() {
    return expectedLimitsRevision != ANY_LIMITS_REVISION;
  }
}
