package graderelay.quota;

import java.math.BigDecimal;
import java.util.Optional;

/**
 * What operators want changed of a team's guarantee and limit; what is null stays as it is.
 *
 * @param cpus guaranteed CPUs
 * @param cpusMax the limit of CPUs, 0 for none
 * @param gpus guaranteed GPUs
 * @param gpusMax the limit of GPUs, 0 for none
 */
public record LimitChange(
    BigDecimal cpus, BigDecimal cpusMax, BigDecimal gpus, BigDecimal gpusMax) {
  /** The quota with these changes. */
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

  /** True if nothing of the record before is left, so that it need not be readable. */
  public boolean isComplete() {
    return cpus != null && cpusMax != null && gpus != null && gpusMax != null;
  }

  /** The field that makes the quota contradict itself, with what is wrong, if there is one. */
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
