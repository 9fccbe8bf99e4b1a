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
 * Which jobs yield to others of their team, so that as few as possible are late: where a team's
 * limit or the fleet can't do everything in time, running by deadline alone makes one job late
 * after the other. By deadline, whenever the sum is too long, the longest yields.
 */
final class TeammateYielding {
  /** Spans from acceptance to due time by which a job may be late before it stops yielding. */
  private static final double OVERDUE_SPANS = 2;

  /**
   * What one job with a deadline still has to do.
   *
   * @param due seconds on the leader's clock at which it should be done
   * @param work CPU seconds
   * @param estimate expected run time of one task, in seconds
   */
  private record RemainingJob(Job job, double due, double work, double estimate) {}

  private final ClusterState cluster;
  private final Deadlines deadlines;
  private final RunTimeEstimates estimates;

  TeammateYielding(ClusterState cluster, Deadlines deadlines, RunTimeEstimates estimates) {
    this.cluster = cluster;
    this.deadlines = deadlines;
    this.estimates = estimates;
  }

  /**
   * The jobs that yield on a fleet with so many CPUs for arrays; a team has at most those and what
   * its limit leaves.
   */
  Set<Job> yielding(double fleetCpus, double now) {
    Set<Job> yielding = new HashSet<>();
    for (var teamJobs : remainingByTeam(now).entrySet()) {
      double teamCpus = Math.min(fleetCpus, deadlines.limitLeftForArrays(teamJobs.getKey()));
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
        byTeam.computeIfAbsent(job.spec.team(), t -> new ArrayList<>()).add(remaining(job, now));
      }
    }
    return byTeam;
  }

  private static boolean mayYield(Job job) {
    return !job.spec.isService()
        && job.hasDue()
        && !job.cancelRequested
        && !job.suspect
        && !job.complete()
        && !job.awaitsDependencies();
  }

  private RemainingJob remaining(Job job, double now) {
    double estimate = estimates.estimateRunTimeS(job.spec);
    double due = job.dueAt() - Deadlines.DEADLINE_MARGIN_S;
    return new RemainingJob(job, due, Deadlines.remainingWork(job, estimate, now), estimate);
  }

  /** Adds the jobs of one team that yield while it has so many CPUs. */
  private static void addYielding(
      List<RemainingJob> jobs, double cpus, double now, Set<Job> yielding) {
    jobs.sort(Comparator.comparingDouble(RemainingJob::due));
    PriorityQueue<RemainingJob> taken =
        new PriorityQueue<>(Comparator.comparingDouble((RemainingJob r) -> -r.work()));
    double work = 0;
    for (RemainingJob next : jobs) {
      if (yieldedLongEnough(next, now)) {
        continue; // It goes first now.
      }
      taken.add(next);
      work += next.work();
      while (!taken.isEmpty() && now + work / cpus + next.estimate() * 0.5 > next.due()) {
        RemainingJob longest = taken.poll();
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
    return now > remaining.due() + OVERDUE_SPANS * span;
  }
}
