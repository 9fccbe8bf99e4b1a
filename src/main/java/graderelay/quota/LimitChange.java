package graderelay.quota;

import java.math.BigDecimal;
import java.util.Optional;

/**
 * An operator's change of a team's guarantee and limit; null components stay unchanged.
 *
 * @param cpus the guaranteed CPUs
 * @param cpusMax the limit of CPUs, 0 for unlimited
 * @param gpus the guaranteed GPUs
 * @param gpusMax the limit of GPUs, 0 for unlimited
 */
public record LimitChange(
    BigDecimal cpus, BigDecimal cpusMax, BigDecimal gpus, BigDecimal gpusMax) {
  /** Returns the quota with this change applied. */
  public TeamQuota applyTo(TeamQuota current) {
    Amount guarantee = current.guarantee();
    Amount limit = current.limit();
    return new TeamQuota(
        new Amount(
            millisOrDefault(cpus, guarantee.cpuMillis()),
            millisOrDefault(gpus, guarantee.gpuMillis())),
        new Amount(
            millisOrDefault(cpusMax, limit.cpuMillis()),
            millisOrDefault(gpusMax, limit.gpuMillis())));
  }

  private static long millisOrDefault(BigDecimal changed, long defaultMillis) {
    return changed == null ? defaultMillis : Amount.toMillisExact(changed);
  }

  /** True if the change replaces the whole record, so that the current record may be malformed. */
  public boolean isComplete() {
    return cpus != null && cpusMax != null && gpus != null && gpusMax != null;
  }

  /** Describes the field whose guarantee exceeds its limit, if there is one. */
  public static Optional<String> findInconsistency(TeamQuota quota) {
    if (quota.isConsistent()) {
      return Optional.empty();
    }
    Amount guarantee = quota.guarantee();
    Amount limit = quota.limit();
    boolean cpusInconsistent = limit.cpuMillis() > 0 && guarantee.cpuMillis() > limit.cpuMillis();
    return Optional.of(
        cpusInconsistent
            ? "cpus is " + guarantee.cpus() + ", above cpus_max, which is " + limit.cpus()
            : "gpus is " + guarantee.gpus() + ", above gpus_max, which is " + limit.gpus());
  }
}
