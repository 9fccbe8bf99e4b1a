package graderelay.api;

import graderelay.core.JobSpec;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.FinalStateLookup;
import graderelay.state.JobEntry;
import graderelay.wire.FinalState;
import graderelay.wire.UserCodec;
import java.util.ArrayList;
import java.util.List;

/**
 * Checks the DAG dependencies of a submitted job against the store: each was accepted, which is so
 * for good, by whichever controller and version. Those that are done need not be kept. Runs on the
 * event loop.
 */
final class DependencyCheck {
  /** Hears how a check ended; neither is called if the check gave up with 503. */
  interface Outcome {
    /** The dependencies are sound; {@code spec} names those that are not done yet. */
    void accepted(JobSpec spec);

    /** The job can't be accepted for the reason that {@code error} gives. */
    void refused(ApiError error);
  }

  private final Cache cache;
  private final CancellationResolver dependencies;
  private final JobLookup lookup;

  DependencyCheck(Cache cache, CancellationResolver dependencies, JobLookup lookup) {
    this.cache = cache;
    this.dependencies = dependencies;
    this.lookup = lookup;
  }

  /** Checks a submission; retries while the store is busy, and answers 503 if it is unreachable. */
  void check(PendingAnswer pending, JobSpec spec, Outcome outcome) {
    if (spec.dependencies().isEmpty()) {
      outcome.accepted(spec);
      return;
    }
    if (unseen(spec).isEmpty()) {
      decide(pending, spec, List.of(), outcome); // Accepted once is accepted: the copy may lag.
      return;
    }
    cache.catchUp(
        ok -> {
          if (ok) {
            dependencies.lookUpFinalStates(
                unseen(spec), found -> decide(pending, spec, found, outcome));
          } else {
            lookup.retryOrGiveUp(pending, () -> check(pending, spec, outcome));
          }
        });
  }

  /** Dependencies of which this controller has seen neither the record nor the final state. */
  private List<String> unseen(JobSpec spec) {
    List<String> unseen = new ArrayList<>();
    for (String id : spec.dependencies()) {
      if (cache.job(id) == null && cache.finalState(id) == null) {
        unseen.add(id);
      }
    }
    return unseen;
  }

  /** Goes on once the final states of the unseen dependencies have been looked for. */
  private void decide(
      PendingAnswer pending, JobSpec spec, List<FinalStateLookup.Result> found, Outcome outcome) {
    if (found.contains(FinalStateLookup.Result.FAILED)) {
      lookup.retryOrGiveUp(pending, () -> check(pending, spec, outcome));
      return;
    }
    List<String> open = new ArrayList<>();
    for (String id : spec.dependencies()) {
      JobEntry live = cache.job(id);
      FinalState end = cache.finalState(id);
      if (live == null && end == null) {
        outcome.refused(unusable(id, "which was never accepted"));
        return;
      }
      if (live != null && live.spec.isService()) {
        outcome.refused(unusable(id, "a service, which is never done"));
        return;
      }
      if (end == null || end.cancelled()) {
        open.add(id);
      }
    }
    outcome.accepted(spec.withDependencies(open));
  }

  private static ApiError unusable(String id, String why) {
    return ApiError.unprocessable(UserCodec.DEPENDENCIES + " names " + id + ", " + why);
  }
}
