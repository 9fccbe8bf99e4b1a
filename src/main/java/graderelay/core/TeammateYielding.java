package graderelay.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Chooses the jobs that yield to other jobs of their team, so that as few jobs as possible are
 * late. Where a team's limit or the fleet can't complete all work in time, running it by deadline
 * alone makes one job late after the other. Jobs are therefore added by deadline, and whenever
 * their total work takes too long, the one with the most work yields, as in the Moore-Hodgson
 * algorithm.
 */
final class TeammateYielding {
  /**
   * A job stops yielding once it is late by this many times the time from its acceptance to its due
   * time.
   */
  private static final double YIELDING_END_FACTOR = 2;

  /**
   * Remaining work of one job with a deadline.
   *
   * @param job the job
   * @param dueAt when it should be done, in seconds on the leader's clock
   * @param work CPU seconds
   * @param estimateS expected run time of one task, in seconds
   */
  private record RemainingJob(Job job, double dueAt, double work, double estimateS) {}

  private final ClusterState cluster;
  private final Deadlines deadlines;
  private final RunTimeEstimates estimates;

  TeammateYielding(ClusterState cluster, Deadlines deadlines, RunTimeEstimates estimates) {
    this.cluster = cluster;
    this.deadlines = deadlines;
    this.estimates = estimates;
  }

  /**
   * The jobs that yield on a fleet with this many CPUs for arrays. A team gets at most those, and
   * at most what its limit leaves for arrays.
   */
  Set<Job> yieldingJobs(double fleetCpus, double now) {
    Set<Job> yielding = new HashSet<>();
    for (var teamJobs : remainingByTeam(now).entrySet()) {
      double teamCpus = Math.min(fleetCpus, deadlines.limitCpusLeftForArrays(teamJobs.getKey()));
      if (teamCpus > 0) {
        addYielding(teamJobs.getValue(), teamCpus, now, yielding);
      }
    }
    return yielding;
  }

  private Map<String, List<RemainingJob>> remainingByTeam(double now) {
    Map<String, List<RemainingJob>> byTeam = new HashMap<>();
    for (Job job : cluster.jobs.values()) {
      if (mayYield(job)) {
        byTeam.computeIfAbsent(job.spec.team(), t -> new ArrayList<>()).add(remainingJob(job, now));
      }
    }
    return byTeam;
  }

  private static boolean mayYield(Job job) {
    return !job.spec.isService()
        && job.hasDueTime()
        && !job.cancelRequested
        && !job.suspect
        && !job.isComplete()
        && !job.awaitsDependencies();
  }

  private RemainingJob remainingJob(Job job, double now) {
    double estimateS = estimates.estimateRunTimeS(job.spec);
    double dueAt = job.dueAt() - Deadlines.DEADLINE_MARGIN_S;
    return new RemainingJob(job, dueAt, Deadlines.remainingWork(job, estimateS, now), estimateS);
  }

  /** Adds the jobs of one team that yield if it has this many CPUs. */
  private static void addYielding(
      List<RemainingJob> jobs, double cpus, double now, Set<Job> yielding) {
    jobs.sort(Comparator.comparingDouble(RemainingJob::dueAt));
    PriorityQueue<RemainingJob> selected =
        new PriorityQueue<>(Comparator.comparingDouble((RemainingJob r) -> -r.work()));
    double work = 0;
    for (RemainingJob next : jobs) {
      if (yieldedLongEnough(next, now)) {
        continue; // It yields no longer.
      }
      selected.add(next);
      work += next.work();
      while (!selected.isEmpty() && now + work / cpus + next.estimateS() * 0.5 > next.dueAt()) {
        RemainingJob longest = selected.poll();
        work -= longest.work();
        yielding.add(longest.job());
        if (longest == next) {
          break;
        }
      }
    }
  }

  private static boolean yieldedLongEnough(RemainingJob remaining, double now) {
    double span = remaining.job().dueAt() - remaining.job().acceptedAt;
    return now > remaining.dueAt() + YIELDING_END_FACTOR * span;
  }
}
