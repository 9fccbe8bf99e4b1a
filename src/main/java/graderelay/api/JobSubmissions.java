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
import graderelay.wire.BadRequest;
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
  private static final double MAX_FORWARDED_WAIT_S = 0.1;

  /**
   * Seconds that a submission may have to wait for this controller's changes by their rate: one
   * that would wait longer is refused at once, and its user comes back instead of waiting in vain.
   */
  private static final double MAX_SUBMISSION_WAIT_S = 2;

  /** Submissions under way at once, a bound on a queue; beyond that the newest is refused. */
  private static final int MAX_SUBMISSIONS_IN_FLIGHT = 400;

  private static final ApiError OVERLOADED =
      ApiError.tooManyRequests("too many submissions at once");

  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final TeamLimits limits;
  private final Supplier<Collection<MachineType>> machineTypes;
  private final IntSupplier batchCapacity;
  private final JobLookup jobLookup;
  private final DependencyCheck dependencyCheck;
  private final JobCreation creation;
  private final BooleanSupplier storeUnreachable;
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
      Supplier<Collection<MachineType>> machineTypes,
      IntSupplier batchCapacity,
      CancellationResolver cancellationResolver,
      JobLookup jobLookup,
      BooleanSupplier storeUnreachable) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.limits = limits;
    this.machineTypes = machineTypes;
    this.batchCapacity = batchCapacity;
    this.jobLookup = jobLookup;
    this.dependencyCheck = new DependencyCheck(cache, cancellationResolver, jobLookup);
    this.creation = new JobCreation(loop, state, cache, settings, machineTypes, jobLookup);
    this.storeUnreachable = storeUnreachable;
  }

  /** Answers a submission: 200, 201, 400, 422, or 429 and 503 with Retry-After. */
  void submit(Exchange exchange) {
    JobSpec spec;
    try {
      spec =
          UserCodec.decodeSubmission(
              Json.read(exchange.body()), loop.wallMs(), batchCapacity.getAsInt());
    } catch (BadRequest malformed) {
      ApiError.badRequest(malformed.getMessage()).sendTo(exchange);
      return;
    }
    FinalState finalState = cache.finalState(spec.id());
    if (finalState != null) {
      Replies.json(exchange, 200, UserCodec.encodeStage(spec.id(), JobState.stageOf(finalState)));
    } else if (storeUnreachable.getAsBoolean()) {
      ApiError.STORE_UNREACHABLE.sendTo(exchange);
    } else if (isOverloaded(exchange, spec)) {
      OVERLOADED.sendTo(exchange);
    } else {
      decide(new PendingAnswer(loop, countInFlight(exchange), RequestHedger.USER_DEADLINE_S), spec);
    }
  }

  private boolean isOverloaded(Exchange exchange, JobSpec spec) {
    double maxWaitS = exchange.relayed() ? MAX_FORWARDED_WAIT_S : MAX_SUBMISSION_WAIT_S;
    boolean waitsTooLong =
        state.budget().changeTokens().waitingS() > maxWaitS && cache.job(spec.id()) == null;
    return inFlight >= MAX_SUBMISSIONS_IN_FLIGHT || waitsTooLong;
  }

  /** The same request, counted among those under way until it is answered. */
  private Exchange countInFlight(Exchange exchange) {
    inFlight++;
    return exchange.answeredTo(
        answer -> {
          inFlight--;
          exchange.to().accept(answer);
        });
  }

  private void decide(PendingAnswer pending, JobSpec spec) {
    if (cache.job(spec.id()) != null || unschedulableError(spec).isPresent()) {
      // A retry of a job that was accepted once is told so, whatever has changed since.
      runUnlessAccepted(pending, spec, () -> decideNewJob(pending, spec));
    } else {
      checkDependencies(pending, spec);
    }
  }

  /** Decides a submission of a job that the records, read anew, do not know. */
  private void decideNewJob(PendingAnswer pending, JobSpec spec) {
    Optional<ApiError> unschedulable = unschedulableError(spec);
    if (unschedulable.isPresent()) {
      pending.fail(unschedulable.get());
    } else {
      checkDependencies(pending, spec);
    }
  }

  /**
   * Why a job can never run, as far as this controller knows; empty if it can. Users take a refusal
   * for good, so none is given before the records, of limits too, have been read anew.
   */
  private Optional<ApiError> unschedulableError(JobSpec spec) {
    String rejectionReason = limits.rejectionReason(spec);
    if (rejectionReason != null) {
      return Optional.of(ApiError.unprocessable(rejectionReason));
    }
    Collection<MachineType> availableTypes = machineTypes.get();
    if (availableTypes != null && availableTypes.stream().noneMatch(spec::fits)) {
      return Optional.of(ApiError.unprocessable("a task fits no allowed machine type"));
    }
    return Optional.empty();
  }

  private void checkDependencies(PendingAnswer pending, JobSpec spec) {
    dependencyCheck.check(
        pending,
        spec,
        new DependencyCheck.Callback() {
          @Override
          public void onAccepted(JobSpec checked) {
            create(pending, checked);
          }

          @Override
          public void onRejected(ApiError error) {
            rejectUnlessAccepted(pending, spec, error);
          }
        });
  }

  private void create(PendingAnswer pending, JobSpec spec) {
    Optional<ApiError> sizeError = creation.sizeError(spec);
    if (sizeError.isPresent()) {
      rejectUnlessAccepted(pending, spec, sizeError.get());
    } else {
      creation.create(
          pending, spec, () -> runUnlessAccepted(pending, spec, () -> decideNewJob(pending, spec)));
    }
  }

  /** A retry of a job that was accepted is told so, whatever has become of what it names. */
  private void rejectUnlessAccepted(PendingAnswer pending, JobSpec spec, ApiError error) {
    runUnlessAccepted(pending, spec, () -> pending.fail(error));
  }

  /** Answers 200 for a job that was accepted before, else goes on with {@code otherwise}. */
  private void runUnlessAccepted(PendingAnswer pending, JobSpec spec, Runnable otherwise) {
    jobLookup.lookUp(
        pending,
        spec.id(),
        jobState -> {
          if (jobState != null) {
            pending.answer(200, UserCodec.encodeStage(spec.id(), jobState.stage()));
          } else {
            otherwise.run();
          }
        });
  }
}
