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
 * Handles job submissions, which are idempotent. The job's record is created on the condition that
 * it does not exist: a new job is accepted (201), and a repeated submission of an accepted job
 * returns its stage (200). A job that can never run is rejected (422), but only after a read of the
 * latest records. Runs on the event loop.
 */
final class JobSubmissions {
  /**
   * Longest expected wait in seconds for the write rate limit, for a submission that the leader has
   * forwarded.
   */
  private static final double MAX_FORWARDED_WAIT_S = 0.1;

  /**
   * Longest expected wait in seconds for this controller's write rate limit. A submission that
   * would wait longer is rejected at once with 429, so that the user retries instead of waiting
   * until the deadline.
   */
  private static final double MAX_SUBMISSION_WAIT_S = 2;

  /**
   * Limit of the submissions in flight, which bounds their queue; further submissions are rejected
   * with 429.
   */
  private static final int MAX_SUBMISSIONS_IN_FLIGHT = 400;

  private static final ApiError OVERLOADED =
      ApiError.tooManyRequests("too many submissions in flight");

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
   * Creates the handler of submissions.
   *
   * @param machineTypes the machine types that the cloud offers, or null until they have been
   *     loaded
   * @param batchCapacity number of tasks in a task batch of a job that is submitted now
   * @param storeUnreachable true while calls to the store fail
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

  /** Answers a submission: 200, 201, 400 or 422, or 429 or 503 with Retry-After. */
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
    double maxWaitS = exchange.forwarded() ? MAX_FORWARDED_WAIT_S : MAX_SUBMISSION_WAIT_S;
    boolean waitsTooLong =
        state.budget().changeTokens().estimatedWaitS() > maxWaitS && cache.job(spec.id()) == null;
    return inFlight >= MAX_SUBMISSIONS_IN_FLIGHT || waitsTooLong;
  }

  /** Returns the request as one that counts as in flight until it is answered. */
  private Exchange countInFlight(Exchange exchange) {
    inFlight++;
    return exchange.withResponder(
        answer -> {
          inFlight--;
          exchange.responder().accept(answer);
        });
  }

  private void decide(PendingAnswer pending, JobSpec spec) {
    if (cache.job(spec.id()) != null || unschedulableError(spec).isPresent()) {
      // A retry of an accepted submission has to be confirmed, even if the job would be rejected
      // now.
      runUnlessAccepted(pending, spec, () -> decideNewJob(pending, spec));
    } else {
      checkDependencies(pending, spec);
    }
  }

  /** Handles a submission after a read of the latest records has found no such job. */
  private void decideNewJob(PendingAnswer pending, JobSpec spec) {
    Optional<ApiError> unschedulable = unschedulableError(spec);
    if (unschedulable.isPresent()) {
      pending.fail(unschedulable.get());
    } else {
      checkDependencies(pending, spec);
    }
  }

  /**
   * The error if a job can never run according to the cached records; else empty. A rejection is
   * final for the user, so it may be returned only after the latest records, including the limits,
   * have been read.
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

  /**
   * Rejects a submission, unless it is a retry of an accepted one: that is confirmed even if its
   * dependencies have changed since.
   */
  private void rejectUnlessAccepted(PendingAnswer pending, JobSpec spec, ApiError error) {
    runUnlessAccepted(pending, spec, () -> pending.fail(error));
  }

  /** Answers 200 if the job was accepted before, else runs {@code otherwise}. */
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
