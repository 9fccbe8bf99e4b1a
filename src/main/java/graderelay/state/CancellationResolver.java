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
 * Finds whether a job is cancelled through one of its DAG dependencies. Derived from the records of
 * the dependencies alone, so that every controller says so as soon as the one conditional write on
 * the cancelled job has committed, however far the leader is with the final states of its
 * dependents.
 */
public final class CancellationResolver {
  /** What the records say. */
  public enum Verdict {
    CANCELLED,
    NOT_CANCELLED,
    /** The store could not be read. */
    UNDECIDED
  }

  private final Cache cache;
  private final FinalStateLookup finalStates;

  /** Makes a resolver that looks up the final states which the copy of the records lacks. */
  public CancellationResolver(Cache cache, FinalStateLookup finalStates) {
    this.cache = cache;
    this.finalStates = finalStates;
  }

  /**
   * True if the copy of the records shows that a dependency of the job, or one of theirs, is
   * cancelled.
   *
   * @param unknown takes the ids of dependencies whose state the copy does not know
   */
  public static boolean cancelled(Cache cache, JobSpec job, Set<String> unknown) {
    Set<String> seen = new HashSet<>();
    Deque<JobSpec> next = new ArrayDeque<>();
    next.add(job);
    while (!next.isEmpty()) {
      for (String id : next.poll().dependencies()) {
        if (!seen.add(id)) {
          continue;
        }
        JobEntry live = cache.job(id);
        FinalState end = cache.finalState(id);
        if ((live != null && live.isCancelled()) || (end != null && end.cancelled())) {
          return true;
        }
        if (end == null && live != null) {
          next.add(live.spec);
        } else if (end == null) {
          unknown.add(id);
        }
      }
    }
    return false;
  }

  /** Decides for a job whose record has just been caught up with. */
  public void decide(JobEntry job, Consumer<Verdict> then) {
    if (job.spec.dependencies().isEmpty()) {
      then.accept(Verdict.NOT_CANCELLED);
      return;
    }
    Set<String> unknown = new HashSet<>();
    Verdict verdict = verdict(job, unknown);
    if (verdict != Verdict.UNDECIDED) {
      then.accept(verdict);
      return;
    }
    // A dependency was accepted before the job: if it isn't live, its final record is there.
    find(
        List.copyOf(unknown),
        found ->
            then.accept(
                found.contains(FinalStateLookup.Found.FAILED)
                    ? Verdict.UNDECIDED
                    : verdict(job, new HashSet<>())));
  }

  /** What the copy of the records says; undecided if it does not know all dependencies. */
  private Verdict verdict(JobEntry job, Set<String> unknown) {
    if (cancelled(cache, job.spec, unknown)) {
      return Verdict.CANCELLED;
    }
    return unknown.isEmpty() ? Verdict.NOT_CANCELLED : Verdict.UNDECIDED;
  }

  /** Looks for the final states of all of these; the results come in no order. */
  public void find(List<String> ids, Consumer<List<FinalStateLookup.Found>> then) {
    List<FinalStateLookup.Found> found = new ArrayList<>();
    if (ids.isEmpty()) {
      then.accept(found);
    }
    for (String id : ids) {
      finalStates.look(
          id,
          result -> {
            found.add(result);
            if (found.size() == ids.size()) {
              then.accept(found);
            }
          });
    }
  }
}
