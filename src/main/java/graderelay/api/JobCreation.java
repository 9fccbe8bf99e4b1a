package graderelay.api;

import graderelay.config.Settings;
import graderelay.core.JobSpec;
import graderelay.core.MachineType;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.CallPriority;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.StateClient;
import graderelay.state.Transaction;
import graderelay.wire.Json;
import graderelay.wire.StateCodec;
import graderelay.wire.UserCodec;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Creates the record of a submitted job, on the condition that neither a record nor a final state
 * of the job exists, and answers 201. Runs on the event loop.
 */
final class JobCreation {
  /** Maximum lag of the cache, in seconds, at which a new job is answered from it. */
  private static final double MAX_CACHE_LAG_S = 3;

  private static final Logger LOG = LoggerFactory.getLogger("users");

  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final Settings settings;
  private final Supplier<Collection<MachineType>> machineTypes;
  private final JobLookup jobLookup;

  JobCreation(
      Loop loop,
      StateClient state,
      Cache cache,
      Settings settings,
      Supplier<Collection<MachineType>> machineTypes,
      JobLookup jobLookup) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.settings = settings;
    this.machineTypes = machineTypes;
    this.jobLookup = jobLookup;
  }

  /**
   * The error if the job's record exceeds the maximum size of a value, else empty. The lower of the
   * store's present and announced limits applies, so that the record still fits after a change of
   * the limits.
   */
  Optional<ApiError> sizeError(JobSpec spec) {
    int maxBytes = settings.minStoreLimits().valueBytes();
    if (Json.write(StateCodec.encodeJob(spec, true)).length <= maxBytes) {
      return Optional.empty();
    }
    JobSpec withoutDependencies = spec.withDependencies(List.of());
    if (Json.write(StateCodec.encodeJob(withoutDependencies, true)).length <= maxBytes) {
      String message =
          UserCodec.DEPENDENCIES + " names " + spec.dependencies().size() + " unfinished jobs";
      return Optional.of(ApiError.badRequest(message + ", more than fit into its record"));
    }
    return Optional.of(
        ApiError.badRequest("rigs names more machine types than fit into the job's record"));
  }

  /**
   * Writes the job's record and answers the request; runs {@code onConflict} if a record or a final
   * state of the job already exists.
   */
  void create(PendingAnswer pending, JobSpec spec, Runnable onConflict) {
    if (machineTypes.get() == null) {
      pending.fail(
          ApiError.unavailable("the machine types have not been loaded from the cloud yet"));
      return;
    }
    String key = StateCodec.jobKey(spec.id());
    Transaction txn =
        new Transaction()
            .when(key, 0)
            .when(StateCodec.finalStateKey(spec.id()), 0)
            .put(key, StateCodec.encodeJob(spec, false));
    Runnable retry = () -> create(pending, spec, onConflict);
    state.commit(
        txn,
        CallPriority.SUBMISSION,
        result -> {
          switch (result.outcome()) {
            case SUCCEEDED -> {
              logAccepted(pending, spec);
              answerCreated(pending, spec);
            }
            case CONDITION_FAILED -> onConflict.run();
            case NOT_EXECUTED -> jobLookup.retryOrFail(pending, retry);
            default -> pending.retry(retry);
          }
        });
  }

  private void logAccepted(PendingAnswer pending, JobSpec spec) {
    LOG.info(
        "accepted job {} in {} ms: class {}, team {}, {} tasks of {} CPUs, est. {} s, due in {} s",
        spec.id(),
        Math.round((loop.now() - pending.receivedAtS()) * 1000),
        spec.jobClass(),
        spec.team(),
        spec.tasks(),
        spec.cpus(),
        spec.estimateS(),
        spec.deadlineS());
  }

  /**
   * Answers 201 with the job's stage. The new job may already be cancelled, because a dependency
   * was cancelled. If the cache is recent and has the state of every dependency, a cancellation
   * that it misses is only a moment old, and the job counts as pending. Otherwise the store is
   * read.
   */
  private void answerCreated(PendingAnswer pending, JobSpec spec) {
    Set<String> unresolvedDependencies = new HashSet<>();
    boolean cancelled =
        CancellationResolver.isCancelledByDependency(cache, spec, unresolvedDependencies);
    boolean isFresh = loop.now() - cache.completeAsOf() < MAX_CACHE_LAG_S;
    if (cancelled || (isFresh && unresolvedDependencies.isEmpty())) {
      String stage = cancelled ? JobState.CANCELLED : JobState.PENDING;
      pending.answer(201, UserCodec.encodeStage(spec.id(), stage));
    } else {
      jobLookup.lookUp(
          pending,
          spec.id(),
          jobState -> pending.answer(201, UserCodec.encodeStage(spec.id(), jobState.stage())));
    }
  }
}
