package graderelay.core;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Room reserved in a placement round for tasks that can't be claimed yet, since a change of their
 * task batch record or of their team's account is in flight. Otherwise work of lower priority would
 * take the room and be preempted a moment later, repeatedly: on a full fleet, an array of a hundred
 * thousand small tasks was preempted half a million times.
 */
final class CommitReservations {
  private final ClusterState cluster;

  /**
   * CPUs that tasks of each priority will take as soon as the change that they wait for has
   * committed.
   */
  private final Map<Priority, Double> reserved = new EnumMap<>(Priority.class);

  /** Free CPUs of the usable machines, computed when first needed in a round; NaN before. */
  private double freeCpus;

  /** Number of the round's claims already subtracted from {@link #freeCpus}. */
  private int countedClaims;

  CommitReservations(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Reserves CPUs for a new round, for tasks of a higher priority than the lowest in the queue. */
  void reserve(List<QueueOrder.Entry> queue, double now) {
    reserved.clear();
    freeCpus = Double.NaN;
    Priority lowest = queue.get(queue.size() - 1).job.priority();
    for (QueueOrder.Entry entry : queue) {
      JobSpec spec = entry.job.spec;
      if (entry.job.priority().isHigherThan(lowest) && entry.job.notBefore <= now) {
        // Tasks that the team's limit does not allow need no room.
        double cpus =
            Math.min(
                tasksAwaitingCommit(cluster, entry.job) * spec.cpus(),
                cluster.quotas.cpusLeft(spec.team()));
        if (cpus > 0) {
          reserved.merge(entry.job.priority(), cpus, Double::sum);
        }
      }
    }
  }

  /** Number of open tasks of the job whose task batch record or team's account is being changed. */
  static int tasksAwaitingCommit(ClusterState cluster, Job job) {
    if (cluster.admission.isTemporarilyRefused(job.spec.team())) {
      return job.openTasks.cardinality();
    }
    int open = 0;
    for (Job.TaskBatch batch : job.taskBatches.values()) {
      open +=
          batch.inFlight
              ? job.openTasks
                  .get(batch.firstTask, batch.firstTask + batch.record.size())
                  .cardinality()
              : 0;
    }
    return open;
  }

  /**
   * Number of tasks of the job that fit beside what is reserved for work of higher priority.
   *
   * @param claims the claims of this round so far
   */
  int maxUnreservedTasks(Job job, List<Machine> usable, List<Claim> claims) {
    double reservedCpus = 0;
    for (var reservation : reserved.entrySet()) {
      reservedCpus +=
          reservation.getKey().isHigherThan(job.priority()) ? reservation.getValue() : 0;
    }
    if (reservedCpus == 0 || job.spec.cpus() <= 0) {
      return Integer.MAX_VALUE;
    }
    if (Double.isNaN(freeCpus)) {
      freeCpus = 0;
      cluster.examinedCount += usable.size();
      for (Machine machine : usable) {
        freeCpus += machine.freeCpus();
      }
      countedClaims = claims.size();
    }
    for (; countedClaims < claims.size(); countedClaims++) {
      freeCpus -= claims.get(countedClaims).resources().cpus();
    }
    return (int)
        Math.max(0, Math.min(Integer.MAX_VALUE, (freeCpus - reservedCpus) / job.spec.cpus()));
  }
}
