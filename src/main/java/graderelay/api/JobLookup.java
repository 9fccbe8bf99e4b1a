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
 * Finds what is true of a job, after a read of the store that no earlier answer is newer than.
 * Gives up with 503 while the store can't be reached, and retries while it is only busy. Runs on
 * the event loop.
 */
final class JobLookup {
  private static final ApiError SUSPENDED =
      ApiError.unavailable("the owner may not know that the job is cancelled; ask again");

  private final Cache cache;
  private final Settings settings;
  private final CancellationResolver cancellationResolver;
  private final FinalStateLookup finalStates;
  private final BooleanSupplier storeUnreachable;

  /**
   * Makes a lookup.
   *
   * @param stateUnreachable true while calls to the store fail
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
   * Why a request about job {@code id} is refused without a look at the records: it is no job's id,
   * or the store can't be reached and the job's final state is not known here. Empty if neither.
   */
  Optional<ApiError> refusal(String id) {
    if (!UserCodec.isId(id)) {
      return Optional.of(ApiError.NO_SUCH_JOB);
    }
    if (cache.finalState(id) == null && storeUnreachable.getAsBoolean()) {
      return Optional.of(ApiError.STORE_UNREACHABLE);
    }
    return Optional.empty();
  }

  /** Answers 503 if the store can't be reached, else runs {@code again} after a moment. */
  void retryOrFail(PendingAnswer pending, Runnable retry) {
    if (storeUnreachable.getAsBoolean()) {
      pending.fail(ApiError.STORE_UNREACHABLE);
    } else {
      pending.retry(retry);
    }
  }

  /** Hands {@code then} what is true of job {@code id} now, or null if nobody ever submitted it. */
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

  /** A job may be cancelled with a DAG dependency of it, before anything says so of itself. */
  private void lookUpDependencies(
      PendingAnswer pending, JobEntry liveJob, Consumer<JobState> callback) {
    String id = liveJob.spec.id();
    cancellationResolver.resolve(
        liveJob,
        status -> {
          FinalState finalState = cache.finalState(id);
          if (finalState != null) {
            callback.accept(JobState.finished(finalState)); // It has ended while we looked.
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
   * True if the leader has suspended this controller. The leader then counts on hearing of every
   * cancellation that a user is told of by reading the records, also when it can't read them any
   * more: so none is confirmed here until the leader has lifted the suspension.
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
