package graderelay.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Propagates the priorities and deadlines of jobs to the jobs that they depend on, through all
 * levels of the DAG. At each level, the due time is earlier by the time that the level takes to
 * run.
 */
final class DependencyUrgency {
  /**
   * Time between the end of a job and the start of one that depends on it: heartbeat, transactions,
   * image fetch.
   */
  private static final double DEPENDENT_START_DELAY_S = 4;

  private final ClusterState cluster;
  private final ToDoubleFunction<JobSpec> estimate;

  /**
   * Creates an instance for the jobs of a new leader.
   *
   * @param estimate expected run time of a task, in seconds
   */
  DependencyUrgency(ClusterState cluster, ToDoubleFunction<JobSpec> estimate) {
    this.cluster = cluster;
    this.estimate = estimate;
  }

  /** Propagates the priority and deadline of a job to its dependencies, at any depth. */
  void propagate(Job origin) {
    Deque<Job> changed = new ArrayDeque<>();
    changed.add(origin);
    while (!changed.isEmpty()) {
      Job dependent = changed.poll();
      double neededBy =
          dependent.dueAt() - estimate.applyAsDouble(dependent.spec) - DEPENDENT_START_DELAY_S;
      for (String id : dependent.pendingDependencies) {
        Job dependency = cluster.jobs.get(id);
        if (dependency == null) {
          continue;
        }
        boolean sooner = neededBy < dependency.dependentsDueAt;
        dependency.dependentsDueAt = Math.min(dependency.dependentsDueAt, neededBy);
        boolean raised = dependency.inheritPriority(dependent.inheritedPriority());
        if (raised || sooner) {
          changed.add(dependency);
        }
      }
    }
  }

  /** Updates whether a job is urgent for its dependents. */
  void update(Job job, double now) {
    Double startObjectiveS = cluster.policy.startObjectivesS().get(job.spec.jobClass());
    job.updateUrgency(estimate.applyAsDouble(job.spec), startObjectiveS, now);
  }

  /** Updates each dependency of a job, at any depth, once. */
  void updateDependenciesOf(Job job, double now) {
    Set<Job> seen = new HashSet<>();
    Deque<Job> next = new ArrayDeque<>();
    next.add(job);
    while (!next.isEmpty()) {
      for (String id : next.poll().pendingDependencies) {
        Job dependency = cluster.jobs.get(id);
        if (dependency != null && seen.add(dependency)) {
          update(dependency, now);
          next.add(dependency);
        }
      }
    }
  }
}
