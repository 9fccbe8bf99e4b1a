package graderelay.core;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The order of the queue in a placement round: priority, then what has waited so long that waiting
 * wins, then work within a guarantee, then the team with the least fair share used, then jobs that
 * don't step back, then what a start is worth to the service-level objectives, then the oldest or
 * first due.
 */
final class QueueOrder {
  /** Times its class's longest wanted wait after which a job is no longer passed by others. */
  private static final double PASSED_STEPS = 2;

  private final ClusterState cluster;

  /** Jobs that wait for others of their team, see {@link Deadlines}. */
  private Set<Job> stepBack = Set.of();

  /** What a start of an array that is due is worth at each priority, worked out once a round. */
  private Map<Priority, Double> worthOfDue = Map.of();

  QueueOrder(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Takes the jobs that step back as of the last fleet plan. */
  void steppingBack(Set<Job> steppingBack) {
    stepBack = steppingBack;
  }

  /** Works out what is the same for all entries of a round; to be called before {@link #entry}. */
  void beginRound(double now) {
    worthOfDue = worthOfDue(now);
  }

  /** The job with its place in the queue as of now. */
  Entry entry(Job j, double now) {
    return new Entry(j, now);
  }

  /**
   * A job with its place in the queue. Worked out once a round, since a comparison that sums is
   * called many times.
   */
  final class Entry implements Comparable<Entry> {
    final Job job;
    final boolean patientEnough;
    final boolean beyond;
    final double share;
    final boolean back;
    final double worth;
    final double due;

    private Entry(Job j, double now) {
      job = j;
      // Neither smaller nor newer jobs, nor other teams, may pass a job for ever.
      patientEnough = !waitingWins(j, now);
      beyond = !cluster.withinGuarantee(j.spec.team(), j.need);
      share = share(j);
      back = stepBack.contains(j);
      worth = worth(j, now);
      due = patientEnough ? due(j) : j.submittedAt;
    }

    /**
     * True if neither has a claim to room before the other but by order. Deadlines do: what is due
     * first must not wait for a slot with its image.
     */
    boolean ranksWith(Entry o) {
      return job.priority() == o.job.priority()
          && patientEnough
          && o.patientEnough
          && beyond == o.beyond
          && !job.hasDue()
          && !o.job.hasDue();
    }

    @Override
    public int compareTo(Entry o) {
      int c = job.priority().compareTo(o.job.priority());
      c = c != 0 ? c : Boolean.compare(patientEnough, o.patientEnough);
      if (c == 0 && patientEnough) {
        c = Boolean.compare(beyond, o.beyond);
        c = c != 0 ? c : Double.compare(share, o.share);
        c = c != 0 ? c : Boolean.compare(back, o.back);
        c = c != 0 ? c : Double.compare(o.worth, worth);
      }
      return c != 0 ? c : Double.compare(due, o.due);
    }
  }

  /**
   * True for a job that has waited so long without a single task begun that it goes before all
   * others of its priority: the largest jobs must begin as well.
   */
  static boolean waitingWins(Job j, double now) {
    return j.neverBegan() && now - j.submittedAt > SchedulerLimits.WAITING_WINS_S;
  }

  /**
   * What one more start of an array's task is worth to what its class's aims count. They count each
   * job once, however large, so a task of a small job weighs more; a wanted waiting time that is
   * over can't be met any more, and a wanted time to the end only by what is still open. Where
   * everything asked for can't be done in time, this keeps as many jobs as possible in time.
   */
  private double worth(Job j, double now) {
    JobSpec s = j.spec;
    List<Double> steps =
        cluster.policy.startObjectiveStepsS().getOrDefault(s.jobClass(), List.of());
    if (!s.isService() && j.hasDue()) {
      return worthOfDue.getOrDefault(j.priority(), 0.0);
    }
    if (s.isService() || steps.isEmpty()) {
      return 0;
    }
    double waited = now - j.submittedAt;
    double last = steps.get(steps.size() - 1);
    int left = 0;
    for (double w : steps) {
      left += waited <= w ? 1 : 0;
    }
    // Others must not pass it for ever.
    left = waited > last * PASSED_STEPS ? 1 : left;
    double worth = left / (double) s.tasks();
    Double whole = cluster.policy.completionObjectivesS().get(s.jobClass());
    if (whole != null && waited + s.estimateS() <= whole) {
      worth += 1.0 / Math.max(1, j.open.cardinality());
    }
    return worth;
  }

  /**
   * What is due goes by when it is due, so all of it at one priority has one place beside what has
   * wanted waits instead: as many jobs as can still be in time over their open tasks. Without that,
   * a burst of jobs with wanted waits lets everything that is due come too late.
   */
  private Map<Priority, Double> worthOfDue(double now) {
    Map<Priority, Integer> jobs = new EnumMap<>(Priority.class);
    Map<Priority, Integer> tasks = new EnumMap<>(Priority.class);
    for (Job j : cluster.jobs.values()) {
      if (j.waiting() && !j.spec.isService() && j.hasDue() && now < j.dueAt()) {
        jobs.merge(j.priority(), 1, Integer::sum);
        tasks.merge(j.priority(), j.open.cardinality(), Integer::sum);
      }
    }
    Map<Priority, Double> worth = new EnumMap<>(Priority.class);
    jobs.forEach((priority, n) -> worth.put(priority, n / (double) tasks.get(priority)));
    return worth;
  }

  /** The team's use over its guaranteed CPUs, to a quarter, so that near shares go by age. */
  private double share(Job j) {
    Team t = cluster.policy.team(j.spec.team());
    double base = t == null || t.cpus() <= 0 ? 1 : t.cpus();
    return Math.round(4 * cluster.use(j.spec.team()).cpus() / base) / 4.0;
  }

  private static double due(Job j) {
    return j.hasDue() ? j.dueAt() : j.submittedAt;
  }
}
