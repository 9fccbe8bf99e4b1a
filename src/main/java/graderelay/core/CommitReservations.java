package graderelay.core;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Room kept in a placement round for tasks that can't be claimed yet, since a change of their task
 * batch record, or of their team's account, is on its way. Lower work would take it meanwhile and
 * be preempted for them a moment later, and again: on a full fleet an array of a hundred thousand
 * small tasks was preempted half a million times.
 */
final class CommitReservations {
  private final ClusterState cluster;

  /** CPUs that tasks of each priority will take as soon as a change of theirs has committed. */
  private final Map<Priority, Double> reserved = new EnumMap<>(Priority.class);

  /** CPUs that usable machines had free when this round began, once somebody has asked. */
  private double freeCpus;

  /** Claims of the round already taken off {@link #freeCpus}. */
  private int countedClaims;

  CommitReservations(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Reserves, for a new round, the CPUs of what waits above the lowest priority in the queue. */
  void reserve(List<QueueOrder.Entry> waiting, double now) {
    reserved.clear();
    freeCpus = Double.NaN;
    Priority lowest = waiting.get(waiting.size() - 1).job.priority();
    for (QueueOrder.Entry k : waiting) {
      JobSpec s = k.job.spec;
      if (k.job.priority().beats(lowest) && k.job.notBefore <= now) {
        // Not for what its team's limit keeps from running in any case.
        double cpus = Math.min(blocked(cluster, k.job) * s.cpus(), cluster.cpusLeft(s.team()));
        if (cpus > 0) {
          reserved.merge(k.job.priority(), cpus, Double::sum);
        }
      }
    }
  }

  /** Open tasks of the job whose record, or team's account, is being changed. */
  static int blocked(ClusterState cluster, Job j) {
    if (cluster.admission.isTemporarilyRefused(j.spec.team())) {
      return j.open.cardinality();
    }
    int n = 0;
    for (Job.TaskBatch s : j.taskBatches.values()) {
      n += s.inFlight ? j.open.get(s.base, s.base + s.record.size()).cardinality() : 0;
    }
    return n;
  }

  /**
   * How many tasks of the job fit beside what is kept for work above it.
   *
   * @param claims the claims of this round so far
   */
  int unreserved(Job j, List<Machine> usable, List<Claim> claims) {
    double kept = 0;
    for (var e : reserved.entrySet()) {
      kept += e.getKey().beats(j.priority()) ? e.getValue() : 0;
    }
    if (kept == 0 || j.spec.cpus() <= 0) {
      return Integer.MAX_VALUE;
    }
    if (Double.isNaN(freeCpus)) {
      freeCpus = 0;
      cluster.looked += usable.size();
      for (Machine m : usable) {
        freeCpus += m.room.cpus() - m.used.cpus();
      }
      countedClaims = claims.size();
    }
    for (; countedClaims < claims.size(); countedClaims++) {
      freeCpus -= claims.get(countedClaims).room().cpus();
    }
    return (int) Math.max(0, Math.min(Integer.MAX_VALUE, (freeCpus - kept) / j.spec.cpus()));
  }
}
