package graderelay.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * The dependencies between jobs, which form a DAG. Tasks of a job are claimed only once the
 * committed final record of each of its dependencies has the state done. Such a record never
 * changes, so no claim is too early, whichever process leads. A job that depends on a cancelled one
 * is cancelled with it. It can't have started, so only records change, which are written at the
 * rate that the store allows.
 */
final class DependencyGraph {
  /** Time between requests for the final record of a dependency that is not known to have ended. */
  private static final double FETCH_INTERVAL_S = 2;

  /** Maximum number of final records in one request. */
  private static final int MAX_RECORDS_PER_FETCH = 200;

  private final ClusterState cluster;
  private final DependencyUrgency urgency;

  /** The live jobs that wait for a dependency, by its id. */
  private final Map<String, Set<Job>> dependents = new HashMap<>();

  /**
   * Dependencies that are not among the live jobs, with the time at which their final records were
   * last requested, in seconds on the leader's clock.
   */
  private final Map<String, Double> unresolved = new LinkedHashMap<>();

  /**
   * Creates the dependency graph of a new leader.
   *
   * @param estimate expected run time of a task, in seconds
   */
  DependencyGraph(ClusterState cluster, ToDoubleFunction<JobSpec> estimate) {
    this.cluster = cluster;
    this.urgency = new DependencyUrgency(cluster, estimate);
  }

  /** Adds a job. Returns the jobs that are cancelled because it depends on a cancelled one. */
  List<Job> add(Job job) {
    unresolved.remove(job.spec.id());
    boolean cancelled = false;
    for (String id : job.pendingDependencies) {
      dependents.computeIfAbsent(id, key -> new LinkedHashSet<>()).add(job);
      Job dependency = cluster.jobs.get(id);
      if (dependency == null) {
        unresolved.putIfAbsent(id, Double.NEGATIVE_INFINITY);
      }
      cancelled |= dependency != null && dependency.cancelRequested;
    }
    for (Job dependent : dependents.getOrDefault(job.spec.id(), Set.of())) {
      urgency.propagate(dependent);
    }
    urgency.propagate(job);
    return cancelled ? withDependents(Set.of(job)) : List.of();
  }

  /**
   * These jobs and all that depend on them, at any depth, without those whose cancellation is
   * already requested.
   */
  private List<Job> withDependents(Set<Job> first) {
    Set<Job> all = new LinkedHashSet<>();
    Deque<Job> next = new ArrayDeque<>(first);
    while (!next.isEmpty()) {
      Job job = next.poll();
      if (!job.cancelRequested && all.add(job)) {
        next.addAll(dependents.getOrDefault(job.spec.id(), Set.of()));
      }
    }
    return List.copyOf(all);
  }

  /** The jobs to cancel because a job that they depend on, at any depth, was cancelled. */
  List<Job> dependentsToCancel(String id) {
    return withDependents(dependents.getOrDefault(id, Set.of()));
  }

  /**
   * Handles the final record of a job that is done. Returns the jobs that now have no pending
   * dependencies.
   *
   * @param endedAt when it ended, in seconds on the leader's clock
   */
  List<Job> onDone(String id, double endedAt) {
    unresolved.remove(id);
    Set<Job> waiting = dependents.remove(id);
    List<Job> ready = new ArrayList<>();
    for (Job dependent : waiting == null ? Set.<Job>of() : waiting) {
      dependent.pendingDependencies.remove(id);
      dependent.dependenciesEndedAt = Math.max(dependent.dependenciesEndedAt, endedAt);
      if (dependent.pendingDependencies.isEmpty() && !dependent.cancelRequested) {
        ready.add(dependent);
      }
    }
    return ready;
  }

  /** Handles the final record of a cancelled job. Returns the jobs to cancel with it. */
  List<Job> onCancelled(String id) {
    unresolved.remove(id);
    List<Job> all = dependentsToCancel(id);
    dependents.remove(id);
    return all;
  }

  /** Updates the urgency of all dependencies; to be called periodically. */
  void updateUrgency(double now) {
    for (String id : dependents.keySet()) {
      Job dependency = cluster.jobs.get(id);
      if (dependency != null) {
        urgency.update(dependency, now);
      }
    }
  }

  /** Updates the urgency of a new job's dependencies, at any depth. */
  void updateUrgency(Job job, double now) {
    urgency.updateDependenciesOf(job, now);
  }

  /** True if a live job waits for this one. */
  boolean hasDependents(String id) {
    return dependents.containsKey(id);
  }

  /**
   * Removes a job whose record is gone. If another job waits for it, its final record has to be
   * fetched.
   */
  void remove(Job job) {
    for (String id : job.pendingDependencies) {
      Set<Job> others = dependents.get(id);
      if (others != null && others.remove(job) && others.isEmpty()) {
        dependents.remove(id);
        unresolved.remove(id);
      }
    }
    if (hasDependents(job.spec.id())) {
      unresolved.put(job.spec.id(), Double.NEGATIVE_INFINITY);
    }
  }

  /** The ids of the jobs whose final records should be fetched from the store now. */
  List<String> finalRecordsToFetch(double now) {
    List<String> ids = new ArrayList<>();
    for (var entry : unresolved.entrySet()) {
      if (now - entry.getValue() > FETCH_INTERVAL_S && ids.size() < MAX_RECORDS_PER_FETCH) {
        entry.setValue(now);
        ids.add(entry.getKey());
      }
    }
    return ids;
  }
}
