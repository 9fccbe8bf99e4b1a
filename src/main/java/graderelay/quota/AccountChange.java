package graderelay.quota;

/**
 * A new value of a team's account.
 *
 * @param onRevision the version of the account that it was decided on
 * @param use the new value
 * @param onLimits the version of the team's limits that it was decided on, or {@link #ANY_LIMITS}
 */
public record AccountChange(String team, long onRevision, Amount use, long onLimits) {
  /** The change adds nothing, so it holds under any limits. */
  public static final long ANY_LIMITS = -1;

  /** True if the change admits claims and must fail once the limits have changed. */
  public boolean dependsOnLimits() {
    return onLimits != ANY_LIMITS;
  }
}
