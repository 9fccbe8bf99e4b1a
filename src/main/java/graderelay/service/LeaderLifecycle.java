package graderelay.service;

import graderelay.core.Heartbeat;
import graderelay.core.HeartbeatResponse;
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
 * follower has no leader term. The phases are those of {@link LeaderPhase}.
 */
final class LeaderLifecycle implements Leadership.Listener {
  /** Seconds between checks of an elected controller whether its cache has loaded the records. */
  private static final double RECORDS_CHECK_INTERVAL_S = 0.02;

  /** Seconds for which a leader has no scheduler before this is logged, and then again. */
  private static final double LOG_INTERVAL_S = 5;

  /**
   * Seconds after which a leader without a scheduler gives up the lead, since another controller
   * may have the records. Until then it renews the workers' leases.
   */
  private static final double MAX_START_S = 30;

  private static final Logger LOG = LoggerFactory.getLogger("owner");

  private final Loop loop;
  private final Cache cache;
  private final BooleanSupplier mayActAsLeader;
  private final BooleanSupplier isStoreUnavailableToAll;
  private final Consumer<String> resign;
  private final Cancellations cancellations;
  private final LongSupplier termNumber;
  private final Metrics metrics;
  private final String member;
  private final Supplier<LeaderTerm> termFactory;
  private LeaderPhase phase = new LeaderPhase.Follower();
  private double loggedAt;

  /**
   * Creates the lifecycle of a controller that starts as a follower.
   *
   * @param termNumber the term of this controller's current leadership, which is its fencing token
   * @param mayActAsLeader whether this controller may act as the leader
   * @param isStoreUnavailableToAll whether no controller reaches the key-value store
   * @param resign gives up the lead for the given reason
   * @param termFactory creates a leader term from the current records and settings
   */
  LeaderLifecycle(
      Loop loop,
      Cache cache,
      LongSupplier termNumber,
      BooleanSupplier mayActAsLeader,
      BooleanSupplier isStoreUnavailableToAll,
      Consumer<String> resign,
      Cancellations cancellations,
      Metrics metrics,
      String member,
      Supplier<LeaderTerm> termFactory) {
    this.loop = loop;
    this.cache = cache;
    this.termNumber = termNumber;
    this.mayActAsLeader = mayActAsLeader;
    this.isStoreUnavailableToAll = isStoreUnavailableToAll;
    this.resign = resign;
    this.cancellations = cancellations;
    this.metrics = metrics;
    this.member = member;
    this.termFactory = termFactory;
  }

  /** The current leader term, or null while there is none. */
  LeaderTerm currentTerm() {
    return phase instanceof LeaderPhase.Scheduling scheduling ? scheduling.term() : null;
  }

  /** The scheduler core of the current leader term, or null while there is none. */
  Scheduler core() {
    LeaderTerm term = currentTerm();
    return term == null ? null : term.core();
  }

  /** Seconds for which this controller has led without a scheduler; 0 on a follower. */
  double withoutSchedulerS() {
    return phase instanceof LeaderPhase.Starting start ? loop.now() - start.electedAt() : 0;
  }

  /**
   * Logs what a leader without a scheduler waits for, and gives up the lead if that takes too long,
   * unless no other controller reaches the key-value store either; to be called periodically.
   */
  void tick() {
    double withoutSchedulerS = withoutSchedulerS();
    if (withoutSchedulerS > MAX_START_S && !isStoreUnavailableToAll.getAsBoolean()) {
      resign.accept("it has no scheduler since " + Math.round(withoutSchedulerS) + " s");
      return;
    }
    if (withoutSchedulerS > LOG_INTERVAL_S && loop.now() - loggedAt > LOG_INTERVAL_S) {
      loggedAt = loop.now();
      LOG.warn(
          "{} leads in term {} without a scheduler for {} s; records loaded: {}",
          member,
          termNumber.getAsLong(),
          Math.round(withoutSchedulerS),
          cache.isLoaded());
    }
  }

  /** Runs the action on the current leader term, if there is one. */
  void ifLeading(Consumer<LeaderTerm> action) {
    LeaderTerm term = currentTerm();
    if (term != null) {
      action.accept(term);
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
    LeaderTerm term = currentTerm();
    return term == null
        ? Optional.of(new HeartbeatResponse(termNumber.getAsLong(), List.of()))
        : term.onHeartbeat(heartbeat, receivingController);
  }

  /**
   * True if this leader may renew worker leases in its zone, as its lease delegate, for the
   * duration of a grant from now on.
   */
  boolean mayGrantDelegation(String zone) {
    Scheduler core = core();
    return core == null || core.mayGrantDelegation(zone, loop.now());
  }

  /**
   * Handles a peer's request to become the lease delegate of its zone. It is granted only while
   * this controller may act as the leader, and only if the core knows the peer's process. The
   * response contains the cancellations that this controller has learned of.
   */
  PeerResponse.DelegationResponse onDelegationRequest(PeerRequest.Delegation request) {
    LeaderTerm term = currentTerm();
    return term != null && mayActAsLeader.getAsBoolean()
        ? new PeerResponse.DelegationResponse(
            term.grantLeaseDelegation(request), cancellations.ownKnowledge())
        : new PeerResponse.DelegationResponse(null, null);
  }

  /**
   * Rewrites a team's account at an operator's request; returns false if this controller has no
   * leader term.
   */
  boolean replaceAccount(String team) {
    ifLeading(term -> term.replaceAccount(team));
    return currentTerm() != null;
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
    enter(new LeaderPhase.Closed());
  }

  @Override
  public void onStartedLeading(long term) {
    metrics.count("graderelay.takeovers", "member", member);
    LeaderPhase.Starting start = new LeaderPhase.Starting(loop.now());
    enter(start);
    startTerm(start);
  }

  /**
   * Starts the leader term as soon as the cache contains all records committed before the election.
   * Nothing but the end of this start stops that: a raise of the term leaves it as it is, since the
   * leader term begins with the term that this controller has by then.
   */
  private void startTerm(LeaderPhase.Starting start) {
    if (phase != start) {
      return;
    }
    if (!cache.isLoaded()) {
      loop.schedule(RECORDS_CHECK_INTERVAL_S, () -> startTerm(start));
      return;
    }
    cache.catchUp(caughtUp -> onCaughtUp(start, caughtUp));
  }

  private void onCaughtUp(LeaderPhase.Starting start, boolean caughtUp) {
    if (phase != start) {
      return;
    }
    if (!caughtUp) {
      loop.schedule(StateClient.RETRY_DELAY_S, () -> startTerm(start));
      return;
    }
    LeaderTerm term = termFactory.get();
    enter(new LeaderPhase.Scheduling(term));
    term.start();
    metrics.recordDuration("graderelay.takeover", loop.now() - start.electedAt());
  }

  @Override
  public void onTermRaised(long term) {
    ifLeading(running -> running.onTermRaised(term));
  }

  @Override
  public void onStoppedLeading(String reason) {
    enter(new LeaderPhase.Follower());
  }

  /** Enters a phase and closes the leader term of the one before; nothing follows the last one. */
  private void enter(LeaderPhase next) {
    if (phase instanceof LeaderPhase.Closed) {
      return;
    }
    ifLeading(LeaderTerm::close);
    phase = next;
  }
}
