package graderelay.core;

import graderelay.quota.AdmissionRefusal;
import java.util.HashMap;
import java.util.Map;

/**
 * The quota side of a placement round: whether a team's limit has room for one more task, with room
 * kept for the first task of the job that goes first below the stored limit, and why not.
 */
final class QuotaGate {
  private final ClusterState cluster;

  /** By team, the job for whose first task room is kept below the team's stored limit. */
  private final Map<String, Job> limitKept = new HashMap<>();

  QuotaGate(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Chooses, once a round, the job of each team for which room is kept. A job as large as its
   * team's limit would never begin beside a stream of small ones, each of which takes what the last
   * one gave back.
   */
  void keepLimits(double now) {
    limitKept.clear();
    if (!cluster.admission.enabled()) {
      return;
    }
    for (Job j : cluster.jobs.values()) {
      if (j.waiting()
          && QueueOrder.waitingWins(j, now)
          && cluster.admission.allows(j.spec.team(), j.amount)) {
        limitKept.merge(j.spec.team(), j, QuotaGate::goesBefore);
      }
    }
  }

  private static Job goesBefore(Job a, Job b) {
    int order = a.priority().compareTo(b.priority());
    boolean first = order != 0 ? order < 0 : a.submittedAt <= b.submittedAt;
    return first ? a : b;
  }

  /** True if the team's limit has room for one more task beside what is kept below it. */
  boolean limitAllows(Job j) {
    Job kept = limitKept.get(j.spec.team());
    boolean keeps = kept != null && kept != j && !j.priority().beats(kept.priority());
    return cluster.withinLimit(j.spec.team(), keeps ? j.need.plus(kept.need) : j.need);
  }

  /** The wait reason for a job that {@link #limitAllows} refused. */
  String limitReason(Job j) {
    String team = j.spec.team();
    if (!cluster.admission.allows(team, j.amount)) {
      return "a task needs " + j.amount + ", which the stored limits of team " + team + " forbid";
    }
    return "team " + team + " is at its limit";
  }

  /** True if nothing of the job's team may be claimed at the moment; sets its wait reason. */
  boolean obstructed(Job j) {
    AdmissionRefusal refusal = cluster.admission.refusal(j.spec.team());
    if (refusal == null) {
      return false;
    }
    if (refusal.temporary()) {
      cluster.admission.wantSettled(j.spec.team());
    }
    j.waitReason = refusal.reason();
    return true;
  }
}
