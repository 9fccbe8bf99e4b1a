package graderelay.core;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The order of jobs in a placement round: by priority, then starved jobs, then work within its
 * team's guarantee, then the team that uses the smallest part of its fair share, then jobs that do
 * not yield to teammates, then the value of a start for the service-level objectives, then by due
 * time or age.
 */
final class QueueOrder {
  /**
   * Multiple of its class's longest start objective after which a waiting job keeps a start value,
   * so that newer jobs do not overtake it indefinitely.
   */
  private static final double AGING_OBJECTIVE_FACTOR = 2;

  /**
   * Used fair shares are rounded to one over this, so that jobs of teams with similar shares are
   * ordered by the later criteria.
   */
  private static final int FAIR_SHARE_STEPS = 4;

  private final ClusterState cluster;

  /** Jobs that yield to other jobs of their team, see {@link TeammateYielding}. */
  private Set<Job> yieldingToTeammates = Set.of();

  /** Value of starting a task of an array with a deadline, by priority; computed once a round. */
  private Map<Priority, Double> dueStartValues = Map.of();

  QueueOrder(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Sets the jobs that yield to other jobs of their team, as of the last fleet plan. */
  void setYieldingToTeammates(Set<Job> jobs) {
    yieldingToTeammates = jobs;
  }

  /** Computes what all entries of a round share; to be called before {@link #entry}. */
  void beginRound(double now) {
    dueStartValues = dueStartValues(now);
  }

  /** The queue entry of a job as of now. */
  Entry entry(Job job, double now) {
    return new Entry(job, now);
  }

  /**
   * A job with its sort keys. They are computed once a round, since computing them in comparisons
   * would be expensive.
   */
  final class Entry implements Comparable<Entry> {
    final Job job;

    /** Prevents smaller jobs, newer jobs and other teams from overtaking a job indefinitely. */
    private final boolean starved;

    private final boolean beyondGuarantee;
    private final double fairShareUsed;
    private final boolean yieldsToTeammates;
    private final double startValue;

    /**
     * Due time, or else the time since when the job could start, in seconds on the leader's clock;
     * the earlier goes first.
     */
    private final double sortTime;

    private Entry(Job job, double now) {
      this.job = job;
      starved = isStarved(job, now);
      beyondGuarantee = !cluster.quotas.withinGuarantee(job.spec.team(), job.taskResources);
      fairShareUsed = fairShareUsed(job.spec.team());
      yieldsToTeammates = yieldingToTeammates.contains(job);
      startValue = startValue(job, now);
      sortTime = !starved && job.hasDueTime() ? job.dueAt() : job.eligibleSince;
    }

    /**
     * True if the two jobs differ only in the criteria after the guarantee, so that either may be
     * placed first. Never true for starved jobs, nor for jobs with a deadline: the one that is due
     * first must not wait for a machine that has its image.
     */
    boolean hasSameRankAs(Entry other) {
      return job.priority() == other.job.priority()
          && !starved
          && !other.starved
          && beyondGuarantee == other.beyondGuarantee
          && !job.hasDueTime()
          && !other.job.hasDueTime();
    }

    @Override
    public int compareTo(Entry other) {
      int order = job.priority().compareTo(other.job.priority());
      order = order != 0 ? order : Boolean.compare(other.starved, starved);
      if (order == 0 && !starved) {
        order = Boolean.compare(beyondGuarantee, other.beyondGuarantee);
        order = order != 0 ? order : Double.compare(fairShareUsed, other.fairShareUsed);
        order = order != 0 ? order : Boolean.compare(yieldsToTeammates, other.yieldsToTeammates);
        order = order != 0 ? order : Double.compare(other.startValue, startValue);
      }
      return order != 0 ? order : Double.compare(sortTime, other.sortTime);
    }
  }

  /**
   * True for a job that has waited so long without a single start that it goes before all others of
   * its priority. Without this, the largest jobs might never start.
   */
  static boolean isStarved(Job job, double now) {
    return job.neverClaimed() && now - job.eligibleSince > SchedulerLimits.STARVATION_THRESHOLD_S;
  }

  /**
   * The value that starting one more task of the job has for the objectives of its class.
   * Objectives count each job once, whatever its size, so a task of a small job has a higher value.
   * A start objective that has passed can't be met any more and adds nothing; the completion
   * objective depends only on the tasks that are still open. If not all objectives can be met, this
   * order keeps as many jobs as possible in time.
   */
  private double startValue(Job job, double now) {
    JobSpec spec = job.spec;
    if (!spec.isService() && job.hasDueTime()) {
      return dueStartValues.getOrDefault(job.priority(), 0.0);
    }
    List<Double> startObjectives =
        cluster.policy.startObjectiveStepsS().getOrDefault(spec.jobClass(), List.of());
    if (spec.isService() || startObjectives.isEmpty()) {
      return 0;
    }
    double waitedS = now - job.eligibleSince;
    double value = reachableObjectives(startObjectives, waitedS) / (double) spec.tasks();
    Double completionObjective = cluster.policy.completionObjectivesS().get(spec.jobClass());
    if (completionObjective != null && waitedS + spec.estimateS() <= completionObjective) {
      value += 1.0 / Math.max(1, job.openTasks.cardinality());
    }
    return value;
  }

  /**
   * Number of start objectives that can still be met after so many seconds of waiting; 1 long after
   * the last one.
   */
  private static int reachableObjectives(List<Double> startObjectives, double waitedS) {
    double longest = startObjectives.get(startObjectives.size() - 1);
    if (waitedS > longest * AGING_OBJECTIVE_FACTOR) {
      return 1; // Other jobs must not overtake it indefinitely.
    }
    int reachable = 0;
    for (double objective : startObjectives) {
      reachable += waitedS <= objective ? 1 : 0;
    }
    return reachable;
  }

  /**
   * Start values of arrays with a deadline, by priority: the number of jobs that can still be in
   * time over the number of their open tasks. These arrays are ordered by due time among
   * themselves, so all of one priority share one value against jobs with start objectives. Without
   * it, a burst of jobs with start objectives makes all jobs with a deadline late.
   */
  private Map<Priority, Double> dueStartValues(double now) {
    Map<Priority, Integer> jobs = new EnumMap<>(Priority.class);
    Map<Priority, Integer> tasks = new EnumMap<>(Priority.class);
    for (Job job : cluster.jobs.values()) {
      if (job.isWaiting() && !job.spec.isService() && job.hasDueTime() && now < job.dueAt()) {
        jobs.merge(job.priority(), 1, Integer::sum);
        tasks.merge(job.priority(), job.openTasks.cardinality(), Integer::sum);
      }
    }
    Map<Priority, Double> values = new EnumMap<>(Priority.class);
    jobs.forEach((priority, count) -> values.put(priority, count / (double) tasks.get(priority)));
    return values;
  }

  /** The team's used CPUs divided by its guaranteed CPUs, rounded to a quarter. */
  private double fairShareUsed(String teamName) {
    Team team = cluster.policy.team(teamName);
    double guaranteed = team == null || team.cpuGuarantee() <= 0 ? 1 : team.cpuGuarantee();
    double used = cluster.quotas.usage(teamName).cpus();
    return Math.round(FAIR_SHARE_STEPS * used / guaranteed) / (double) FAIR_SHARE_STEPS;
  }
}
