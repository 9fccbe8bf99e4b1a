package graderelay.quota;

/**
 * The quota of one team.
 *
 * @param guarantee the share that the team gets without waiting for other teams; zero for none
 * @param limit the maximum use; a zero component means unlimited
 */
public record TeamQuota(Amount guarantee, Amount limit) {
  /** Neither guarantee nor limit. */
  public static final TeamQuota UNLIMITED = new TeamQuota(Amount.NONE, Amount.NONE);

  /** True if the use is within the limit. */
  public boolean allows(Amount use) {
    return isWithin(use.cpuMillis(), limit.cpuMillis())
        && isWithin(use.gpuMillis(), limit.gpuMillis());
  }

  private static boolean isWithin(long use, long limit) {
    return limit == 0 || use <= limit;
  }

  /** True if the guarantee does not exceed the limit and neither is negative. */
  public boolean isConsistent() {
    return !guarantee.isNegative()
        && !limit.isNegative()
        && isWithin(guarantee.cpuMillis(), limit.cpuMillis())
        && isWithin(guarantee.gpuMillis(), limit.gpuMillis());
  }
}
