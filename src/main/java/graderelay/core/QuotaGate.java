package graderelay.core;

import graderelay.quota.AdmissionRefusal;
import java.util.HashMap;
import java.util.Map;

/**
 * The quota side of a placement round: whether a team's limit has room for one more task, with room
 * reserved for the first task of a starved job below the stored limit, and why not.
 */
final class QuotaGate {
  private final ClusterState cluster;

  /** By team, the starved job for whose first task room is reserved below the team's limit. */
  private final Map<String, Job> reservedFor = new HashMap<>();

  QuotaGate(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Chooses, once a round, the job of each team for which room is reserved. A job as large as its
   * team's limit would never begin beside a stream of small ones, each of which takes what the last
   * one released.
   */
  void reserveForStarvedJobs(double now) {
    reservedFor.clear();
    if (!cluster.admission.enabled()) {
      return;
    }
    for (Job job : cluster.jobs.values()) {
      if (job.waiting()
          && QueueOrder.starved(job, now)
          && cluster.admission.allows(job.spec.team(), job.taskAmount)) {
        reservedFor.merge(job.spec.team(), job, QuotaGate::goesBefore);
      }
    }
  }

  /** The one of two jobs that the queue puts first: by priority, then by age. */
  private static Job goesBefore(Job one, Job other) {
    int byPriority = one.priority().compareTo(other.priority());
    boolean oneFirst = byPriority != 0 ? byPriority < 0 : one.eligibleSince <= other.eligibleSince;
    return oneFirst ? one : other;
  }

  /** True if the team's limit has room for one more task beside what is reserved. */
  boolean limitAllows(Job job) {
    Job starved = reservedFor.get(job.spec.team());
    boolean reserves =
        starved != null && starved != job && !job.priority().beats(starved.priority());
    return cluster.quotas.withinLimit(
        job.spec.team(),
        reserves ? job.taskResources.plus(starved.taskResources) : job.taskResources);
  }

  /** The wait reason for a job that {@link #limitAllows} refused. */
  String limitReason(Job job) {
    String team = job.spec.team();
    if (!cluster.admission.allows(team, job.taskAmount)) {
      return "a task needs "
          + job.taskAmount
          + ", which the stored limits of team "
          + team
          + " forbid";
    }
    return "team " + team + " is at its limit";
  }

  /** True if nothing of the job's team may be claimed at the moment; sets its wait reason. */
  boolean obstructed(Job job) {
    AdmissionRefusal refusal = cluster.admission.refusal(job.spec.team());
    if (refusal == null) {
      return false;
    }
    if (refusal.temporary()) {
      cluster.admission.wantSettled(job.spec.team());
    }
    job.waitReason = refusal.reason();
    return true;
  }
}
