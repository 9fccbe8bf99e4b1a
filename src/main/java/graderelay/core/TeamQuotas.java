package graderelay.core;

import java.util.HashMap;
import java.util.Map;

/**
 * What the claims of each team take together, and how that stands to the team's guarantee and
 * limit. Claims are counted, not heartbeats, so that a task counts from before its launch until its
 * end is proven.
 */
final class TeamQuotas {
  private final ClusterState cluster;
  private final Map<String, Resources> used = new HashMap<>();

  TeamQuotas(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Counts a claim's resources for its team. */
  void allocate(String team, Resources resources) {
    used.merge(team, resources, Resources::plus);
  }

  /** Takes a claim's resources out of its team's sum. */
  void release(String team, Resources resources) {
    used.merge(team, Resources.NONE.minus(resources), Resources::plus);
  }

  /** What the team's claims take. */
  Resources usage(String team) {
    return used.getOrDefault(team, Resources.NONE);
  }

  /** A copy of what the claims of every team take. */
  Map<String, Resources> usageByTeam() {
    return Map.copyOf(used);
  }

  /** True if one more task of this size keeps the team within its limit. */
  boolean withinLimit(String team, Resources extra) {
    // Asked for each task that is placed: without stored limits it costs nothing.
    if (cluster.admission.enabled() && !cluster.admission.fits(team, extra.amount())) {
      return false;
    }
    Team quota = cluster.policy.team(team);
    if (quota == null) {
      return true;
    }
    Resources then = usage(team).plus(extra);
    return (quota.cpusMax() <= 0 || then.cpus() <= quota.cpusMax() + Resources.SLACK)
        && (quota.gpusMax() <= 0 || then.gpus() <= quota.gpusMax() + Resources.SLACK);
  }

  /** CPUs that the team's limit leaves beside its claims; without a limit, any number. */
  double cpusLeft(String team) {
    if (cluster.admission.isStopped(team)) {
      return 0;
    }
    Team quota = cluster.policy.team(team);
    return quota == null || quota.cpusMax() <= 0
        ? Double.MAX_VALUE
        : quota.cpusMax() - usage(team).cpus();
  }

  /** True if this much more work of the team stays within its guarantee. */
  boolean withinGuarantee(String team, Resources extra) {
    Team quota = cluster.policy.team(team);
    if (quota == null || (quota.cpus() <= 0 && quota.gpus() <= 0)) {
      return false;
    }
    Resources then = usage(team).plus(extra);
    return then.cpus() <= quota.cpus() + Resources.SLACK
        && then.gpus() <= quota.gpus() + Resources.SLACK;
  }

  /** True if the team would still use at least its guarantee without this part of its claims. */
  boolean beyondGuarantee(String team, Resources part) {
    Team quota = cluster.policy.team(team);
    if (quota == null) {
      return true;
    }
    Resources then = usage(team).minus(part);
    return then.cpus() + Resources.SLACK >= quota.cpus()
        && then.gpus() + Resources.SLACK >= quota.gpus();
  }
}
