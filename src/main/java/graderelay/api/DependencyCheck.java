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
  interface Callback {
    /** The dependencies are sound; {@code spec} names those that are not done yet. */
    void onAccepted(JobSpec spec);

    /** The job can't be accepted for the reason that {@code error} gives. */
    void onRejected(ApiError error);
  }

  private final Cache cache;
  private final CancellationResolver cancellationResolver;
  private final JobLookup jobLookup;

  DependencyCheck(Cache cache, CancellationResolver cancellationResolver, JobLookup jobLookup) {
    this.cache = cache;
    this.cancellationResolver = cancellationResolver;
    this.jobLookup = jobLookup;
  }

  /** Checks a submission; retries while the store is busy, and answers 503 if it is unreachable. */
  void check(PendingAnswer pending, JobSpec spec, Callback callback) {
    if (spec.dependencies().isEmpty()) {
      callback.onAccepted(spec);
      return;
    }
    if (unseenDependencies(spec).isEmpty()) {
      decide(pending, spec, List.of(), callback); // Accepted once is accepted: the copy may lag.
      return;
    }
    cache.catchUp(
        caughtUp -> {
          if (caughtUp) {
            cancellationResolver.lookUpFinalStates(
                unseenDependencies(spec),
                lookupResults -> decide(pending, spec, lookupResults, callback));
          } else {
            jobLookup.retryOrFail(pending, () -> check(pending, spec, callback));
          }
        });
  }

  /** Dependencies of which this controller has seen neither the record nor the final state. */
  private List<String> unseenDependencies(JobSpec spec) {
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
      PendingAnswer pending,
      JobSpec spec,
      List<FinalStateLookup.Result> lookupResults,
      Callback callback) {
    if (lookupResults.contains(FinalStateLookup.Result.FAILED)) {
      jobLookup.retryOrFail(pending, () -> check(pending, spec, callback));
      return;
    }
    List<String> unfinished = new ArrayList<>();
    for (String id : spec.dependencies()) {
      JobEntry liveJob = cache.job(id);
      FinalState finalState = cache.finalState(id);
      if (liveJob == null && finalState == null) {
        callback.onRejected(unusableDependency(id, "which was never accepted"));
        return;
      }
      if (liveJob != null && liveJob.spec.isService()) {
        callback.onRejected(unusableDependency(id, "a service, which is never done"));
        return;
      }
      if (finalState == null || finalState.cancelled()) {
        unfinished.add(id);
      }
    }
    callback.onAccepted(spec.withDependencies(unfinished));
  }

  private static ApiError unusableDependency(String id, String reason) {
    return ApiError.unprocessable(UserCodec.DEPENDENCIES + " names " + id + ", " + reason);
  }
}
