package graderelay.core;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The order of the queue in a placement round: priority, then starved jobs, then work within a
 * guarantee, then the team with the least fair share used, then jobs that don't yield to teammates,
 * then what a start is worth to the service-level objectives, then the oldest or first due.
 */
final class QueueOrder {
  /** Times its class's longest start objective after which a job is no longer passed by others. */
  private static final double PASSED_STEPS = 2;

  /** Fair shares are compared in steps of one over this, so that near shares go by age. */
  private static final int FAIR_SHARE_STEPS = 4;

  private final ClusterState cluster;

  /** Jobs that yield to others of their team, see {@link TeammateYielding}. */
  private Set<Job> yieldingToTeammates = Set.of();

  /** What a start of an array that is due is worth at each priority, worked out once a round. */
  private Map<Priority, Double> dueStartWorth = Map.of();

  QueueOrder(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Takes the jobs that yield to others of their team as of the last fleet plan. */
  void yieldingToTeammates(Set<Job> jobs) {
    yieldingToTeammates = jobs;
  }

  /** Works out what is the same for all entries of a round; to be called before {@link #entry}. */
  void beginRound(double now) {
    dueStartWorth = dueStartWorth(now);
  }

  /** The job with its place in the queue as of now. */
  Entry entry(Job job, double now) {
    return new Entry(job, now);
  }

  /**
   * A job with its place in the queue. Worked out once a round, since a comparison that sums is
   * called many times.
   */
  final class Entry implements Comparable<Entry> {
    final Job job;

    /** Neither smaller nor newer jobs, nor other teams, may pass a job for ever. */
    private final boolean starved;

    private final boolean beyondGuarantee;
    private final double fairShareUsed;
    private final boolean yieldsToTeammates;
    private final double startWorth;

    /** Due time or submission, in seconds on the leader's clock; the earlier goes first. */
    private final double orderedBy;

    private Entry(Job job, double now) {
      this.job = job;
      starved = starved(job, now);
      beyondGuarantee = !cluster.quotas.withinGuarantee(job.spec.team(), job.taskResources);
      fairShareUsed = fairShareUsed(job.spec.team());
      yieldsToTeammates = yieldingToTeammates.contains(job);
      startWorth = startWorth(job, now);
      orderedBy = !starved && job.hasDue() ? job.dueAt() : job.eligibleSince;
    }

    /**
     * True if neither has a claim to room before the other but by order. Deadlines do: what is due
     * first must not wait for a slot with its image.
     */
    boolean ranksWith(Entry other) {
      return job.priority() == other.job.priority()
          && !starved
          && !other.starved
          && beyondGuarantee == other.beyondGuarantee
          && !job.hasDue()
          && !other.job.hasDue();
    }

    @Override
    public int compareTo(Entry other) {
      int order = job.priority().compareTo(other.job.priority());
      order = order != 0 ? order : Boolean.compare(other.starved, starved);
      if (order == 0 && !starved) {
        order = Boolean.compare(beyondGuarantee, other.beyondGuarantee);
        order = order != 0 ? order : Double.compare(fairShareUsed, other.fairShareUsed);
        order = order != 0 ? order : Boolean.compare(yieldsToTeammates, other.yieldsToTeammates);
        order = order != 0 ? order : Double.compare(other.startWorth, startWorth);
      }
      return order != 0 ? order : Double.compare(orderedBy, other.orderedBy);
    }
  }

  /**
   * The starvation guard: true for a job that has waited so long without a single task begun that
   * it goes before all others of its priority. The largest jobs must begin as well.
   */
  static boolean starved(Job job, double now) {
    return job.neverBegan() && now - job.eligibleSince > SchedulerLimits.WAITING_WINS_S;
  }

  /**
   * What one more start of an array's task is worth to its class's objectives. They count each job
   * once, however large, so a task of a small job weighs more; a start objective that is over can't
   * be met any more, and a completion objective only by what is still open. Where everything asked
   * for can't be done in time, this keeps as many jobs as possible in time.
   */
  private double startWorth(Job job, double now) {
    JobSpec spec = job.spec;
    if (!spec.isService() && job.hasDue()) {
      return dueStartWorth.getOrDefault(job.priority(), 0.0);
    }
    List<Double> startObjectives =
        cluster.policy.startObjectiveStepsS().getOrDefault(spec.jobClass(), List.of());
    if (spec.isService() || startObjectives.isEmpty()) {
      return 0;
    }
    double waited = now - job.eligibleSince;
    double worth = reachableObjectives(startObjectives, waited) / (double) spec.tasks();
    Double completionObjective = cluster.policy.completionObjectivesS().get(spec.jobClass());
    if (completionObjective != null && waited + spec.estimateS() <= completionObjective) {
      worth += 1.0 / Math.max(1, job.openTasks.cardinality());
    }
    return worth;
  }

  /** Start objectives that can still be met after so many seconds; 1 long after the last one. */
  private static int reachableObjectives(List<Double> startObjectives, double waited) {
    double last = startObjectives.get(startObjectives.size() - 1);
    if (waited > last * PASSED_STEPS) {
      return 1; // Others must not pass it for ever.
    }
    int reachable = 0;
    for (double objective : startObjectives) {
      reachable += waited <= objective ? 1 : 0;
    }
    return reachable;
  }

  /**
   * What is due goes by when it is due, so all of it at one priority has one place beside what has
   * start objectives instead: as many jobs as can still be in time over their open tasks. Without
   * that, a burst of jobs with start objectives lets everything that is due come too late.
   */
  private Map<Priority, Double> dueStartWorth(double now) {
    Map<Priority, Integer> jobs = new EnumMap<>(Priority.class);
    Map<Priority, Integer> tasks = new EnumMap<>(Priority.class);
    for (Job job : cluster.jobs.values()) {
      if (job.waiting() && !job.spec.isService() && job.hasDue() && now < job.dueAt()) {
        jobs.merge(job.priority(), 1, Integer::sum);
        tasks.merge(job.priority(), job.openTasks.cardinality(), Integer::sum);
      }
    }
    Map<Priority, Double> worth = new EnumMap<>(Priority.class);
    jobs.forEach((priority, count) -> worth.put(priority, count / (double) tasks.get(priority)));
    return worth;
  }

  /** The team's used CPUs over its guaranteed CPUs, rounded to a quarter. */
  private double fairShareUsed(String teamName) {
    Team team = cluster.policy.team(teamName);
    double guaranteed = team == null || team.cpus() <= 0 ? 1 : team.cpus();
    double used = cluster.quotas.usage(teamName).cpus();
    return Math.round(FAIR_SHARE_STEPS * used / guaranteed) / (double) FAIR_SHARE_STEPS;
  }
}
