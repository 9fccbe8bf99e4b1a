package graderelay.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What deadlines ask of the fleet: how many CPUs the arrays need to be in time (work by deadline,
 * summed up, over the time that is left), which jobs may wait for spot machines, and which are
 * deferrable.
 */
final class Deadlines {
  /** Seconds before a deadline at which work should be done: fetches, heartbeats and the poll. */
  static final double DEADLINE_MARGIN_S = 8;

  /** Times its expected run time before its deadline from which a job preempts others' work. */
  private static final double DEFERRABLE_RUNS = 1.5;

  /** Share of the fleet's CPUs that tasks of uneven size can fill. */
  private static final double PACKING = 0.85;

  /**
   * Times the slowest nominal boot beyond which a start objective leaves time to scale out for it
   * when it presses: some machines take several times as long.
   */
  private static final double SPOT_WAIT_BOOTS = 3;

  /**
   * Times the work that jobs of a class with objectives are counted as: bursts come while machines
   * boot, and a late start costs more than a machine that stands idle for a minute.
   */
  private static final double OBJECTIVE_WORK_FACTOR = 1.5;

  /** Seconds in which all work should be done at the latest when no deadline presses. */
  private static final double RELAXED_RUN_S = 60;

  /**
   * Share of its expected run time that a running task counts as having left at least, also once it
   * has overrun that time.
   */
  private static final double LEAST_REMAINING_SHARE = 0.25;

  /**
   * Work with the time by which it should be done.
   *
   * @param at seconds on the leader's clock
   * @param work CPU seconds
   * @param estimate expected run time of one task, in seconds
   */
  private record DueWork(double at, double work, double estimate) {}

  private final ClusterState cluster;
  private final RunTimeEstimates estimates;

  Deadlines(ClusterState cluster, RunTimeEstimates estimates) {
    this.cluster = cluster;
    this.estimates = estimates;
  }

  /**
   * True if the job may wait for spot machines as long as its deadline is kept. A start objective
   * is no reason against it if a scale out can bring machines up well within that.
   */
  boolean mayWaitForSpot(Job job) {
    return mayWaitForSpot(job.spec, job.hasDue());
  }

  /** As for a job of this spec that has a due time only if it has a deadline of its own. */
  boolean mayWaitForSpot(JobSpec spec) {
    return mayWaitForSpot(spec, spec.deadlineS() != null);
  }

  private boolean mayWaitForSpot(JobSpec spec, boolean due) {
    if (spec.isService() || !spec.spot() || !due) {
      return false;
    }
    Double startObjectiveS = cluster.policy.startObjectivesS().get(spec.jobClass());
    return startObjectiveS == null
        || startObjectiveS > SPOT_WAIT_BOOTS * BootTimes.slowestNominalBootS(cluster);
  }

  /** True if more than deadlines is wanted of the class: a first start, or an end, by a time. */
  private boolean hasObjective(JobSpec spec) {
    return cluster.policy.startObjectivesS().containsKey(spec.jobClass())
        || cluster.policy.completionObjectivesS().containsKey(spec.jobClass());
  }

  /**
   * Jobs that may wait for room to come free instead of preempting others' work for it: they have a
   * deadline, time is left for their tasks to run one and a half times, and their class has no
   * objectives.
   */
  Set<Job> deferrable(double now) {
    Set<Job> jobs = new HashSet<>();
    for (Job job : cluster.jobs.values()) {
      if (!job.waiting() || job.spec.isService() || !job.hasDue() || hasObjective(job.spec)) {
        continue;
      }
      double latestEnd = job.dueAt() - DEADLINE_MARGIN_S;
      if (now + estimates.estimateRunTimeS(job.spec) * DEFERRABLE_RUNS < latestEnd
          && !QueueOrder.starved(job, now)) {
        jobs.add(job);
      }
    }
    return jobs;
  }

  /**
   * CPUs with which all work that may wait for spot machines would be in time. A job that can't be
   * in time any more adds its work but does not press.
   *
   * @param yielding jobs that yield to teammates: their deadlines don't count
   */
  double neededCpus(Set<Job> yielding, double now) {
    double runningCpus = 0;
    double totalWork = 0;
    List<DueWork> pressing = new ArrayList<>();
    Map<String, List<DueWork>> pressingByTeam = new HashMap<>();
    for (Job job : cluster.jobs.values()) {
      if (!mayWaitForSpot(job) || job.cancelRequested || job.suspect || job.awaitsDependencies()) {
        continue;
      }
      JobSpec spec = job.spec;
      DueWork due = dueWork(job, now);
      totalWork += due.work();
      runningCpus += job.claims.size() * spec.cpus();
      if (hasObjective(spec) || !yielding.contains(job)) {
        pressing.add(due);
        pressingByTeam.computeIfAbsent(spec.team(), t -> new ArrayList<>()).add(due);
      }
    }
    double withinLimits = cpusWithinTeamLimits(pressingByTeam, now);
    double needed = Math.min(cpusToMeet(pressing, now), withinLimits);
    return Math.max(needed, Math.min(runningCpus, totalWork / RELAXED_RUN_S)) / PACKING;
  }

  private DueWork dueWork(Job job, double now) {
    double estimate = estimates.estimateRunTimeS(job.spec);
    double work = remainingWork(job, estimate, now);
    if (hasObjective(job.spec)) {
      work *= OBJECTIVE_WORK_FACTOR; // It has more than its deadline to meet.
    }
    return new DueWork(dueAt(job, estimate, now), work, estimate);
  }

  /**
   * By when the job's work should be done. Of a class with objectives that is the next of them that
   * can still be met, and when none can, soon: an overdue job is to run as well, and must not wait
   * on a fleet that is made smaller since nothing presses.
   */
  private double dueAt(Job job, double estimate, double now) {
    double deadline = job.dueAt();
    if (!hasObjective(job.spec)) {
      return deadline;
    }
    String jobClass = job.spec.jobClass();
    Double startS = cluster.policy.startObjectivesS().get(jobClass);
    Double completionS = cluster.policy.completionObjectivesS().get(jobClass);
    double[] wantedEnds = {
      startS == null || job.openTasks.isEmpty() ? deadline : job.eligibleSince + startS + estimate,
      completionS == null ? deadline : job.eligibleSince + completionS,
      deadline
    };
    double next = Double.MAX_VALUE;
    for (double end : wantedEnds) {
      if (end - now - DEADLINE_MARGIN_S > estimate) {
        next = Math.min(next, end);
      }
    }
    double soon = now + RELAXED_RUN_S + DEADLINE_MARGIN_S + estimate * 0.5;
    return next == Double.MAX_VALUE ? soon : next;
  }

  /** The teams' needs summed up, each no more than its limit: more would stand idle. */
  private double cpusWithinTeamLimits(Map<String, List<DueWork>> byTeam, double now) {
    double sum = 0;
    for (var teamWork : byTeam.entrySet()) {
      double needed = cpusToMeet(teamWork.getValue(), now);
      sum += Math.min(needed, limitLeftForArrays(teamWork.getKey()));
    }
    return sum;
  }

  /** CPUs with which the work of each deadline and all before it is done in time. */
  private static double cpusToMeet(List<DueWork> dueWork, double now) {
    dueWork.sort(Comparator.comparingDouble(DueWork::at));
    double work = 0;
    double needed = 0;
    for (DueWork due : dueWork) {
      work += due.work();
      // The last wave of tasks has to start this long before the deadline.
      double slack = due.at() - now - due.estimate() * 0.5 - DEADLINE_MARGIN_S;
      if (slack > due.estimate() * 0.5) {
        needed = Math.max(needed, work / slack);
      }
    }
    return needed;
  }

  /** CPUs that a team's limit leaves beside its services; without a limit, any number. */
  double limitLeftForArrays(String teamName) {
    Team team = cluster.policy.team(teamName);
    if (team == null || team.cpusMax() <= 0) {
      return Double.MAX_VALUE;
    }
    double left = team.cpusMax();
    for (Job job : cluster.jobs.values()) {
      if (job.spec.isService() && job.spec.team().equals(teamName)) {
        left -= job.claims.size() * job.spec.cpus();
      }
    }
    return left;
  }

  /**
   * The work of the job that is not done yet, in CPU seconds.
   *
   * @param estimate expected run time of one task, in seconds
   */
  static double remainingWork(Job job, double estimate, double now) {
    double work = job.openTasks.cardinality() * estimate * job.spec.cpus();
    for (Claim claim : job.claims.values()) {
      double ran = claim.runningSince > 0 ? now - claim.runningSince : 0;
      work += Math.max(estimate - ran, estimate * LEAST_REMAINING_SHARE) * job.spec.cpus();
    }
    return work;
  }
}
