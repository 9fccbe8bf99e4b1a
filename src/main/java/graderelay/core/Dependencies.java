package graderelay.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Which jobs wait for which. A job is claimed only once the committed final record of each job that
 * it needs says done; such a record never changes, so no claim can be too early, whoever owns the
 * fleet. A job that needs a cancelled one is cancelled with it: it can't have begun, so this is a
 * matter of records alone, which are written in their own time.
 */
final class Dependencies {
  /**
   * Seconds between the end of a job and the start of one that needs it: report, changes, image.
   */
  private static final double STAGE_S = 4;

  /** Seconds between questions for the final record of a needed job that nobody has seen end. */
  private static final double FIND_ENDS_EVERY_S = 2;

  /** Final records asked for at once, a batch. */
  private static final int MOST_FOUND = 200;

  private final ClusterState cluster;
  private final ToDoubleFunction<JobSpec> estimate;

  /** Live jobs by a job that they wait for. */
  private final Map<String, Set<Job>> dependents = new HashMap<>();

  /** Needed jobs that are not live here, and when their final records were last asked for. */
  private final Map<String, Double> missing = new LinkedHashMap<>();

  Dependencies(ClusterState cluster, ToDoubleFunction<JobSpec> estimate) {
    this.cluster = cluster;
    this.estimate = estimate;
  }

  /** A job has come. Returns the jobs that are cancelled with one that they need. */
  List<Job> added(Job j) {
    missing.remove(j.spec.id());
    boolean cancelled = false;
    for (String need : j.needed) {
      dependents.computeIfAbsent(need, n -> new LinkedHashSet<>()).add(j);
      Job n = cluster.jobs.get(need);
      if (n == null) {
        missing.putIfAbsent(need, Double.NEGATIVE_INFINITY);
      }
      cancelled |= n != null && n.stop;
    }
    for (Job d : dependents.getOrDefault(j.spec.id(), Set.of())) {
      press(d);
    }
    press(j);
    return cancelled ? withDependents(Set.of(j)) : List.of();
  }

  /** Priority and deadline of a job act on those that it needs, through all levels. */
  private void press(Job last) {
    Deque<Job> next = new ArrayDeque<>();
    next.add(last);
    while (!next.isEmpty()) {
      Job d = next.poll();
      double by = d.dueAt() - estimate.applyAsDouble(d.spec) - STAGE_S;
      for (String need : d.needed) {
        Job n = cluster.jobs.get(need);
        if (n == null) {
          continue;
        }
        boolean sooner = by < n.neededBy;
        n.neededBy = Math.min(n.neededBy, by);
        if (n.raise(d.wanted()) | sooner) {
          next.add(n);
        }
      }
    }
  }

  /** These jobs and all that need them, directly or through others, that are not stopped yet. */
  private List<Job> withDependents(Set<Job> first) {
    Set<Job> all = new LinkedHashSet<>();
    Deque<Job> next = new ArrayDeque<>(first);
    while (!next.isEmpty()) {
      Job j = next.poll();
      if (!j.stop && all.add(j)) {
        next.addAll(dependents.getOrDefault(j.spec.id(), Set.of()));
      }
    }
    return List.copyOf(all);
  }

  /** A job was cancelled: those that are cancelled with it. */
  List<Job> cancelledWith(String id) {
    return withDependents(dependents.getOrDefault(id, Set.of()));
  }

  /** A job's final record says that it is done. Returns the jobs that wait for no other. */
  List<Job> done(String id, double at) {
    missing.remove(id);
    Set<Job> waiting = dependents.remove(id);
    List<Job> ready = new ArrayList<>();
    for (Job d : waiting == null ? Set.<Job>of() : waiting) {
      d.needed.remove(id);
      d.neededUntil = Math.max(d.neededUntil, at);
      if (d.needed.isEmpty() && !d.stop) {
        ready.add(d);
      }
    }
    return ready;
  }

  /** A job's final record says that it is cancelled. Returns the jobs that are so with it. */
  List<Job> cancelled(String id) {
    missing.remove(id);
    List<Job> all = cancelledWith(id);
    dependents.remove(id);
    return all;
  }

  private void press(Job j, double now) {
    Double wantedWaitS = cluster.policy.startObjectivesS().get(j.spec.jobClass());
    j.press(estimate.applyAsDouble(j.spec), wantedWaitS, now);
  }

  /** Looks which of the needed jobs press; to be called now and then. */
  void look(double now) {
    for (String id : dependents.keySet()) {
      Job j = cluster.jobs.get(id);
      if (j != null) {
        press(j, now);
      }
    }
  }

  /** The same for those that a job which has just come needs, each once, through all levels. */
  void look(Job j, double now) {
    Set<Job> seen = new HashSet<>();
    Deque<Job> next = new ArrayDeque<>();
    next.add(j);
    while (!next.isEmpty()) {
      for (String need : next.poll().needed) {
        Job n = cluster.jobs.get(need);
        if (n != null && seen.add(n)) {
          press(n, now);
          next.add(n);
        }
      }
    }
  }

  /** True if somebody waits for this job. */
  boolean needed(String id) {
    return dependents.containsKey(id);
  }

  /** The job's record is gone: what its final record says is to be found out if it is needed. */
  void gone(Job j) {
    for (String need : j.needed) {
      Set<Job> others = dependents.get(need);
      if (others != null && others.remove(j) && others.isEmpty()) {
        dependents.remove(need);
        missing.remove(need);
      }
    }
    if (needed(j.spec.id())) {
      missing.put(j.spec.id(), Double.NEGATIVE_INFINITY);
    }
  }

  /** The needed jobs whose final records should be asked for now. */
  List<String> toFind(double now) {
    List<String> ids = new ArrayList<>();
    for (var e : missing.entrySet()) {
      if (now - e.getValue() > FIND_ENDS_EVERY_S && ids.size() < MOST_FOUND) {
        e.setValue(now);
        ids.add(e.getKey());
      }
    }
    return ids;
  }
}
