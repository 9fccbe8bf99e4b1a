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
  private final CancellationResolver dependencies;
  private final FinalStateLookup finalStates;
  private final BooleanSupplier stateUnreachable;

  /**
   * Makes a lookup.
   *
   * @param stateUnreachable true while calls to the store fail
   */
  JobLookup(
      Cache cache,
      Settings settings,
      CancellationResolver dependencies,
      FinalStateLookup finalStates,
      BooleanSupplier stateUnreachable) {
    this.cache = cache;
    this.settings = settings;
    this.dependencies = dependencies;
    this.finalStates = finalStates;
    this.stateUnreachable = stateUnreachable;
  }

  /**
   * Why a request about job {@code id} is refused without a look at the records: it is no job's id,
   * or the store can't be reached and the job's final state is not known here. Empty if neither.
   */
  Optional<ApiError> refusal(String id) {
    if (!UserCodec.isJobId(id)) {
      return Optional.of(ApiError.NO_SUCH_JOB);
    }
    if (cache.finalState(id) == null && stateUnreachable.getAsBoolean()) {
      return Optional.of(ApiError.STORE_UNREACHABLE);
    }
    return Optional.empty();
  }

  /** Answers 503 if the store can't be reached, else runs {@code again} after a moment. */
  void retryOrGiveUp(PendingAnswer pending, Runnable again) {
    if (stateUnreachable.getAsBoolean()) {
      pending.fail(ApiError.STORE_UNREACHABLE);
    } else {
      pending.retry(again);
    }
  }

  /** Hands {@code then} what is true of job {@code id} now, or null if nobody ever submitted it. */
  void look(PendingAnswer pending, String id, Consumer<JobState> then) {
    FinalState end = cache.finalState(id);
    if (end != null) {
      then.accept(JobState.ended(end));
      return;
    }
    cache.catchUp(
        ok -> {
          if (ok) {
            lookInFreshCopy(pending, id, then);
          } else {
            retryOrGiveUp(pending, () -> look(pending, id, then));
          }
        });
  }

  private void lookInFreshCopy(PendingAnswer pending, String id, Consumer<JobState> then) {
    JobEntry live = cache.job(id);
    if (live == null) {
      lookAmongEnded(pending, id, then);
    } else if (live.isCancelled() && suspendedByLeader()) {
      pending.fail(SUSPENDED);
    } else if (!live.isCancelled() && !live.spec.dependencies().isEmpty()) {
      lookAtDependencies(pending, live, then);
    } else {
      then.accept(JobState.live(live));
    }
  }

  private void lookAmongEnded(PendingAnswer pending, String id, Consumer<JobState> then) {
    FinalState end = cache.finalState(id);
    if (end != null) {
      then.accept(JobState.ended(end));
    } else {
      lookForFinalState(pending, id, then);
    }
  }

  /** A job may be cancelled with a DAG dependency of it, before anything says so of itself. */
  private void lookAtDependencies(PendingAnswer pending, JobEntry live, Consumer<JobState> then) {
    String id = live.spec.id();
    dependencies.resolve(
        live,
        verdict -> {
          FinalState end = cache.finalState(id);
          if (end != null) {
            then.accept(JobState.ended(end)); // It has ended while we looked.
          } else if (verdict == CancellationResolver.Status.CANCELLED) {
            then.accept(JobState.cancelledWithDependency());
          } else if (verdict == CancellationResolver.Status.NOT_CANCELLED) {
            then.accept(JobState.live(live));
          } else {
            retryOrGiveUp(pending, () -> look(pending, id, then));
          }
        });
  }

  /**
   * True if the leader has suspended this controller. The leader then counts on hearing of every
   * cancellation that a user is told of by reading the records, also when it can't read them any
   * more: so none is confirmed here until the leader has lifted the suspension.
   */
  boolean suspendedByLeader() {
    return cache.suspension(settings.member()) != null;
  }

  private void lookForFinalState(PendingAnswer pending, String id, Consumer<JobState> then) {
    finalStates.lookUp(
        id,
        found -> {
          FinalState end = cache.finalState(id);
          if (end != null) {
            then.accept(JobState.ended(end));
          } else if (found == FinalStateLookup.Result.ABSENT) {
            then.accept(null);
          } else {
            retryOrGiveUp(pending, () -> look(pending, id, then));
          }
        });
  }
}
