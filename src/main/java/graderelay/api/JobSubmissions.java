package graderelay.api;

import graderelay.config.Settings;
import graderelay.core.JobSpec;
import graderelay.core.MachineType;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
import graderelay.peer.RequestHedger;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.FinalStateLookup;
import graderelay.state.JobEntry;
import graderelay.state.StateClient;
import graderelay.state.TeamLimits;
import graderelay.state.Transaction;
import graderelay.wire.BadRequest;
import graderelay.wire.FinalState;
import graderelay.wire.Json;
import graderelay.wire.StateCodec;
import graderelay.wire.UserCodec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Job submissions, as idempotent requests: the job's record is created by a compare-and-swap on its
 * absence, so a repeated submission of an accepted job is told what became of it (200), a new one
 * is accepted (201), and one that can never run is refused (422) only after the records have been
 * read anew.
 */
final class JobSubmissions {
  /** Seconds by which a node's copy may lag when it is taken for what was told to users. */
  private static final double FRESH_S = 3;

  /** Seconds that a submission which the leader has handed on may have to wait for changes here. */
  private static final double HANDED_ON_WAIT_S = 0.1;

  /**
   * Seconds that a submission may have to wait for this node's changes by their rate: one that
   * would wait longer is refused at once, and its user comes back instead of waiting in vain.
   */
  private static final double LONGEST_SUBMISSION_WAIT_S = 2;

  /** Submissions under way at once, a bound on a queue; beyond that the newest is refused. */
  private static final int MOST_SUBMISSIONS = 400;

  private static final Logger LOG = LoggerFactory.getLogger("users");

  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final Settings settings;
  private final TeamLimits limits;
  private final Supplier<Collection<MachineType>> types;
  private final IntSupplier batchCapacity;
  private final CancellationResolver dependencies;
  private final JobLookup lookup;
  private final BooleanSupplier stateUnreachable;
  private int inFlight;

  JobSubmissions(
      Loop loop,
      StateClient state,
      Cache cache,
      Settings settings,
      TeamLimits limits,
      Supplier<Collection<MachineType>> types,
      IntSupplier batchCapacity,
      CancellationResolver dependencies,
      JobLookup lookup,
      BooleanSupplier stateUnreachable) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.settings = settings;
    this.limits = limits;
    this.types = types;
    this.batchCapacity = batchCapacity;
    this.dependencies = dependencies;
    this.lookup = lookup;
    this.stateUnreachable = stateUnreachable;
  }

  /** Answers a submission: 200, 201, 400, 422, 429 or 503 with Retry-After. */
  void submit(Exchange e) {
    JobSpec spec;
    try {
      spec =
          UserCodec.decodeSubmission(Json.read(e.body()), loop.wallMs(), batchCapacity.getAsInt());
    } catch (BadRequest b) {
      UserApi.refuse(e, 400, b.getMessage());
      return;
    }
    if (cache.finalState(spec.id()) != null) {
      answerFinalState(e, spec.id());
      return;
    }
    if (stateUnreachable.getAsBoolean()) {
      UserApi.unavailable(e, "the state service can't be reached");
      return;
    }
    double longest = e.relayed() ? HANDED_ON_WAIT_S : LONGEST_SUBMISSION_WAIT_S;
    boolean tooLate =
        state.budget().changeTokens().waitingS() > longest && cache.job(spec.id()) == null;
    if (inFlight >= MOST_SUBMISSIONS || tooLate) {
      e.to().accept(Answer.later(429, Json.error("too many submissions at once")));
      return;
    }
    inFlight++;
    Exchange counted =
        e.answeredTo(
            a -> {
              inFlight--;
              e.to().accept(a);
            });
    PendingAnswer p = new PendingAnswer(loop, counted, RequestHedger.USER_DEADLINE_S);
    if (cache.job(spec.id()) != null) {
      answerIfAccepted(p, spec);
      return;
    }
    String never = neverRuns(spec);
    if (never == null) {
      checkDependencies(p, spec);
    } else {
      // A retry of a job that was accepted once is told so, whatever has changed since.
      answerIfAccepted(p, spec);
    }
  }

  private void answerFinalState(Exchange e, String id) {
    FinalState end = cache.finalState(id);
    e.to().accept(Answer.json(200, Json.write(UserCodec.encodeStage(id, JobState.stageOf(end)))));
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

  /** Writes the job's record if neither it nor a final state of the job exists yet. */
  private void create(PendingAnswer p, JobSpec spec) {
    if (types.get() == null) {
      p.unavailable("the machine types are not known yet");
      return;
    }
    String key = StateCodec.jobKey(spec.id());
    Transaction txn =
        new Transaction()
            .when(key, 0)
            .when(StateCodec.finalStateKey(spec.id()), 0)
            .put(key, StateCodec.encodeJob(spec, false));
    state.commit(
        txn,
        Use.SUBMISSION,
        r -> {
          switch (r.outcome()) {
            case SUCCEEDED -> {
              LOG.info(
                  "accepted {} after {} ms: {} of {}, {} tasks of {} CPUs, estimate {} s, due in {} s",
                  spec.id(),
                  Math.round((loop.now() - p.sinceS()) * 1000),
                  spec.jobClass(),
                  spec.team(),
                  spec.tasks(),
                  spec.cpus(),
                  spec.estimateS(),
                  spec.deadlineS());
              created(p, spec);
            }
            case CONDITION_FAILED -> answerIfAccepted(p, spec);
            case NOT_EXECUTED -> lookup.retryOrGiveUp(p, () -> create(p, spec));
            default -> p.retry(() -> create(p, spec));
          }
        });
  }

  /**
   * It may be cancelled already, with a job that it names. That one was cancelled a moment ago if
   * this node's copy doesn't say so, since it lags by little; only of ends that it never saw it has
   * to ask.
   */
  private void created(PendingAnswer p, JobSpec spec) {
    Set<String> unknown = new HashSet<>();
    boolean cancelled = CancellationResolver.cancelled(cache, spec, unknown);
    boolean fresh = loop.now() - cache.completeAsOf() < FRESH_S;
    if (cancelled || (fresh && unknown.isEmpty())) {
      p.answer(201, UserCodec.encodeStage(spec.id(), cancelled ? JobState.CANCELLED : "pending"));
    } else {
      lookup.look(p, spec.id(), f -> p.answer(201, UserCodec.encodeStage(spec.id(), f.stage())));
    }
  }

  /** Answers for a job that may have been accepted before, else goes on to accept it. */
  private void answerIfAccepted(PendingAnswer p, JobSpec spec) {
    lookup.look(
        p,
        spec.id(),
        found -> {
          if (found != null) {
            p.answer(200, UserCodec.encodeStage(spec.id(), found.stage()));
            return;
          }
          String never = neverRuns(spec);
          if (never != null) {
            p.answer(422, Json.object().put("error", never));
          } else {
            checkDependencies(p, spec);
          }
        });
  }

  /**
   * Checks the DAG dependencies of a job against the state service: each was accepted, which is so
   * for good, by whichever node and version. Those that are done need not be kept.
   */
  private void checkDependencies(PendingAnswer p, JobSpec spec) {
    if (spec.dependencies().isEmpty()) {
      checkSize(p, spec);
      return;
    }
    if (unseen(spec).isEmpty()) {
      withDependencies(p, spec, List.of()); // Accepted once is accepted, so the copy may lag.
      return;
    }
    cache.catchUp(
        ok -> {
          if (ok) {
            dependencies.find(unseen(spec), found -> withDependencies(p, spec, found));
          } else {
            lookup.retryOrGiveUp(p, () -> checkDependencies(p, spec));
          }
        });
  }

  /** Dependencies of which this node has seen neither the record nor the final state. */
  private List<String> unseen(JobSpec spec) {
    List<String> unseen = new ArrayList<>();
    for (String id : spec.dependencies()) {
      if (cache.job(id) == null && cache.finalState(id) == null) {
        unseen.add(id);
      }
    }
    return unseen;
  }

  private void withDependencies(PendingAnswer p, JobSpec spec, List<FinalStateLookup.Found> found) {
    if (found.contains(FinalStateLookup.Found.FAILED)) {
      lookup.retryOrGiveUp(p, () -> checkDependencies(p, spec));
      return;
    }
    List<String> open = new ArrayList<>();
    for (String id : spec.dependencies()) {
      JobEntry live = cache.job(id);
      FinalState end = cache.finalState(id);
      if (live == null && end == null) {
        refuseUnlessAccepted(
            p, spec, 422, UserCodec.DEPENDENCIES + " names " + id + ", which was never accepted");
        return;
      }
      if (live != null && live.spec.isService()) {
        refuseUnlessAccepted(
            p,
            spec,
            422,
            UserCodec.DEPENDENCIES + " names " + id + ", a service, which is never done");
        return;
      }
      if (end == null || end.cancelled()) {
        open.add(id);
      }
    }
    checkSize(p, spec.needing(open));
  }

  /** The record has to fit a value, also when the state service's limits have become smaller. */
  private void checkSize(PendingAnswer p, JobSpec spec) {
    int most = settings.least().valueBytes();
    if (Json.write(StateCodec.encodeJob(spec, true)).length <= most) {
      create(p, spec);
    } else if (Json.write(StateCodec.encodeJob(spec.needing(List.of()), true)).length <= most) {
      int open = spec.dependencies().size();
      refuseUnlessAccepted(
          p,
          spec,
          400,
          UserCodec.DEPENDENCIES
              + " names "
              + open
              + " jobs that are not over, more than a job may");
    } else {
      refuseUnlessAccepted(p, spec, 400, "rigs names more machine types than a job may");
    }
  }

  /** A retry of a job that was accepted is told so, whatever has become of what it names. */
  private void refuseUnlessAccepted(PendingAnswer p, JobSpec spec, int status, String why) {
    lookup.look(
        p,
        spec.id(),
        found -> {
          if (found != null) {
            p.answer(200, UserCodec.encodeStage(spec.id(), found.stage()));
          } else {
            p.answer(status, Json.object().put("error", why));
          }
        });
  }
}
