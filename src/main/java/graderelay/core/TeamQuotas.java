package graderelay.core;

import java.util.HashMap;
import java.util.Map;

/**
 * Resource usage of each team, compared with its guarantee and limit. Usage counts claims and not
 * the tasks that heartbeats show, so a task counts from before its launch until its end is proven.
 */
final class TeamQuotas {
  private final ClusterState cluster;
  private final Map<String, Resources> usageByTeam = new HashMap<>();

  TeamQuotas(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Adds a claim's resources to its team's usage. */
  void allocate(String team, Resources resources) {
    usageByTeam.merge(team, resources, Resources::plus);
  }

  /** Subtracts a claim's resources from its team's usage. */
  void release(String team, Resources resources) {
    usageByTeam.merge(team, Resources.NONE.minus(resources), Resources::plus);
  }

  /** The resources that the team's claims take. */
  Resources usage(String team) {
    return usageByTeam.getOrDefault(team, Resources.NONE);
  }

  /** A copy of the usage of every team. */
  Map<String, Resources> usageByTeam() {
    return Map.copyOf(usageByTeam);
  }

  /** True if the team stays within its limit with these additional resources. */
  boolean withinLimit(String team, Resources extra) {
    // Called for each task that is placed, so the stored limits are skipped if there are none.
    if (cluster.admission.isEnabled() && !cluster.admission.fitsLimit(team, extra.amount())) {
      return false;
    }
    Team quota = cluster.policy.team(team);
    if (quota == null) {
      return true;
    }
    Resources total = usage(team).plus(extra);
    return (quota.cpuLimit() <= 0
            || total.cpus() <= quota.cpuLimit() + Resources.ROUNDING_TOLERANCE)
        && (quota.gpuLimit() <= 0
            || total.gpus() <= quota.gpuLimit() + Resources.ROUNDING_TOLERANCE);
  }

  /**
   * CPUs that the team may still claim below its limit; {@code Double.MAX_VALUE} without a limit.
   */
  double cpusLeft(String team) {
    if (cluster.admission.isStopped(team)) {
      return 0;
    }
    Team quota = cluster.policy.team(team);
    return quota == null || quota.cpuLimit() <= 0
        ? Double.MAX_VALUE
        : quota.cpuLimit() - usage(team).cpus();
  }

  /** True if the team stays within its guarantee with these additional resources. */
  boolean withinGuarantee(String team, Resources extra) {
    Team quota = cluster.policy.team(team);
    if (quota == null || (quota.cpuGuarantee() <= 0 && quota.gpuGuarantee() <= 0)) {
      return false;
    }
    Resources total = usage(team).plus(extra);
    return total.cpus() <= quota.cpuGuarantee() + Resources.ROUNDING_TOLERANCE
        && total.gpus() <= quota.gpuGuarantee() + Resources.ROUNDING_TOLERANCE;
  }

  /** True if the team would still use at least its guarantee after losing these resources. */
  boolean beyondGuarantee(String team, Resources lost) {
    Team quota = cluster.policy.team(team);
    if (quota == null) {
      return true;
    }
    Resources remaining = usage(team).minus(lost);
    return remaining.cpus() + Resources.ROUNDING_TOLERANCE >= quota.cpuGuarantee()
        && remaining.gpus() + Resources.ROUNDING_TOLERANCE >= quota.gpuGuarantee();
  }
}
