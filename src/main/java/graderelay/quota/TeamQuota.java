package graderelay.quota;

/**
 * The quota of one team: what it is guaranteed and what it may use.
 *
 * @param guarantee the fair share it need not wait for; zero for none
 * @param limit what it may use at most; a zero part is no limit
 */
public record TeamQuota(Amount guarantee, Amount limit) {
  /** A team without guarantee and limit. */
  public static final TeamQuota UNLIMITED = new TeamQuota(Amount.NONE, Amount.NONE);

  /** True if the team may use so much. */
  public boolean allows(Amount use) {
    return isWithin(use.cpuMillis(), limit.cpuMillis())
        && isWithin(use.gpuMillis(), limit.gpuMillis());
  }

  private static boolean isWithin(long use, long limit) {
    return limit == 0 || use <= limit;
  }

  /** True if the guarantee is no more than the limit. */
  public boolean isConsistent() {
    return !guarantee.isNegative()
        && !limit.isNegative()
        && isWithin(guarantee.cpuMillis(), limit.cpuMillis())
        && isWithin(guarantee.gpuMillis(), limit.gpuMillis());
  }
}
