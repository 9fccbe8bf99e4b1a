package graderelay.core;

import graderelay.quota.Amount;
import graderelay.quota.TeamQuota;

/**
 * A team's quota; 0 means none.
 *
 * @param cpus guaranteed CPUs
 * @param cpusMax the limit of CPUs
 * @param gpus guaranteed GPUs
 * @param gpusMax the limit of GPUs
 */
public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
  /** The team with a stored quota. */
  public static Team of(String name, TeamQuota quota) {
    Amount guarantee = quota.guarantee();
    Amount limit = quota.limit();
    return new Team(name, guarantee.cpus(), limit.cpus(), guarantee.gpus(), limit.gpus());
  }

  /** Its guarantee and limit as they are stored. */
  public TeamQuota quota() {
    return new TeamQuota(Amount.granted(cpus, gpus), Amount.granted(cpusMax, gpusMax));
  }
}
