package graderelay.api;

import graderelay.config.Settings;
import graderelay.net.Exchange;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
import graderelay.peer.RequestHedger;
import graderelay.state.Cache;
import graderelay.state.Cancellations;
import graderelay.state.JobEntry;
import graderelay.state.StateClient;
import graderelay.state.StoreOutcome;
import graderelay.state.Transaction;
import graderelay.wire.Json;
import graderelay.wire.StateCodec;
import graderelay.wire.UserCodec;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Job cancellations: the stop request is written into the job's record by a compare-and-swap that
 * competes with claims and with the job's end, and only while the leader has not suspended this
 * controller.
 */
final class JobCancellations {
  private static final Logger LOG = LoggerFactory.getLogger("users");

  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final Cancellations cancellations;
  private final Settings settings;
  private final JobLookup lookup;
  private final BooleanSupplier stateUnreachable;

  JobCancellations(
      Loop loop,
      StateClient state,
      Cache cache,
      Cancellations cancellations,
      Settings settings,
      JobLookup lookup,
      BooleanSupplier stateUnreachable) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.cancellations = cancellations;
    this.settings = settings;
    this.lookup = lookup;
    this.stateUnreachable = stateUnreachable;
  }

  /** Answers a cancellation of job {@code id}: 200 with its stage, 404, or 503 with Retry-After. */
  void cancel(Exchange e, String id) {
    if (!UserCodec.isId(id)) {
      UserApi.refuse(e, 404, "no such job");
      return;
    }
    if (cache.finalState(id) == null && stateUnreachable.getAsBoolean()) {
      UserApi.unavailable(e, "the state service can't be reached");
      return;
    }
    cancel(new PendingAnswer(loop, e, RequestHedger.USER_DEADLINE_S), id);
  }

  private void cancel(PendingAnswer p, String id) {
    lookup.look(
        p,
        id,
        f -> {
          if (f == null) {
            p.answer(404, Json.object().put("error", "no such job"));
          } else if (f.live() == null || f.live().isCancelled()) {
            p.answer(200, UserCodec.encodeStage(id, f.stage()));
          } else if (lookup.suspendedByLeader()) {
            p.unavailable("this controller may not cancel before the owner hears it again");
          } else {
            writeStopRequest(p, id, f.live());
          }
        });
  }

  /** Competes with claims and with the job's end for the job's record. */
  private void writeStopRequest(PendingAnswer p, String id, JobEntry live) {
    String key = StateCodec.jobKey(id);
    Transaction txn =
        new Transaction()
            .when(key, live.revision())
            .when(cache.election().suspensionKey(settings.member()), 0)
            .put(key, StateCodec.encodeJob(live.spec, true));
    state.commit(
        txn,
        Use.CLAIM,
        r -> {
          if (r.succeeded()) {
            cancellations.committed(id);
            LOG.info("stop request for {} recorded", id);
            p.answer(200, UserCodec.encodeStage(id, JobState.CANCELLED));
          } else if (r.outcome() == StoreOutcome.NOT_EXECUTED) {
            lookup.retryOrGiveUp(p, () -> cancel(p, id));
          } else {
            p.retry(() -> cancel(p, id));
          }
        });
  }
}
