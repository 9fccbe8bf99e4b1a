package graderelay.api;

import graderelay.config.Settings;
import graderelay.core.MachineType;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.net.Loop;
import graderelay.peer.RequestHedger;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.Cancellations;
import graderelay.state.FinalStateLookup;
import graderelay.state.StateClient;
import graderelay.state.TeamLimits;
import graderelay.wire.Json;
import graderelay.wire.UserCodec;
import java.util.Collection;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Submissions, polls and cancellations, on any controller. A submission and a cancellation are
 * compare-and-swap writes; an answer about a job follows a read that no earlier answer is newer
 * than. Answers are JSON; 503 answers carry Retry-After.
 */
public final class UserApi {
  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final JobLookup lookup;
  private final JobSubmissions submissions;
  private final JobCancellations cancellations;

  /**
   * Makes the handler of the users' requests: submissions, polls and cancellations.
   *
   * @param types the machine types that may be rented, or null while they are not known yet
   * @param batchCapacity tasks in one task batch of a job submitted now
   */
  public UserApi(
      Loop loop,
      StateClient state,
      Cache cache,
      Cancellations cancellations,
      Settings settings,
      TeamLimits limits,
      Supplier<Collection<MachineType>> types,
      IntSupplier batchCapacity) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    FinalStateLookup finalStates =
        new FinalStateLookup(loop, state, cache, settings.least().txnOps());
    CancellationResolver dependencies = new CancellationResolver(cache, finalStates);
    this.lookup = new JobLookup(cache, settings, dependencies, finalStates, this::stateAway);
    this.submissions =
        new JobSubmissions(
            loop,
            state,
            cache,
            settings,
            limits,
            types,
            batchCapacity,
            dependencies,
            lookup,
            this::stateAway);
    this.cancellations =
        new JobCancellations(loop, state, cache, cancellations, settings, lookup, this::stateAway);
  }

  /** Answers {@code status} with a JSON body {@code {"error": why}}. */
  public static void refuse(Exchange e, int status, String why) {
    e.to().accept(Answer.json(status, Json.error(why)));
  }

  /** Answers 503 with Retry-After and a JSON body {@code {"error": why}}. */
  public static void unavailable(Exchange e, String why) {
    e.to().accept(Answer.later(503, Json.error(why)));
  }

  /** True while calls to the state service fail: then nothing can be decided here. */
  public boolean stateAway() {
    return !cache.loaded() || state.health().failingForS() > StateClient.STATE_TIMEOUT_S;
  }

  /** Answers a job submission; see {@link JobSubmissions}. */
  public void submit(Exchange e) {
    submissions.submit(e);
  }

  /** Answers a poll of job {@code id}: 200 with its status, 404, or 503 with Retry-After. */
  public void poll(Exchange e, String id) {
    if (!UserCodec.isId(id)) {
      refuse(e, 404, "no such job");
      return;
    }
    if (cache.finalState(id) == null && stateAway()) {
      unavailable(e, "the state service can't be reached");
      return;
    }
    PendingAnswer p = new PendingAnswer(loop, e, RequestHedger.POLL_DEADLINE_S);
    lookup.look(
        p,
        id,
        f -> {
          if (f == null) {
            p.answer(404, Json.object().put("error", "no such job"));
          } else {
            p.answer(200, UserCodec.encodeStatus(id, f.stage(), f.done(), f.running()));
          }
        });
  }

  /** Answers a cancellation of job {@code id}; see {@link JobCancellations}. */
  public void cancel(Exchange e, String id) {
    cancellations.cancel(e, id);
  }
}
