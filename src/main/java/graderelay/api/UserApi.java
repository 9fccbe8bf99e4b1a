package graderelay.api;

import graderelay.config.Settings;
import graderelay.core.MachineType;
import graderelay.net.Exchange;
import graderelay.net.Loop;
import graderelay.peer.RequestHedger;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.Cancellations;
import graderelay.state.FinalStateLookup;
import graderelay.state.StateClient;
import graderelay.state.TeamLimits;
import graderelay.wire.UserCodec;
import java.util.Collection;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Handles users' submissions, polls and cancellations, on any controller. Submissions and
 * cancellations are compare-and-swap writes. An answer about a job is preceded by a read of the
 * store, so it is never older than an earlier answer of any controller. Answers are JSON; 429 and
 * 503 answers have a Retry-After header. Runs on the event loop.
 */
public final class UserApi {
  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final JobLookup jobLookup;
  private final JobSubmissions submissions;
  private final JobCancellations cancellations;

  /**
   * Creates the handler of users' requests.
   *
   * @param machineTypes the machine types that the cloud offers, or null until they have been
   *     loaded
   * @param batchCapacity number of tasks in a task batch of a job that is submitted now
   */
  public UserApi(
      Loop loop,
      StateClient state,
      Cache cache,
      Cancellations cancellations,
      Settings settings,
      TeamLimits limits,
      Supplier<Collection<MachineType>> machineTypes,
      IntSupplier batchCapacity) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    FinalStateLookup finalStates =
        new FinalStateLookup(loop, state, cache, settings.minStoreLimits().txnOps());
    CancellationResolver cancellationResolver = new CancellationResolver(cache, finalStates);
    this.jobLookup =
        new JobLookup(cache, settings, cancellationResolver, finalStates, this::isStoreUnreachable);
    this.submissions =
        new JobSubmissions(
            loop,
            state,
            cache,
            settings,
            limits,
            machineTypes,
            batchCapacity,
            cancellationResolver,
            jobLookup,
            this::isStoreUnreachable);
    this.cancellations =
        new JobCancellations(loop, state, cache, cancellations, settings, jobLookup);
  }

  /**
   * True while calls to the store fail, so that this controller can't handle requests that need the
   * store.
   */
  public boolean isStoreUnreachable() {
    return !cache.isLoaded() || state.health().failingForS() > StateClient.CALL_TIMEOUT_S;
  }

  /** Answers a job submission; see {@link JobSubmissions}. */
  public void submit(Exchange exchange) {
    submissions.submit(exchange);
  }

  /** Answers a poll of job {@code id}: 200 with its status, 404, or 503 with Retry-After. */
  public void poll(Exchange exchange, String id) {
    Optional<ApiError> error = jobLookup.immediateError(id);
    if (error.isPresent()) {
      error.get().sendTo(exchange);
      return;
    }
    PendingAnswer pending = new PendingAnswer(loop, exchange, RequestHedger.POLL_DEADLINE_S);
    jobLookup.lookUp(
        pending,
        id,
        jobState -> {
          if (jobState == null) {
            pending.fail(ApiError.NO_SUCH_JOB);
          } else {
            pending.answer(
                200,
                UserCodec.encodeStatus(id, jobState.stage(), jobState.done(), jobState.running()));
          }
        });
  }

  /** Answers a cancellation of job {@code id}; see {@link JobCancellations}. */
  public void cancel(Exchange exchange, String id) {
    cancellations.cancel(exchange, id);
  }
}
