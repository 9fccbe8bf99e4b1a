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
 * DAG dependencies between jobs: which wait for which. A job is claimed only once the committed
 * final record of each of its dependencies says done; such a record never changes, so no claim can
 * be too early, whoever leads. A job that depends on a cancelled one is cancelled with it: it can't
 * have begun, so only records change, which are written as the rate of the store allows.
 */
final class Dependencies {
  /** Seconds between requests for the final record of a dependency that was not seen to end. */
  private static final double FETCH_EVERY_S = 2;

  /** Final records asked for at once, a batch. */
  private static final int MOST_FETCHED = 200;

  private final ClusterState cluster;
  private final DependencyUrgency urgency;

  /** Live jobs by the id of a job that they wait for. */
  private final Map<String, Set<Job>> dependents = new HashMap<>();

  /**
   * Dependencies that are not live here, and when their final records were last asked for, in
   * seconds on the leader's clock.
   */
  private final Map<String, Double> unresolved = new LinkedHashMap<>();

  /**
   * Makes the graph of a new leader.
   *
   * @param estimate expected run time of a task, in seconds
   */
  Dependencies(ClusterState cluster, ToDoubleFunction<JobSpec> estimate) {
    this.cluster = cluster;
    this.urgency = new DependencyUrgency(cluster, estimate);
  }

  /** A job has come. Returns the jobs that are cancelled with one that they depend on. */
  List<Job> added(Job job) {
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

  /** These jobs and all that depend on them, at any depth, that are not stopped yet. */
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

  /** A job was cancelled. Returns the jobs that are cancelled with it. */
  List<Job> cancelledWith(String id) {
    return withDependents(dependents.getOrDefault(id, Set.of()));
  }

  /**
   * A job's final record says that it is done. Returns the jobs that now wait for no other.
   *
   * @param at when it ended, in seconds on the leader's clock
   */
  List<Job> done(String id, double at) {
    unresolved.remove(id);
    Set<Job> waiting = dependents.remove(id);
    List<Job> ready = new ArrayList<>();
    for (Job dependent : waiting == null ? Set.<Job>of() : waiting) {
      dependent.pendingDependencies.remove(id);
      dependent.dependenciesEndedAt = Math.max(dependent.dependenciesEndedAt, at);
      if (dependent.pendingDependencies.isEmpty() && !dependent.cancelRequested) {
        ready.add(dependent);
      }
    }
    return ready;
  }

  /** A job's final record says that it is cancelled. Returns the jobs cancelled with it. */
  List<Job> cancelled(String id) {
    unresolved.remove(id);
    List<Job> all = cancelledWith(id);
    dependents.remove(id);
    return all;
  }

  /** Recomputes which dependencies are urgent; to be called periodically. */
  void updateUrgency(double now) {
    for (String id : dependents.keySet()) {
      Job dependency = cluster.jobs.get(id);
      if (dependency != null) {
        urgency.update(dependency, now);
      }
    }
  }

  /** The same for the dependencies of a job that has just come, at any depth. */
  void updateUrgency(Job job, double now) {
    urgency.updateDependenciesOf(job, now);
  }

  /** True if a job that is known here waits for this one. */
  boolean hasDependents(String id) {
    return dependents.containsKey(id);
  }

  /** The job's record is gone; if another job waits for it, its final record has to be fetched. */
  void removed(Job job) {
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

  /** The jobs whose final records should be fetched from the store now. */
  List<String> finalRecordsToFetch(double now) {
    List<String> ids = new ArrayList<>();
    for (var entry : unresolved.entrySet()) {
      if (now - entry.getValue() > FETCH_EVERY_S && ids.size() < MOST_FETCHED) {
        entry.setValue(now);
        ids.add(entry.getKey());
      }
    }
    return ids;
  }
}
