package graderelay.api;

import graderelay.config.Settings;
import graderelay.net.Exchange;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.CallPriority;
import graderelay.peer.RequestHedger;
import graderelay.state.Cache;
import graderelay.state.Cancellations;
import graderelay.state.JobEntry;
import graderelay.state.StateClient;
import graderelay.state.StoreOutcome;
import graderelay.state.Transaction;
import graderelay.wire.StateCodec;
import graderelay.wire.UserCodec;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles job cancellations. The stop request is written to the job's record by a compare-and-swap
 * that conflicts with concurrent claims and with the job's completion. It is written only while the
 * leader has not suspended this controller. Runs on the event loop.
 */
final class JobCancellations {
  private static final Logger LOG = LoggerFactory.getLogger("users");

  private static final ApiError SUSPENDED =
      ApiError.unavailable("the leader has suspended cancellations on this controller");

  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final Cancellations cancellations;
  private final Settings settings;
  private final JobLookup jobLookup;

  JobCancellations(
      Loop loop,
      StateClient state,
      Cache cache,
      Cancellations cancellations,
      Settings settings,
      JobLookup jobLookup) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.cancellations = cancellations;
    this.settings = settings;
    this.jobLookup = jobLookup;
  }

  /** Answers a cancellation of job {@code id}: 200 with its stage, 404, or 503 with Retry-After. */
  void cancel(Exchange exchange, String id) {
    Optional<ApiError> error = jobLookup.immediateError(id);
    if (error.isPresent()) {
      error.get().sendTo(exchange);
      return;
    }
    cancel(new PendingAnswer(loop, exchange, RequestHedger.USER_DEADLINE_S), id);
  }

  private void cancel(PendingAnswer pending, String id) {
    jobLookup.lookUp(
        pending,
        id,
        jobState -> {
          if (jobState == null) {
            pending.fail(ApiError.NO_SUCH_JOB);
          } else if (jobState.liveJob() == null || jobState.liveJob().isCancelled()) {
            pending.answer(200, UserCodec.encodeStage(id, jobState.stage()));
          } else if (jobLookup.isSuspendedByLeader()) {
            pending.fail(SUSPENDED);
          } else {
            writeStopRequest(pending, id, jobState.liveJob());
          }
        });
  }

  /**
   * Writes the stop request to the job's record; conflicts with concurrent claims and with
   * completion.
   */
  private void writeStopRequest(PendingAnswer pending, String id, JobEntry liveJob) {
    String key = StateCodec.jobKey(id);
    Transaction txn =
        new Transaction()
            .when(key, liveJob.revision())
            .when(cache.election().suspensionKey(settings.member()), 0)
            .put(key, StateCodec.encodeJob(liveJob.spec, true));
    state.commit(
        txn,
        CallPriority.CLAIM,
        result -> {
          if (result.succeeded()) {
            cancellations.onCommitted(id);
            LOG.info("recorded stop request for job {}", id);
            pending.answer(200, UserCodec.encodeStage(id, JobState.CANCELLED));
          } else if (result.outcome() == StoreOutcome.NOT_EXECUTED) {
            jobLookup.retryOrFail(pending, () -> cancel(pending, id));
          } else {
            pending.retry(() -> cancel(pending, id));
          }
        });
  }
}
