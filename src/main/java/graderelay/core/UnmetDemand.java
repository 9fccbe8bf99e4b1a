package graderelay.core;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Waiting tasks for which a fleet plan found no room and requested no machine, by cause. Reported
 * as a metric, and logged for each job that is affected for a while.
 */
final class UnmetDemand {
  /** Why no machine was requested. */
  enum Cause {
    /** On-demand machines are available, but withheld since the job may wait for spot machines. */
    ON_DEMAND_WITHHELD("on_demand_withheld", "it may wait for spot machines"),

    /** Every pool with machines that fit had no capacity recently. */
    NO_CAPACITY("no_capacity", "no eligible pool had capacity recently");

    /** The value of the metric's tag. */
    final String label;

    private final String text;

    Cause(String label, String text) {
      this.label = label;
      this.text = text;
    }
  }

  /** Seconds without room or a requested machine after which a job is logged, once. */
  private static final double LOG_AFTER_S = 15;

  /**
   * Seconds after which a job is forgotten whose demand the plans met. Longer than the interval
   * between requests to a pool without capacity, each of which only seems to meet the demand.
   */
  private static final double RETENTION_S = 30;

  /** The unmet demand of one job. Times are in seconds on the leader's clock. */
  private static final class JobDemand {
    private final double since;
    private double lastUnmetAt;
    private int tasks;
    private Cause cause;
    private boolean logged;

    private JobDemand(double since) {
      this.since = since;
    }
  }

  private final ClusterState cluster;
  private final Map<Job, JobDemand> demandByJob = new LinkedHashMap<>();
  private double lastPlanAt;

  UnmetDemand(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Records tasks of a job for which the plan requests no machine. */
  void add(Job job, int tasks, Cause cause, double now) {
    JobDemand demand = demandByJob.computeIfAbsent(job, key -> new JobDemand(now));
    demand.tasks = tasks;
    demand.cause = cause;
    demand.lastUnmetAt = now;
  }

  /**
   * Ends a plan: forgets the jobs whose demand has been met for a while, and logs the others once
   * they have been affected for a while.
   *
   * @param neededCpus CPUs that work which may wait for spot machines needs to be in time
   * @param availableCpus CPUs that the fleet has for that work
   */
  void endPlan(double neededCpus, double availableCpus, double now) {
    lastPlanAt = now;
    demandByJob.values().removeIf(demand -> now - demand.lastUnmetAt > RETENTION_S);
    demandByJob.forEach(
        (job, demand) -> {
          if (!demand.logged && demand.lastUnmetAt - demand.since >= LOG_AFTER_S) {
            demand.logged = true;
            log(job, demand, neededCpus, availableCpus, now);
          }
        });
  }

  private void log(Job job, JobDemand demand, double neededCpus, double availableCpus, double now) {
    cluster.log(
        "no machine is requested for "
            + demand.tasks
            + " tasks of "
            + job.spec.id()
            + " since "
            + Math.round(now - demand.since)
            + " s: "
            + demand.cause.text
            + (job.hasDueTime() ? "; due in " + Math.round(job.dueAt() - now) + " s" : "")
            + "; deadlines need "
            + Math.round(neededCpus)
            + " CPUs of "
            + Math.round(availableCpus)
            + " available");
  }

  /** Number of tasks for which the last plan requested no machine, by each cause. */
  Map<Cause, Integer> tasksByCause() {
    Map<Cause, Integer> tasksByCause = new EnumMap<>(Cause.class);
    for (Cause cause : Cause.values()) {
      tasksByCause.put(cause, 0);
    }
    for (JobDemand demand : demandByJob.values()) {
      if (demand.lastUnmetAt == lastPlanAt) {
        tasksByCause.merge(demand.cause, demand.tasks, Integer::sum);
      }
    }
    return tasksByCause;
  }
}
