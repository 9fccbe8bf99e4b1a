package graderelay.api;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.config.Settings;
import graderelay.constants.Constants;
import graderelay.core.JobSpec;
import graderelay.core.MachineType;
import graderelay.core.TaskBatchRecord;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.Cancellations;
import graderelay.state.FinalStateLookup;
import graderelay.state.StateClient;
import graderelay.state.StateClient.How;
import graderelay.state.TeamLimits;
import graderelay.wire.BadRequest;
import graderelay.wire.Json;
import graderelay.wire.StateCodec;
import graderelay.wire.UserCodec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Submissions, polls and cancellations, on any controller. A submission and a cancellation are
 * conditional writes; an answer about a job follows a read that no earlier answer is newer than.
 */
public final class UserApi {
  private static final Logger LOG = LoggerFactory.getLogger("users");

  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final Cancellations cancellations;
  private final Settings settings;
  private final TeamLimits limits;
  private final Supplier<Collection<MachineType>> types;
  private final IntSupplier sliceCap;
  private final FinalStateLookup ends;
  private final CancellationResolver needs;
  private int submissions;

  public UserApi(
      Loop loop,
      StateClient state,
      Cache cache,
      Cancellations cancellations,
      Settings settings,
      TeamLimits limits,
      Supplier<Collection<MachineType>> types,
      IntSupplier sliceCap) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.cancellations = cancellations;
    this.settings = settings;
    this.limits = limits;
    this.types = types;
    this.sliceCap = sliceCap;
    this.ends = new FinalStateLookup(loop, state, cache, settings.least().txnOps());
    this.needs = new CancellationResolver(cache, ends);
  }

  /** A request that is answered once, at the latest when its time is up. */
  private final class Pending {
    final Consumer<Answer> to;
    private final double since = loop.now();
    private boolean over;
    private final Loop.Timer timer;

    Pending(Exchange e, double seconds) {
      this.to = e.to();
      this.timer = loop.after(seconds, () -> unavailable("the state service did not answer"));
    }

    void answer(int status, JsonNode body) {
      send(Answer.json(status, Json.write(body)));
    }

    void unavailable(String why) {
      send(Answer.later(503, Json.error(why)));
    }

    void send(Answer a) {
      if (!over) {
        over = true;
        timer.cancel();
        to.accept(a);
      }
    }

    /** Tries again after a moment; when the time is up the answer has been given. */
    void retry(Runnable r) {
      loop.after(
          Constants.STATE_RETRY_S / 2,
          () -> {
            if (!over) {
              r.run();
            }
          });
    }
  }

  public static void refuse(Exchange e, int status, String why) {
    e.to().accept(Answer.json(status, Json.error(why)));
  }

  public static void unavailable(Exchange e, String why) {
    e.to().accept(Answer.later(503, Json.error(why)));
  }

  /** True while calls to the state service fail: then nothing can be decided here. */
  public boolean stateAway() {
    return !cache.loaded() || state.failingFor() > Constants.STATE_TIMEOUT_S;
  }

  // ---------------------------------------------------------------- submissions

  public void submit(Exchange e) {
    JobSpec spec;
    try {
      spec = UserCodec.submission(Json.read(e.body()), loop.wallMs(), sliceCap.getAsInt());
    } catch (BadRequest b) {
      refuse(e, 400, b.getMessage());
      return;
    }
    if (cache.end(spec.id()) != null) {
      accepted(e, spec.id());
      return;
    }
    if (stateAway()) {
      unavailable(e, "the state service can't be reached");
      return;
    }
    double longest = e.relayed() ? Constants.HANDED_ON_WAIT_S : Constants.LONGEST_SUBMISSION_WAIT_S;
    boolean tooLate = state.changeTokens().waitingS() > longest && cache.job(spec.id()) == null;
    if (submissions >= Constants.MOST_SUBMISSIONS || tooLate) {
      e.to().accept(Answer.later(429, Json.error("too many submissions at once")));
      return;
    }
    submissions++;
    Exchange counted =
        e.answeredTo(
            a -> {
              submissions--;
              e.to().accept(a);
            });
    Pending p = new Pending(counted, Constants.USER_DEADLINE_S);
    if (cache.job(spec.id()) != null) {
      known(p, spec);
      return;
    }
    String never = neverRuns(spec);
    if (never == null) {
      admit(p, spec);
    } else {
      // A retry of a job that was accepted once is told so, whatever has changed since.
      known(p, spec);
    }
  }

  private void accepted(Exchange e, String id) {
    Cache.End end = cache.end(id);
    e.to().accept(Answer.json(200, Json.write(UserCodec.stage(id, stageOf(end)))));
  }

  private static String stageOf(Cache.End end) {
    return end.cancelled() ? "cancelled" : "done";
  }

  /**
   * Why a job can never run, as far as this node knows; null if it can. Users take a refusal for
   * good, so none is given before the records, of limits too, have been read anew.
   */
  private String neverRuns(JobSpec s) {
    String forbidden = limits.forbids(s);
    if (forbidden != null) {
      return forbidden;
    }
    Collection<MachineType> all = types.get();
    if (all != null && all.stream().noneMatch(s::fits)) {
      return "a task fits no allowed machine type";
    }
    return null;
  }

  private void create(Pending p, JobSpec spec) {
    if (types.get() == null) {
      p.unavailable("the machine types are not known yet");
      return;
    }
    String key = StateCodec.jobKey(spec.id());
    StateClient.Txn txn =
        new StateClient.Txn()
            .when(key, 0)
            .when(StateCodec.endKey(spec.id()), 0)
            .put(key, StateCodec.job(spec, false));
    state.commit(
        txn,
        Use.SUBMISSION,
        r -> {
          switch (r.how()) {
            case DONE -> {
              LOG.info(
                  "accepted {} after {} ms: {} of {}, {} tasks of {} CPUs, estimate {} s, due in {} s",
                  spec.id(),
                  Math.round((loop.now() - p.since) * 1000),
                  spec.jobClass(),
                  spec.team(),
                  spec.tasks(),
                  spec.cpus(),
                  spec.estimateS(),
                  spec.deadlineS());
              created(p, spec);
            }
            case CONFLICT -> known(p, spec);
            case NOT_EXECUTED -> overloaded(p, () -> create(p, spec));
            default -> p.retry(() -> create(p, spec));
          }
        });
  }

  /**
   * It may be cancelled already, with a job that it names. That one was cancelled a moment ago if
   * this node's copy doesn't say so, since it lags by little; only of ends that it never saw it has
   * to ask.
   */
  private void created(Pending p, JobSpec spec) {
    Set<String> unknown = new HashSet<>();
    boolean cancelled = CancellationResolver.cancelled(cache, spec, unknown);
    boolean fresh = loop.now() - cache.knownUntil() < Constants.FRESH_S;
    if (cancelled || (fresh && unknown.isEmpty())) {
      p.answer(201, UserCodec.stage(spec.id(), cancelled ? "cancelled" : "pending"));
    } else {
      look(p, spec.id(), f -> p.answer(201, UserCodec.stage(spec.id(), f.stage())));
    }
  }

  private void overloaded(Pending p, Runnable again) {
    if (stateAway()) {
      p.unavailable("the state service can't be reached");
    } else {
      p.retry(again);
    }
  }

  /** Answers for a job that may have been accepted before. */
  private void known(Pending p, JobSpec spec) {
    look(
        p,
        spec.id(),
        found -> {
          if (found != null) {
            p.answer(200, UserCodec.stage(spec.id(), found.stage()));
            return;
          }
          String never = neverRuns(spec);
          if (never != null) {
            p.answer(422, Json.object().put("error", never));
          } else {
            admit(p, spec);
          }
        });
  }

  // ---------------------------------------------------------------- dependencies

  /**
   * Checks the jobs that a job needs against the state service: each was accepted, which is so for
   * good, by whichever node and version. Those that are done need not be kept.
   */
  private void admit(Pending p, JobSpec spec) {
    if (spec.needs().isEmpty()) {
      fit(p, spec);
      return;
    }
    if (unknown(spec).isEmpty()) {
      needed(p, spec, List.of()); // Accepted once is accepted, so the copy may lag.
      return;
    }
    cache.catchUp(
        ok -> {
          if (ok) {
            needs.find(unknown(spec), found -> needed(p, spec, found));
          } else {
            overloaded(p, () -> admit(p, spec));
          }
        });
  }

  /** Named jobs of which this node has seen neither the record nor the end. */
  private List<String> unknown(JobSpec spec) {
    List<String> unknown = new ArrayList<>();
    for (String id : spec.needs()) {
      if (cache.job(id) == null && cache.end(id) == null) {
        unknown.add(id);
      }
    }
    return unknown;
  }

  private void needed(Pending p, JobSpec spec, List<FinalStateLookup.Found> found) {
    if (found.contains(FinalStateLookup.Found.FAILED)) {
      overloaded(p, () -> admit(p, spec));
      return;
    }
    List<String> open = new ArrayList<>();
    for (String id : spec.needs()) {
      Cache.Entry live = cache.job(id);
      Cache.End end = cache.end(id);
      if (live == null && end == null) {
        refuseUnlessKnown(
            p, spec, 422, UserCodec.NEEDS + " names " + id + ", which was never accepted");
        return;
      }
      if (live != null && live.spec.isService()) {
        refuseUnlessKnown(
            p, spec, 422, UserCodec.NEEDS + " names " + id + ", a service, which is never done");
        return;
      }
      if (end == null || end.cancelled()) {
        open.add(id);
      }
    }
    fit(p, spec.needing(open));
  }

  /** The record has to fit a value, also when the state service's limits have become smaller. */
  private void fit(Pending p, JobSpec spec) {
    int most = settings.least().valueBytes();
    if (Json.write(StateCodec.job(spec, true)).length <= most) {
      create(p, spec);
    } else if (Json.write(StateCodec.job(spec.needing(List.of()), true)).length <= most) {
      int open = spec.needs().size();
      refuseUnlessKnown(
          p,
          spec,
          400,
          UserCodec.NEEDS + " names " + open + " jobs that are not over, more than a job may");
    } else {
      refuseUnlessKnown(p, spec, 400, "rigs names more machine types than a job may");
    }
  }

  /** A retry of a job that was accepted is told so, whatever has become of what it names. */
  private void refuseUnlessKnown(Pending p, JobSpec spec, int status, String why) {
    look(
        p,
        spec.id(),
        found -> {
          if (found != null) {
            p.answer(200, UserCodec.stage(spec.id(), found.stage()));
          } else {
            p.answer(status, Json.object().put("error", why));
          }
        });
  }

  // ---------------------------------------------------------------- polls

  private record Found(String stage, int done, int running, Cache.Entry live) {}

  /** What is true of a job now, or null if nobody ever submitted it. */
  private void look(Pending p, String id, Consumer<Found> then) {
    Cache.End end = cache.end(id);
    if (end != null) {
      then.accept(ended(end));
      return;
    }
    cache.catchUp(
        ok -> {
          if (!ok) {
            if (stateAway()) {
              p.unavailable("the state service can't be reached");
            } else {
              p.retry(() -> look(p, id, then));
            }
            return;
          }
          Cache.Entry live = cache.job(id);
          if (live != null && live.stop && barred()) {
            p.unavailable("the owner may not know that the job is cancelled; ask again");
            return;
          }
          if (live != null && !live.stop && !live.spec.needs().isEmpty()) {
            withNeeded(p, live, then);
            return;
          }
          if (live != null) {
            then.accept(live(live));
            return;
          }
          Cache.End seen = cache.end(id);
          if (seen != null) {
            then.accept(ended(seen));
            return;
          }
          lookForEnd(p, id, then);
        });
  }

  /** A job may be cancelled with one that it needs, before anything says so of itself. */
  private void withNeeded(Pending p, Cache.Entry e, Consumer<Found> then) {
    needs.decide(
        e,
        v -> {
          Cache.End end = cache.end(e.spec.id());
          if (end != null) {
            then.accept(ended(end)); // It has ended while we looked.
          } else if (v == CancellationResolver.Verdict.CANCELLED) {
            then.accept(new Found("cancelled", 0, 0, null));
          } else if (v == CancellationResolver.Verdict.NOT_CANCELLED) {
            then.accept(live(e));
          } else if (stateAway()) {
            p.unavailable("the state service can't be reached");
          } else {
            p.retry(() -> look(p, e.spec.id(), then));
          }
        });
  }

  /**
   * True if the owner has barred this controller. It then counts on hearing of every cancellation
   * that a user is told of by reading the records, also when it can't read them any more: so none
   * is confirmed here until the owner has lifted the bar.
   */
  private boolean barred() {
    return cache.bar(settings.member()) != null;
  }

  private void lookForEnd(Pending p, String id, Consumer<Found> then) {
    ends.look(
        id,
        found -> {
          Cache.End e = cache.end(id);
          if (e != null) {
            then.accept(ended(e));
          } else if (found == FinalStateLookup.Found.ABSENT) {
            then.accept(null);
          } else if (stateAway()) {
            p.unavailable("the state service can't be reached");
          } else {
            p.retry(() -> look(p, id, then));
          }
        });
  }

  private static Found ended(Cache.End e) {
    return new Found(stageOf(e), e.cancelled() ? 0 : e.tasks(), 0, null);
  }

  private static Found live(Cache.Entry e) {
    int done = 0;
    int claimed = 0;
    for (Cache.SliceEntry s : e.slices.values()) {
      TaskBatchRecord r = s.record();
      done += r.doneCount();
      claimed += r.claimedCount();
    }
    String stage = e.stop ? "cancelled" : claimed > 0 ? "running" : "pending";
    return new Found(stage, done, e.stop ? 0 : claimed, e);
  }

  public void poll(Exchange e, String id) {
    if (!UserCodec.isId(id)) {
      refuse(e, 404, "no such job");
      return;
    }
    if (cache.end(id) == null && stateAway()) {
      unavailable(e, "the state service can't be reached");
      return;
    }
    Pending p = new Pending(e, Constants.POLL_DEADLINE_S);
    look(
        p,
        id,
        f -> {
          if (f == null) {
            p.answer(404, Json.object().put("error", "no such job"));
          } else {
            p.answer(200, UserCodec.status(id, f.stage(), f.done(), f.running()));
          }
        });
  }

  // ---------------------------------------------------------------- cancellations

  public void cancel(Exchange e, String id) {
    if (!UserCodec.isId(id)) {
      refuse(e, 404, "no such job");
      return;
    }
    if (cache.end(id) == null && stateAway()) {
      unavailable(e, "the state service can't be reached");
      return;
    }
    cancel(new Pending(e, Constants.USER_DEADLINE_S), id);
  }

  private void cancel(Pending p, String id) {
    look(
        p,
        id,
        f -> {
          if (f == null) {
            p.answer(404, Json.object().put("error", "no such job"));
          } else if (f.live() == null || f.live().stop) {
            p.answer(200, UserCodec.stage(id, f.stage()));
          } else if (barred()) {
            p.unavailable("this controller may not cancel before the owner hears it again");
          } else {
            stop(p, id, f.live());
          }
        });
  }

  /** Competes with claims and with the job's end for the job's record. */
  private void stop(Pending p, String id, Cache.Entry live) {
    String key = StateCodec.jobKey(id);
    StateClient.Txn txn =
        new StateClient.Txn()
            .when(key, live.mark)
            .when(cache.election().suspensionKey(settings.member()), 0)
            .put(key, StateCodec.job(live.spec, true));
    state.commit(
        txn,
        Use.CLAIM,
        r -> {
          if (r.done()) {
            cancellations.committed(id);
            LOG.info("stop request for {} recorded", id);
            p.answer(200, UserCodec.stage(id, "cancelled"));
          } else if (r.how() == How.NOT_EXECUTED) {
            overloaded(p, () -> cancel(p, id));
          } else {
            p.retry(() -> cancel(p, id));
          }
        });
  }
}
