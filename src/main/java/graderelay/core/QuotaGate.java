package graderelay.core;

import graderelay.quota.AdmissionRefusal;
import java.util.HashMap;
import java.util.Map;

/**
 * Quota checks of a placement round: whether a team's limit allows one more task, and the wait
 * reason if it does not. For the first task of a starved job, room is reserved below the stored
 * limit.
 */
final class QuotaGate {
  private final ClusterState cluster;

  /** The starved job of each team for whose first task room is reserved below the team's limit. */
  private final Map<String, Job> reservedFor = new HashMap<>();

  QuotaGate(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Chooses the job of each team for which room is reserved; to be called once a round. A job with
   * tasks as large as its team's limit would never start beside a stream of small jobs, each of
   * which takes the room that the last one released.
   */
  void reserveForStarvedJobs(double now) {
    reservedFor.clear();
    if (!cluster.admission.isEnabled()) {
      return;
    }
    for (Job job : cluster.jobs.values()) {
      if (job.isWaiting()
          && QueueOrder.isStarved(job, now)
          && cluster.admission.limitAllows(job.spec.team(), job.taskAmount)) {
        reservedFor.merge(job.spec.team(), job, QuotaGate::firstInQueue);
      }
    }
  }

  /** The job that is first in the queue, by priority and then by age. */
  private static Job firstInQueue(Job one, Job other) {
    int byPriority = one.priority().compareTo(other.priority());
    boolean oneFirst = byPriority != 0 ? byPriority < 0 : one.eligibleSince <= other.eligibleSince;
    return oneFirst ? one : other;
  }

  /** True if the team's limit allows one more task of the job beside the reserved room. */
  boolean limitAllows(Job job) {
    Job starved = reservedFor.get(job.spec.team());
    boolean reservesRoom =
        starved != null && starved != job && !job.priority().isHigherThan(starved.priority());
    return cluster.quotas.withinLimit(
        job.spec.team(),
        reservesRoom ? job.taskResources.plus(starved.taskResources) : job.taskResources);
  }

  /** The wait reason of a job for which {@link #limitAllows} was false. */
  WaitReason limitWaitReason(Job job) {
    String team = job.spec.team();
    if (!cluster.admission.limitAllows(team, job.taskAmount)) {
      return new WaitReason(
          WaitReason.Cause.ADMISSION,
          "a task needs "
              + job.taskAmount
              + ", which the stored limits of team "
              + team
              + " forbid");
    }
    return new WaitReason(WaitReason.Cause.TEAM_LIMIT, "team " + team + " is at its limit");
  }

  /** True if no task of the job's team may be claimed at the moment; sets the job's wait reason. */
  boolean isAdmissionBlocked(Job job) {
    AdmissionRefusal refusal = cluster.admission.refusal(job.spec.team());
    if (refusal == null) {
      return false;
    }
    if (refusal.temporary()) {
      cluster.admission.requestSettling(job.spec.team());
    }
    job.waitReason = new WaitReason(WaitReason.Cause.ADMISSION, refusal.reason());
    return true;
  }
}
