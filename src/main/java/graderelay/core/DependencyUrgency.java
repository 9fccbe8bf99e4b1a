package graderelay.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * How urgent a job is for those that depend on it: their priority and deadlines act on it through
 * all levels of the DAG, earlier by the time that each level takes.
 */
final class DependencyUrgency {
  /**
   * Seconds between the end of a job and the start of one that depends on it: heartbeat,
   * transactions, image fetch.
   */
  private static final double STAGE_S = 4;

  private final ClusterState cluster;
  private final ToDoubleFunction<JobSpec> estimate;

  /**
   * Makes the urgency of a new leader's jobs.
   *
   * @param estimate expected run time of a task, in seconds
   */
  DependencyUrgency(ClusterState cluster, ToDoubleFunction<JobSpec> estimate) {
    this.cluster = cluster;
    this.estimate = estimate;
  }

  /** Priority and deadline of a job act on those that it depends on, at any depth. */
  void propagate(Job last) {
    Deque<Job> changed = new ArrayDeque<>();
    changed.add(last);
    while (!changed.isEmpty()) {
      Job dependent = changed.poll();
      double neededBy = dependent.dueAt() - estimate.applyAsDouble(dependent.spec) - STAGE_S;
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

  /** Recomputes whether a job that others depend on has to hurry for them. */
  void update(Job job, double now) {
    Double startObjectiveS = cluster.policy.startObjectivesS().get(job.spec.jobClass());
    job.updateUrgency(estimate.applyAsDouble(job.spec), startObjectiveS, now);
  }

  /** The same for all that a job depends on, at any depth, each once. */
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
