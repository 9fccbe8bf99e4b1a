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
 * Checks the DAG dependencies of a submitted job against the store: each has to be a job that was
 * accepted. An accepted job stays accepted, whichever controller and version accepted it.
 * Dependencies that are done are dropped from the job's record. Runs on the event loop.
 */
final class DependencyCheck {
  /** Receives the result of a check; neither method is called if the check answered 503. */
  interface Callback {
    /** The dependencies are valid; {@code spec} keeps those that are not done yet. */
    void onAccepted(JobSpec spec);

    /** The job can't be accepted, for the reason in {@code error}. */
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

  /**
   * Checks a submission; retries while the store is overloaded, and answers 503 if it is
   * unreachable.
   */
  void check(PendingAnswer pending, JobSpec spec, Callback callback) {
    if (spec.dependencies().isEmpty()) {
      callback.onAccepted(spec);
      return;
    }
    if (uncachedDependencies(spec).isEmpty()) {
      decide(pending, spec, List.of(), callback); // Acceptance is permanent; the cache may lag.
      return;
    }
    cache.catchUp(
        caughtUp -> {
          if (caughtUp) {
            cancellationResolver.lookUpFinalStates(
                uncachedDependencies(spec),
                lookupResults -> decide(pending, spec, lookupResults, callback));
          } else {
            jobLookup.retryOrFail(pending, () -> check(pending, spec, callback));
          }
        });
  }

  /** Dependencies for which the cache has neither a job record nor a final state. */
  private List<String> uncachedDependencies(JobSpec spec) {
    List<String> uncached = new ArrayList<>();
    for (String id : spec.dependencies()) {
      if (cache.job(id) == null && cache.finalState(id) == null) {
        uncached.add(id);
      }
    }
    return uncached;
  }

  /**
   * Completes the check once the final states of the dependencies missing in the cache were looked
   * up.
   */
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
        callback.onRejected(unusableDependency(id, "a service, which never finishes"));
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
