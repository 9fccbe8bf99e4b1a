package graderelay.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Computes what the fleet needs to meet deadlines: the CPUs with which all arrays are done in time
 * (their work summed up by deadline, over the time that is left), which jobs may wait for spot
 * machines, and which jobs are deferrable.
 */
final class Deadlines {
  /**
   * Time before a deadline at which work should be done, which leaves room for image fetches,
   * heartbeats and polling.
   */
  static final double DEADLINE_MARGIN_S = 8;

  /**
   * A job may preempt beyond its guarantee once less than this many times its expected run time is
   * left before its deadline.
   */
  private static final double DEFERRABLE_RUN_TIMES = 1.5;

  /** Share of the fleet's CPUs that tasks of different sizes can fill. */
  private static final double PACKING_EFFICIENCY = 0.85;

  /**
   * A job may wait for spot machines only if its start objective is longer than this many times the
   * slowest nominal boot time, since some machines take several times as long to boot.
   */
  private static final double SPOT_WAIT_BOOT_TIMES = 3;

  /**
   * Factor on the work of jobs whose class has objectives: bursts arrive while machines boot, and a
   * late start costs more than a machine that is idle for a minute.
   */
  private static final double OBJECTIVE_WORK_FACTOR = 1.5;

  /** Time within which all work should be done if no deadline requires more CPUs. */
  private static final double RELAXED_COMPLETION_S = 60;

  /**
   * Minimum share of its expected run time that a running task is assumed to have left, even after
   * it has overrun that time.
   */
  private static final double MIN_REMAINING_SHARE = 0.25;

  /**
   * Work and the time by which it should be done.
   *
   * @param dueAt seconds on the leader's clock
   * @param work CPU seconds
   * @param estimateS expected run time of one task, in seconds
   */
  private record DueWork(double dueAt, double work, double estimateS) {}

  private final ClusterState cluster;
  private final RunTimeEstimates estimates;

  Deadlines(ClusterState cluster, RunTimeEstimates estimates) {
    this.cluster = cluster;
    this.estimates = estimates;
  }

  /**
   * True if the job may wait for spot machines as long as its deadline is met. A start objective
   * allows that if machines can be scaled out well within it.
   */
  boolean mayWaitForSpot(Job job) {
    return mayWaitForSpot(job.spec, job.hasDueTime());
  }

  /**
   * The same for a job of this spec without dependents, which has a due time only if the spec has a
   * deadline.
   */
  boolean mayWaitForSpot(JobSpec spec) {
    return mayWaitForSpot(spec, spec.deadlineS() != null);
  }

  private boolean mayWaitForSpot(JobSpec spec, boolean hasDueTime) {
    if (spec.isService() || !spec.spot() || !hasDueTime) {
      return false;
    }
    Double startObjectiveS = cluster.policy.startObjectivesS().get(spec.jobClass());
    return startObjectiveS == null
        || startObjectiveS > SPOT_WAIT_BOOT_TIMES * BootTimes.slowestNominalBootS(cluster);
  }

  /** True if the job's class has a start or completion objective. */
  private boolean hasObjective(JobSpec spec) {
    return cluster.policy.startObjectivesS().containsKey(spec.jobClass())
        || cluster.policy.completionObjectivesS().containsKey(spec.jobClass());
  }

  /**
   * Jobs that may wait for room to be freed instead of preempting work beyond their guarantee: they
   * have a deadline, time is left to run their tasks one and a half times, and their class has no
   * objectives.
   */
  Set<Job> deferrableJobs(double now) {
    Set<Job> jobs = new HashSet<>();
    for (Job job : cluster.jobs.values()) {
      if (!job.isWaiting() || job.spec.isService() || !job.hasDueTime() || hasObjective(job.spec)) {
        continue;
      }
      double latestEnd = job.dueAt() - DEADLINE_MARGIN_S;
      if (now + estimates.estimateRunTimeS(job.spec) * DEFERRABLE_RUN_TIMES < latestEnd
          && !QueueOrder.isStarved(job, now)) {
        jobs.add(job);
      }
    }
    return jobs;
  }

  /**
   * CPUs with which all work that may wait for spot machines would be in time. The work of a job
   * that can't be in time any more is due soon: it still has to run, and must not wait for spot
   * machines that may never be available again.
   *
   * @param lateUnderTeamLimits jobs that will be late because of their team's limit
   */
  double neededCpus(Set<Job> lateUnderTeamLimits, double now) {
    double runningCpus = 0;
    double totalWork = 0;
    List<DueWork> allWork = new ArrayList<>();
    Map<String, List<DueWork>> workByTeam = new HashMap<>();
    for (Job job : cluster.jobs.values()) {
      if (!mayWaitForSpot(job) || job.cancelRequested || job.suspect || job.awaitsDependencies()) {
        continue;
      }
      JobSpec spec = job.spec;
      DueWork due = dueWork(job, lateUnderTeamLimits.contains(job), now);
      totalWork += due.work();
      runningCpus += job.claims.size() * spec.cpus();
      allWork.add(due);
      workByTeam.computeIfAbsent(spec.team(), t -> new ArrayList<>()).add(due);
    }
    double withinLimits = cpusWithinTeamLimits(workByTeam, now);
    double needed = Math.min(cpusToMeet(allWork, now), withinLimits);
    return Math.max(needed, Math.min(runningCpus, totalWork / RELAXED_COMPLETION_S))
        / PACKING_EFFICIENCY;
  }

  /**
   * CPUs of arrays that can't wait for spot machines and will not end soon, so that no work with a
   * deadline takes its turn there.
   */
  double cpusHeldByOtherArrays(double now) {
    double cpus = 0;
    for (Job job : cluster.jobs.values()) {
      if (job.spec.isService() || job.claims.isEmpty() || mayWaitForSpot(job)) {
        continue;
      }
      double estimateS = estimates.estimateRunTimeS(job.spec);
      for (Claim claim : job.claims.values()) {
        boolean endsSoon = remainingRunTimeS(claim, estimateS, now) <= RELAXED_COMPLETION_S;
        cpus += endsSoon ? 0 : job.spec.cpus();
      }
    }
    return cpus;
  }

  private DueWork dueWork(Job job, boolean lateUnderTeamLimit, double now) {
    double estimate = estimates.estimateRunTimeS(job.spec);
    double work = remainingWork(job, estimate, now);
    if (hasObjective(job.spec)) {
      work *= OBJECTIVE_WORK_FACTOR; // It has objectives to meet besides its deadline.
    }
    return new DueWork(dueAt(job, estimate, lateUnderTeamLimit, now), work, estimate);
  }

  /**
   * The time by which the job's work should be done: the next objective or deadline that can still
   * be met, or if there is none, a time soon from now. A deadline that the team's limit rules out
   * does not bring that time forward.
   */
  private double dueAt(Job job, double estimate, boolean lateUnderTeamLimit, double now) {
    double soon =
        now + DEADLINE_MARGIN_S + estimate * 0.5 + Math.max(RELAXED_COMPLETION_S, estimate);
    if (!hasObjective(job.spec)) {
      if (lateUnderTeamLimit) {
        return Math.max(soon, job.dueAt());
      }
      return canBeDoneBy(job.dueAt(), estimate, now) ? job.dueAt() : soon;
    }
    double next = nextTarget(job, estimate, now);
    return next < Double.POSITIVE_INFINITY ? next : soon;
  }

  /** The next objective or deadline of the job that can still be met; infinite without one. */
  private double nextTarget(Job job, double estimate, double now) {
    String jobClass = job.spec.jobClass();
    Double startS = cluster.policy.startObjectivesS().get(jobClass);
    Double completionS = cluster.policy.completionObjectivesS().get(jobClass);
    double deadline = job.dueAt();
    double[] targetEnds = {
      startS == null || job.openTasks.isEmpty() ? deadline : job.eligibleSince + startS + estimate,
      completionS == null ? deadline : job.eligibleSince + completionS,
      deadline
    };
    double next = Double.POSITIVE_INFINITY;
    for (double end : targetEnds) {
      if (canBeDoneBy(end, estimate, now)) {
        next = Math.min(next, end);
      }
    }
    return next;
  }

  /** True if a task that starts now would be done by that time, with a margin. */
  private static boolean canBeDoneBy(double end, double estimate, double now) {
    return end - now - DEADLINE_MARGIN_S > estimate;
  }

  /**
   * The sum of the CPUs that the teams need, each up to its limit, since CPUs beyond it would be
   * idle.
   */
  private double cpusWithinTeamLimits(Map<String, List<DueWork>> byTeam, double now) {
    double sum = 0;
    for (var teamWork : byTeam.entrySet()) {
      double needed = cpusToMeet(teamWork.getValue(), now);
      sum += Math.min(needed, limitCpusLeftForArrays(teamWork.getKey()));
    }
    return sum;
  }

  /** CPUs with which the work of each deadline and of all before it is done in time. */
  private static double cpusToMeet(List<DueWork> dueWork, double now) {
    dueWork.sort(Comparator.comparingDouble(DueWork::dueAt));
    double work = 0;
    double needed = 0;
    for (DueWork due : dueWork) {
      work += due.work();
      // The last wave of tasks has to start this long before the deadline.
      double slack = due.dueAt() - now - due.estimateS() * 0.5 - DEADLINE_MARGIN_S;
      needed = Math.max(needed, work / slack);
    }
    return needed;
  }

  /**
   * CPUs that a team's limit leaves for arrays beside its services; {@code Double.MAX_VALUE}
   * without a limit.
   */
  double limitCpusLeftForArrays(String teamName) {
    Team team = cluster.policy.team(teamName);
    if (team == null || team.cpuLimit() <= 0) {
      return Double.MAX_VALUE;
    }
    double cpusLeft = team.cpuLimit();
    for (Job job : cluster.jobs.values()) {
      if (job.spec.isService() && job.spec.team().equals(teamName)) {
        cpusLeft -= job.claims.size() * job.spec.cpus();
      }
    }
    return cpusLeft;
  }

  /**
   * The job's remaining work, in CPU seconds.
   *
   * @param estimateS expected run time of one task, in seconds
   */
  static double remainingWork(Job job, double estimateS, double now) {
    double work = job.openTasks.cardinality() * estimateS * job.spec.cpus();
    for (Claim claim : job.claims.values()) {
      work += remainingRunTimeS(claim, estimateS, now) * job.spec.cpus();
    }
    return work;
  }

  private static double remainingRunTimeS(Claim claim, double estimateS, double now) {
    double ranS = claim.runningSince > 0 ? now - claim.runningSince : 0;
    return Math.max(estimateS - ranS, estimateS * MIN_REMAINING_SHARE);
  }
}
