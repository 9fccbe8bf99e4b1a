package graderelay.api;

import graderelay.config.Settings;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.FinalStateLookup;
import graderelay.state.JobEntry;
import graderelay.wire.FinalState;
import graderelay.wire.UserCodec;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Looks up the state of a job after a read of the store, so that the result is never older than an
 * earlier answer of any controller. Answers 503 while the store is unreachable, and retries while
 * it is only overloaded. Runs on the event loop.
 */
final class JobLookup {
  private static final ApiError SUSPENDED =
      ApiError.unavailable(
          "the leader may not have received the cancellation of the job yet; retry");

  private final Cache cache;
  private final Settings settings;
  private final CancellationResolver cancellationResolver;
  private final FinalStateLookup finalStates;
  private final BooleanSupplier storeUnreachable;

  /**
   * Creates a lookup.
   *
   * @param storeUnreachable true while calls to the store fail
   */
  JobLookup(
      Cache cache,
      Settings settings,
      CancellationResolver cancellationResolver,
      FinalStateLookup finalStates,
      BooleanSupplier storeUnreachable) {
    this.cache = cache;
    this.settings = settings;
    this.cancellationResolver = cancellationResolver;
    this.finalStates = finalStates;
    this.storeUnreachable = storeUnreachable;
  }

  /**
   * The error for a request about job {@code id} that is refused without reading the store: the id
   * is malformed, or the store is unreachable and the cache has no final state of the job. Empty
   * otherwise.
   */
  Optional<ApiError> immediateError(String id) {
    if (!UserCodec.isJobId(id)) {
      return Optional.of(ApiError.NO_SUCH_JOB);
    }
    if (cache.finalState(id) == null && storeUnreachable.getAsBoolean()) {
      return Optional.of(ApiError.STORE_UNREACHABLE);
    }
    return Optional.empty();
  }

  /** Answers 503 if the store is unreachable, else runs {@code retry} after a short delay. */
  void retryOrFail(PendingAnswer pending, Runnable retry) {
    if (storeUnreachable.getAsBoolean()) {
      pending.fail(ApiError.STORE_UNREACHABLE);
    } else {
      pending.retry(retry);
    }
  }

  /** Calls back with the present state of job {@code id}, or with null if it was never accepted. */
  void lookUp(PendingAnswer pending, String id, Consumer<JobState> callback) {
    FinalState finalState = cache.finalState(id);
    if (finalState != null) {
      callback.accept(JobState.finished(finalState));
      return;
    }
    cache.catchUp(
        caughtUp -> {
          if (caughtUp) {
            lookUpInFreshCache(pending, id, callback);
          } else {
            retryOrFail(pending, () -> lookUp(pending, id, callback));
          }
        });
  }

  private void lookUpInFreshCache(PendingAnswer pending, String id, Consumer<JobState> callback) {
    JobEntry liveJob = cache.job(id);
    if (liveJob == null) {
      lookUpFinished(pending, id, callback);
    } else if (liveJob.isCancelled() && isSuspendedByLeader()) {
      pending.fail(SUSPENDED);
    } else if (!liveJob.isCancelled() && !liveJob.spec.dependencies().isEmpty()) {
      lookUpDependencies(pending, liveJob, callback);
    } else {
      callback.accept(JobState.liveJob(liveJob));
    }
  }

  private void lookUpFinished(PendingAnswer pending, String id, Consumer<JobState> callback) {
    FinalState finalState = cache.finalState(id);
    if (finalState != null) {
      callback.accept(JobState.finished(finalState));
    } else {
      fetchFinalState(pending, id, callback);
    }
  }

  /**
   * Checks the DAG dependencies of a job: if one was cancelled, so is the job, even before its own
   * record says so.
   */
  private void lookUpDependencies(
      PendingAnswer pending, JobEntry liveJob, Consumer<JobState> callback) {
    String id = liveJob.spec.id();
    cancellationResolver.resolve(
        liveJob,
        status -> {
          FinalState finalState = cache.finalState(id);
          if (finalState != null) {
            callback.accept(JobState.finished(finalState)); // The job ended during the lookup.
          } else if (status == CancellationResolver.Status.CANCELLED) {
            callback.accept(JobState.cancelledByDependency());
          } else if (status == CancellationResolver.Status.NOT_CANCELLED) {
            callback.accept(JobState.liveJob(liveJob));
          } else {
            retryOrFail(pending, () -> lookUp(pending, id, callback));
          }
        });
  }

  /**
   * True if the leader has suspended this controller. The leader then no longer queries this
   * controller for cancellations, not even after it loses access to the store. So this controller
   * confirms no cancellation that it reads from the records until the leader has lifted the
   * suspension.
   */
  boolean isSuspendedByLeader() {
    return cache.suspension(settings.member()) != null;
  }

  private void fetchFinalState(PendingAnswer pending, String id, Consumer<JobState> callback) {
    finalStates.lookUp(
        id,
        result -> {
          FinalState finalState = cache.finalState(id);
          if (finalState != null) {
            callback.accept(JobState.finished(finalState));
          } else if (result == FinalStateLookup.Result.ABSENT) {
            callback.accept(null);
          } else {
            retryOrFail(pending, () -> lookUp(pending, id, callback));
          }
        });
  }
}
