package graderelay.state;

import graderelay.core.JobSpec;
import graderelay.wire.FinalState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Determines whether a job is cancelled because one of its direct or transitive DAG dependencies
 * is. The result is derived from the records of the dependencies alone. So every controller reports
 * it as soon as the single conditional write that cancels the dependency has committed, even if the
 * leader has not yet written the final states of its dependents.
 */
public final class CancellationResolver {
  /** Whether a job is cancelled through a dependency. */
  public enum Status {
    CANCELLED,
    NOT_CANCELLED,
    /** The store could not be read. */
    UNDETERMINED
  }

  private final Cache cache;
  private final FinalStateLookup finalStates;

  /** Creates a resolver that looks up final states missing from the cache in the store. */
  public CancellationResolver(Cache cache, FinalStateLookup finalStates) {
    this.cache = cache;
    this.finalStates = finalStates;
  }

  /**
   * True if, according to the cache, a direct or transitive dependency of the job is cancelled.
   *
   * @param unknownDependencies receives the ids of dependencies that are not in the cache
   */
  public static boolean isCancelledByDependency(
      Cache cache, JobSpec job, Set<String> unknownDependencies) {
    Set<String> visited = new HashSet<>();
    Deque<JobSpec> queue = new ArrayDeque<>();
    queue.add(job);
    while (!queue.isEmpty()) {
      for (String id : queue.poll().dependencies()) {
        if (!visited.add(id)) {
          continue;
        }
        JobEntry liveJob = cache.job(id);
        FinalState finalState = cache.finalState(id);
        if ((liveJob != null && liveJob.isCancelled())
            || (finalState != null && finalState.cancelled())) {
          return true;
        }
        if (finalState == null && liveJob != null) {
          queue.add(liveJob.spec);
        } else if (finalState == null) {
          unknownDependencies.add(id);
        }
      }
    }
    return false;
  }

  /** Determines the status of a job; to be called right after a catch-up of the cache. */
  public void resolve(JobEntry job, Consumer<Status> done) {
    if (job.spec.dependencies().isEmpty()) {
      done.accept(Status.NOT_CANCELLED);
      return;
    }
    Set<String> unknownDependencies = new HashSet<>();
    Status status = statusFromCache(job, unknownDependencies);
    if (status != Status.UNDETERMINED) {
      done.accept(status);
      return;
    }
    // Dependencies are accepted before the job, so one that isn't live has a final record.
    lookUpFinalStates(
        List.copyOf(unknownDependencies),
        results ->
            done.accept(
                results.contains(FinalStateLookup.Result.FAILED)
                    ? Status.UNDETERMINED
                    : statusFromCache(job, new HashSet<>())));
  }

  /** The status according to the cache; undetermined if the cache lacks a dependency. */
  private Status statusFromCache(JobEntry job, Set<String> unknownDependencies) {
    if (isCancelledByDependency(cache, job.spec, unknownDependencies)) {
      return Status.CANCELLED;
    }
    return unknownDependencies.isEmpty() ? Status.NOT_CANCELLED : Status.UNDETERMINED;
  }

  /** Looks up the final states of all these jobs; the results are in no particular order. */
  public void lookUpFinalStates(List<String> ids, Consumer<List<FinalStateLookup.Result>> done) {
    List<FinalStateLookup.Result> results = new ArrayList<>();
    if (ids.isEmpty()) {
      done.accept(results);
    }
    for (String id : ids) {
      finalStates.lookUp(
          id,
          result -> {
            results.add(result);
            if (results.size() == ids.size()) {
              done.accept(results);
            }
          });
    }
  }
}
