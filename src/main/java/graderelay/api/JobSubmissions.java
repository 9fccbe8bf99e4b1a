package graderelay.api;

import graderelay.config.Settings;
import graderelay.core.JobSpec;
import graderelay.core.MachineType;
import graderelay.net.Exchange;
import graderelay.net.Loop;
import graderelay.peer.RequestHedger;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.StateClient;
import graderelay.state.TeamLimits;
import graderelay.wire.BadRequestException;
import graderelay.wire.FinalState;
import graderelay.wire.Json;
import graderelay.wire.UserCodec;
import java.util.Collection;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Job submissions, as idempotent requests: the job's record is created by a compare-and-swap on its
 * absence, so a repeated submission of an accepted job is told what became of it (200), a new one
 * is accepted (201), and one that can never run is refused (422) only after the records have been
 * read anew. Runs on the event loop.
 */
final class JobSubmissions {
  /** Seconds that a submission which the leader has forwarded may have to wait for changes here. */
  private static final double FORWARDED_WAIT_S = 0.1;

  /**
   * Seconds that a submission may have to wait for this controller's changes by their rate: one
   * that would wait longer is refused at once, and its user comes back instead of waiting in vain.
   */
  private static final double LONGEST_SUBMISSION_WAIT_S = 2;

  /** Submissions under way at once, a bound on a queue; beyond that the newest is refused. */
  private static final int MOST_SUBMISSIONS = 400;

  private static final ApiError OVERLOADED =
      ApiError.tooManyRequests("too many submissions at once");

  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final TeamLimits limits;
  private final Supplier<Collection<MachineType>> types;
  private final IntSupplier batchCapacity;
  private final JobLookup lookup;
  private final DependencyCheck dependencyCheck;
  private final JobCreation creation;
  private final BooleanSupplier stateUnreachable;
  private int inFlight;

  /**
   * Makes the handler of submissions.
   *
   * @param types the machine types that the cloud offers, or null while they are not known yet
   * @param batchCapacity tasks in one task batch of a job submitted now
   * @param stateUnreachable true while calls to the store fail
   */
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
    this.limits = limits;
    this.types = types;
    this.batchCapacity = batchCapacity;
    this.lookup = lookup;
    this.dependencyCheck = new DependencyCheck(cache, dependencies, lookup);
    this.creation = new JobCreation(loop, state, cache, settings, types, lookup);
    this.stateUnreachable = stateUnreachable;
  }

  /** Answers a submission: 200, 201, 400, 422, or 429 and 503 with Retry-After. */
  void submit(Exchange exchange) {
    JobSpec spec;
    try {
      spec =
          UserCodec.decodeSubmission(
              Json.read(exchange.body()), loop.wallClockMs(), batchCapacity.getAsInt());
    } catch (BadRequestException malformed) {
      ApiError.badRequest(malformed.getMessage()).sendTo(exchange);
      return;
    }
    FinalState end = cache.finalState(spec.id());
    if (end != null) {
      Replies.json(exchange, 200, UserCodec.encodeStage(spec.id(), JobState.stageOf(end)));
    } else if (stateUnreachable.getAsBoolean()) {
      ApiError.STORE_UNREACHABLE.sendTo(exchange);
    } else if (wouldWaitTooLong(exchange, spec)) {
      OVERLOADED.sendTo(exchange);
    } else {
      decide(new PendingAnswer(loop, counted(exchange), RequestHedger.USER_DEADLINE_S), spec);
    }
  }

  private boolean wouldWaitTooLong(Exchange exchange, JobSpec spec) {
    double longestS = exchange.forwarded() ? FORWARDED_WAIT_S : LONGEST_SUBMISSION_WAIT_S;
    boolean tooLate =
        state.budget().changeTokens().estimatedWaitS() > longestS && cache.job(spec.id()) == null;
    return inFlight >= MOST_SUBMISSIONS || tooLate;
  }

  /** The same request, counted among those under way until it is answered. */
  private Exchange counted(Exchange exchange) {
    inFlight++;
    return exchange.withResponder(
        answer -> {
          inFlight--;
          exchange.responder().accept(answer);
        });
  }

  private void decide(PendingAnswer pending, JobSpec spec) {
    if (cache.job(spec.id()) != null || whyNeverRuns(spec).isPresent()) {
      // A retry of a job that was accepted once is told so, whatever has changed since.
      ifNotAccepted(pending, spec, () -> decideNewJob(pending, spec));
    } else {
      checkDependencies(pending, spec);
    }
  }

  /** Decides a submission of a job that the records, read anew, do not know. */
  private void decideNewJob(PendingAnswer pending, JobSpec spec) {
    Optional<ApiError> neverRuns = whyNeverRuns(spec);
    if (neverRuns.isPresent()) {
      pending.fail(neverRuns.get());
    } else {
      checkDependencies(pending, spec);
    }
  }

  /**
   * Why a job can never run, as far as this controller knows; empty if it can. Users take a refusal
   * for good, so none is given before the records, of limits too, have been read anew.
   */
  private Optional<ApiError> whyNeverRuns(JobSpec spec) {
    String forbidden = limits.rejectionReason(spec);
    if (forbidden != null) {
      return Optional.of(ApiError.unprocessable(forbidden));
    }
    Collection<MachineType> known = types.get();
    if (known != null && known.stream().noneMatch(spec::fits)) {
      return Optional.of(ApiError.unprocessable("a task fits no allowed machine type"));
    }
    return Optional.empty();
  }

  private void checkDependencies(PendingAnswer pending, JobSpec spec) {
    dependencyCheck.check(
        pending,
        spec,
        new DependencyCheck.Outcome() {
          @Override
          public void accepted(JobSpec checked) {
            create(pending, checked);
          }

          @Override
          public void refused(ApiError error) {
            refuse(pending, spec, error);
          }
        });
  }

  private void create(PendingAnswer pending, JobSpec spec) {
    Optional<ApiError> tooLarge = creation.tooLarge(spec);
    if (tooLarge.isPresent()) {
      refuse(pending, spec, tooLarge.get());
    } else {
      creation.create(
          pending, spec, () -> ifNotAccepted(pending, spec, () -> decideNewJob(pending, spec)));
    }
  }

  /** A retry of a job that was accepted is told so, whatever has become of what it names. */
  private void refuse(PendingAnswer pending, JobSpec spec, ApiError error) {
    ifNotAccepted(pending, spec, () -> pending.fail(error));
  }

  /** Answers 200 for a job that was accepted before, else goes on with {@code otherwise}. */
  private void ifNotAccepted(PendingAnswer pending, JobSpec spec, Runnable otherwise) {
    lookup.look(
        pending,
        spec.id(),
        found -> {
          if (found != null) {
            pending.answer(200, UserCodec.encodeStage(spec.id(), found.stage()));
          } else {
            otherwise.run();
          }
        });
  }
}
