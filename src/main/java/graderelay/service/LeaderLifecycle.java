package graderelay.service;

import graderelay.core.Heartbeat;
import graderelay.core.MachineType;
import graderelay.core.Scheduler;
import graderelay.core.WorkerCommand;
import graderelay.net.Loop;
import graderelay.state.Cache;
import graderelay.state.Cancellations;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.wire.PeerAnswer;
import graderelay.wire.PeerRequest;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Starts a {@link LeaderTerm} once this controller has won leadership and its records are caught up
 * with as they stood then, and closes the term on failover. There is no term on a follower.
 */
final class LeaderLifecycle implements Leadership.Listener {
  /** Seconds between checks whether the records are read, for a controller that has won a term. */
  private static final double RECORDS_CHECK_INTERVAL_S = 0.02;

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
  private boolean closed;

  /**
   * Makes the lifecycle of a controller that is a follower so far.
   *
   * @param leading whether this controller holds leadership now
   * @param fencingToken the fencing token of this controller's leadership now
   * @param entitled whether this controller may answer workers for all controllers now
   * @param types the machine types the cloud has listed, null until it has
   * @param newTerm makes a term with the records and settings as they are now
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

  /** The current term, or null while this controller does not lead. */
  LeaderTerm currentTerm() {
    return currentTerm;
  }

  /** The core of the current term, or null. */
  Scheduler core() {
    return currentTerm == null ? null : currentTerm.core();
  }

  /** Passes an event to the current term, if there is one. */
  void ifLeading(Consumer<LeaderTerm> action) {
    if (currentTerm != null) {
      action.accept(currentTerm);
    }
  }

  /**
   * Takes a heartbeat and returns the worker commands for its response; none while no term runs.
   */
  List<WorkerCommand> onHeartbeat(Heartbeat heartbeat, String receivingController) {
    // A leader that is still reading the records keeps worker leases alive and commands nothing: it
    // counts the leases from when its term begins, which is later.
    return currentTerm == null
        ? List.of()
        : currentTerm.onHeartbeat(heartbeat, receivingController);
  }

  /**
   * A peer asks to be our lease delegate in its zone: granted only while our session lease lasts
   * and if the core knows the peer. The answer carries the cancellations that we have heard of.
   */
  PeerAnswer.Delegated onDelegationRequest(PeerRequest.Delegation request) {
    return currentTerm != null && mayActAsLeader.getAsBoolean()
        ? new PeerAnswer.Delegated(
            currentTerm.grantLeaseDelegation(request), cancellations.ownKnowledge())
        : new PeerAnswer.Delegated(null, null);
  }

  /**
   * Writes a team's account anew for operators; false if this controller does not lead any more.
   */
  boolean replaceAccount(String team) {
    if (currentTerm == null) {
      return false;
    }
    currentTerm.replaceAccount(team);
    return true;
  }

  /** A peer says that a job was cancelled: its tasks are stopped now, its record read later. */
  void onCancelled(String job) {
    ifLeading(term -> term.recordFeed().onCancelled(job));
  }

  /** Ends the current term for good, as the process ends. */
  void close() {
    closed = true;
    if (currentTerm != null) {
      currentTerm.close();
    }
  }

  @Override
  public void onStartedLeading(long term) {
    metrics.count("graderelay.takeovers", "member", member);
    startTerm(term, loop.now());
  }

  /** Starts the term as soon as the records are known as they stood when it was won. */
  private void startTerm(long term, double electedAt) {
    if (!cache.isLoaded()) {
      if (isStillLeader(term)) {
        loop.after(RECORDS_CHECK_INTERVAL_S, () -> startTerm(term, electedAt));
      }
      return;
    }
    cache.catchUp(
        caughtUp -> {
          if (!isStillLeader(term)) {
            return;
          }
          if (!caughtUp || machineTypes.get() == null) {
            loop.after(StateClient.RETRY_DELAY_S, () -> startTerm(term, electedAt));
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
