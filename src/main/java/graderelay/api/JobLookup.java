package graderelay.api;

import graderelay.config.Settings;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.FinalStateLookup;
import graderelay.state.JobEntry;
import graderelay.wire.FinalState;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Finds what is true of a job, after a read of the state service that no earlier answer is newer
 * than. Gives up with 503 while the state service can't be reached, and retries while it is only
 * busy.
 */
final class JobLookup {
  private final Cache cache;
  private final Settings settings;
  private final CancellationResolver dependencies;
  private final FinalStateLookup finalStates;
  private final BooleanSupplier stateUnreachable;

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

  /** Answers 503 if the state service can't be reached, else runs {@code again} after a moment. */
  void retryOrGiveUp(PendingAnswer p, Runnable again) {
    if (stateUnreachable.getAsBoolean()) {
      p.unavailable("the state service can't be reached");
    } else {
      p.retry(again);
    }
  }

  /** Hands {@code then} what is true of job {@code id} now, or null if nobody ever submitted it. */
  void look(PendingAnswer p, String id, Consumer<JobState> then) {
    FinalState end = cache.finalState(id);
    if (end != null) {
      then.accept(JobState.ended(end));
      return;
    }
    cache.catchUp(
        ok -> {
          if (!ok) {
            retryOrGiveUp(p, () -> look(p, id, then));
            return;
          }
          JobEntry live = cache.job(id);
          if (live != null && live.isCancelled() && suspendedByLeader()) {
            p.unavailable("the owner may not know that the job is cancelled; ask again");
            return;
          }
          if (live != null && !live.isCancelled() && !live.spec.dependencies().isEmpty()) {
            withDependencies(p, live, then);
            return;
          }
          if (live != null) {
            then.accept(JobState.live(live));
            return;
          }
          FinalState seen = cache.finalState(id);
          if (seen != null) {
            then.accept(JobState.ended(seen));
            return;
          }
          lookForFinalState(p, id, then);
        });
  }

  /** A job may be cancelled with a DAG dependency of it, before anything says so of itself. */
  private void withDependencies(PendingAnswer p, JobEntry e, Consumer<JobState> then) {
    dependencies.decide(
        e,
        v -> {
          FinalState end = cache.finalState(e.spec.id());
          if (end != null) {
            then.accept(JobState.ended(end)); // It has ended while we looked.
          } else if (v == CancellationResolver.Verdict.CANCELLED) {
            then.accept(new JobState(JobState.CANCELLED, 0, 0, null));
          } else if (v == CancellationResolver.Verdict.NOT_CANCELLED) {
            then.accept(JobState.live(e));
          } else {
            retryOrGiveUp(p, () -> look(p, e.spec.id(), then));
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

  private void lookForFinalState(PendingAnswer p, String id, Consumer<JobState> then) {
    finalStates.look(
        id,
        found -> {
          FinalState e = cache.finalState(id);
          if (e != null) {
            then.accept(JobState.ended(e));
          } else if (found == FinalStateLookup.Found.ABSENT) {
            then.accept(null);
          } else {
            retryOrGiveUp(p, () -> look(p, id, then));
          }
        });
  }
}
