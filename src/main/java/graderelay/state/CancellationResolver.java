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
 * Whether a job is cancelled with one that it needs. Derived from the records of the needed jobs
 * alone, so that every controller says so as soon as the one conditional write on the cancelled job
 * has committed, however far the leader is with the ends of those that need it.
 */
public final class CancellationResolver {
  /** What the records say. */
  public enum Verdict {
    CANCELLED,
    NOT_CANCELLED,
    /** The state service did not tell. */
    UNDECIDED
  }

  private final Cache cache;
  private final FinalStateLookup ends;

  public CancellationResolver(Cache cache, FinalStateLookup ends) {
    this.cache = cache;
    this.ends = ends;
  }

  /** What this node's copy says; ids whose end it does not know are added to {@code unknown}. */
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
  public void decide(JobEntry e, Consumer<Verdict> then) {
    if (e.spec.dependencies().isEmpty()) {
      then.accept(Verdict.NOT_CANCELLED);
      return;
    }
    Set<String> unknown = new HashSet<>();
    if (cancelled(cache, e.spec, unknown)) {
      then.accept(Verdict.CANCELLED);
    } else if (unknown.isEmpty()) {
      then.accept(Verdict.NOT_CANCELLED);
    } else {
      // A needed job was accepted before: if it isn't live, its final record is there.
      look(unknown, all -> then.accept(all ? after(e) : Verdict.UNDECIDED));
    }
  }

  private Verdict after(JobEntry e) {
    Set<String> unknown = new HashSet<>();
    boolean is = cancelled(cache, e.spec, unknown);
    return is ? Verdict.CANCELLED : unknown.isEmpty() ? Verdict.NOT_CANCELLED : Verdict.UNDECIDED;
  }

  private void look(Set<String> ids, Consumer<Boolean> then) {
    find(List.copyOf(ids), found -> then.accept(!found.contains(FinalStateLookup.Found.FAILED)));
  }

  /** Looks for the final records of all of these; the answers come in no order. */
  public void find(List<String> ids, Consumer<List<FinalStateLookup.Found>> then) {
    List<FinalStateLookup.Found> found = new ArrayList<>();
    if (ids.isEmpty()) {
      then.accept(found);
    }
    for (String id : ids) {
      ends.look(
          id,
          f -> {
            found.add(f);
            if (found.size() == ids.size()) {
              then.accept(found);
            }
          });
    }
  }
}
