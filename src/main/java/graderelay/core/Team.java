package graderelay.core;

import graderelay.quota.Amount;
import graderelay.quota.TeamQuota;

/**
 * A team's guarantee and limit; 0 means that there is none.
 *
 * @param name the team's name
 * @param cpuGuarantee guaranteed CPUs
 * @param cpuLimit limit of CPUs
 * @param gpuGuarantee guaranteed GPUs
 * @param gpuLimit limit of GPUs
 */
public record Team(
    String name, double cpuGuarantee, double cpuLimit, double gpuGuarantee, double gpuLimit) {
  /** Creates a team from its stored quota. */
  public static Team of(String name, TeamQuota quota) {
    Amount guarantee = quota.guarantee();
    Amount limit = quota.limit();
    return new Team(name, guarantee.cpus(), limit.cpus(), guarantee.gpus(), limit.gpus());
  }

  /** The guarantee and limit in the form in which they are stored. */
  public TeamQuota quota() {
    return new TeamQuota(
        Amount.roundedDown(cpuGuarantee, gpuGuarantee), Amount.roundedDown(cpuLimit, gpuLimit));
  }
}
