package graderelay.service;

import graderelay.core.Heartbeat;
import graderelay.core.HeartbeatResponse;
import graderelay.core.MachineType;
import graderelay.core.Scheduler;
import graderelay.net.Loop;
import graderelay.state.Cache;
import graderelay.state.Cancellations;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.wire.PeerRequest;
import graderelay.wire.PeerResponse;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts a {@link LeaderTerm} once this controller has been elected and its cache contains all
 * records committed before the election, and closes the leader term when leadership is lost. A
 * follower has no leader term.
 */
final class LeaderLifecycle implements Leadership.Listener {
  /** Seconds between checks of an elected controller whether its cache has loaded the records. */
  private static final double RECORDS_CHECK_INTERVAL_S = 0.02;

  /** Seconds for which a leader has no scheduler before this is logged, and then again. */
  private static final double LOG_INTERVAL_S = 5;

  private static final Logger LOG = LoggerFactory.getLogger("owner");

  private final Loop loop;
  private final Cache cache;
  private final BooleanSupplier isLeader;
  private final BooleanSupplier mayActAsLeader;
  private final Cancellations cancellations;
  private final LongSupplier termNumber;
  private final Metrics metrics;
  private final String member;
  private final Supplier<List<MachineType>> machineTypes;
  private final Supplier<LeaderTerm> termFactory;
  private LeaderTerm currentTerm;

  /** When this controller was last elected, in seconds of the event loop's clock. */
  private double electedAt;

  private double loggedAt;
  private boolean closed;

  /**
   * Creates the lifecycle of a controller that starts as a follower.
   *
   * @param isLeader whether this controller is the leader
   * @param termNumber the term of this controller's current leadership, which is its fencing token
   * @param mayActAsLeader whether this controller may act as the leader
   * @param machineTypes the machine types of the cloud, null until it has listed them
   * @param termFactory creates a leader term from the current records and settings
   */
  LeaderLifecycle(
      Loop loop,
      Cache cache,
      BooleanSupplier isLeader,
      LongSupplier termNumber,
      BooleanSupplier mayActAsLeader,
      Cancellations cancellations,
      Metrics metrics,
      String member,
      Supplier<List<MachineType>> machineTypes,
      Supplier<LeaderTerm> termFactory) {
    this.loop = loop;
    this.cache = cache;
    this.isLeader = isLeader;
    this.termNumber = termNumber;
    this.mayActAsLeader = mayActAsLeader;
    this.cancellations = cancellations;
    this.metrics = metrics;
    this.member = member;
    this.machineTypes = machineTypes;
    this.termFactory = termFactory;
  }

  /** The current leader term, or null while there is none. */
  LeaderTerm currentTerm() {
    return currentTerm;
  }

  /** The scheduler core of the current leader term, or null while there is none. */
  Scheduler core() {
    return currentTerm == null ? null : currentTerm.core();
  }

  /** Seconds for which this controller has led without a scheduler; 0 on a follower. */
  double withoutSchedulerS() {
    return isLeader.getAsBoolean() && currentTerm == null ? loop.now() - electedAt : 0;
  }

  /** Logs what a leader without a scheduler waits for; to be called periodically. */
  void tick() {
    double withoutSchedulerS = withoutSchedulerS();
    if (withoutSchedulerS > LOG_INTERVAL_S && loop.now() - loggedAt > LOG_INTERVAL_S) {
      loggedAt = loop.now();
      LOG.warn(
          "{} leads in term {} without a scheduler for {} s; records loaded: {}, machine types"
              + " known: {}",
          member,
          termNumber.getAsLong(),
          Math.round(withoutSchedulerS),
          cache.isLoaded(),
          machineTypes.get() != null);
    }
  }

  /** Runs the action on the current leader term, if there is one. */
  void ifLeading(Consumer<LeaderTerm> action) {
    if (currentTerm != null) {
      action.accept(currentTerm);
    }
  }

  /**
   * Handles a heartbeat and returns the response, without commands while there is no leader term.
   * Empty if the worker's lease must not be renewed.
   */
  Optional<HeartbeatResponse> onHeartbeat(Heartbeat heartbeat, String receivingController) {
    // A leader that is still loading the records renews worker leases without sending commands.
    // This is safe because it measures the leases from the start of its leader term, which is
    // later.
    return currentTerm == null
        ? Optional.of(new HeartbeatResponse(termNumber.getAsLong(), List.of()))
        : currentTerm.onHeartbeat(heartbeat, receivingController);
  }

  /**
   * True if this leader may renew worker leases in its zone, as its lease delegate, for the
   * duration of a grant from now on.
   */
  boolean mayGrantDelegation(String zone) {
    return currentTerm == null || core().mayGrantDelegation(zone, loop.now());
  }

  /**
   * Handles a peer's request to become the lease delegate of its zone. It is granted only while
   * this controller may act as the leader, and only if the core knows the peer's process. The
   * response contains the cancellations that this controller has learned of.
   */
  PeerResponse.DelegationResponse onDelegationRequest(PeerRequest.Delegation request) {
    return currentTerm != null && mayActAsLeader.getAsBoolean()
        ? new PeerResponse.DelegationResponse(
            currentTerm.grantLeaseDelegation(request), cancellations.ownKnowledge())
        : new PeerResponse.DelegationResponse(null, null);
  }

  /**
   * Rewrites a team's account at an operator's request; returns false if this controller has no
   * leader term.
   */
  boolean replaceAccount(String team) {
    if (currentTerm == null) {
      return false;
    }
    currentTerm.replaceAccount(team);
    return true;
  }

  /**
   * Handles a peer's notification that a job was cancelled: its tasks are stopped immediately,
   * before the job's record has been read.
   */
  void onCancelled(String job) {
    ifLeading(term -> term.recordFeed().onCancelled(job));
  }

  /** Closes the current leader term permanently when the process stops. */
  void close() {
    closed = true;
    if (currentTerm != null) {
      currentTerm.close();
    }
  }

  @Override
  public void onStartedLeading(long term) {
    metrics.count("graderelay.takeovers", "member", member);
    electedAt = loop.now();
    startTerm(term, electedAt);
  }

  /**
   * Starts the leader term as soon as the cache contains all records committed before the election.
   */
  private void startTerm(long term, double electedAt) {
    if (!cache.isLoaded()) {
      if (isStillLeader(term)) {
        loop.schedule(RECORDS_CHECK_INTERVAL_S, () -> startTerm(term, electedAt));
      }
      return;
    }
    cache.catchUp(
        caughtUp -> {
          if (!isStillLeader(term)) {
            return;
          }
          if (!caughtUp || machineTypes.get() == null) {
            loop.schedule(StateClient.RETRY_DELAY_S, () -> startTerm(term, electedAt));
            return;
          }
          currentTerm = termFactory.get();
          currentTerm.start();
          metrics.recordDuration("graderelay.takeover", loop.now() - electedAt);
        });
  }

  private boolean isStillLeader(long term) {
    return !closed && isLeader.getAsBoolean() && termNumber.getAsLong() == term;
  }

  @Override
  public void onTermRaised(long term) {
    ifLeading(running -> running.onTermRaised(term));
  }

  @Override
  public void onStoppedLeading(String reason) {
    if (currentTerm != null) {
      currentTerm.close();
      currentTerm = null;
    }
  }
}
