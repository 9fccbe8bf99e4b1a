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
  private final BooleanSupplier leading;
  private final BooleanSupplier entitled;
  private final Cancellations cancellations;
  private final LongSupplier fencingToken;
  private final Metrics metrics;
  private final String member;
  private final Supplier<List<MachineType>> types;
  private final Supplier<LeaderTerm> newTerm;
  private LeaderTerm current;
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
      BooleanSupplier leading,
      LongSupplier fencingToken,
      BooleanSupplier entitled,
      Cancellations cancellations,
      Metrics metrics,
      String member,
      Supplier<List<MachineType>> types,
      Supplier<LeaderTerm> newTerm) {
    this.loop = loop;
    this.cache = cache;
    this.leading = leading;
    this.fencingToken = fencingToken;
    this.entitled = entitled;
    this.cancellations = cancellations;
    this.metrics = metrics;
    this.member = member;
    this.types = types;
    this.newTerm = newTerm;
  }

  /** The current term, or null while this controller does not lead. */
  LeaderTerm current() {
    return current;
  }

  /** The core of the current term, or null. */
  Scheduler core() {
    return current == null ? null : current.core();
  }

  /** Passes an event to the current term, if there is one. */
  void ifLeading(Consumer<LeaderTerm> event) {
    if (current != null) {
      event.accept(current);
    }
  }

  /**
   * Takes a heartbeat and returns the worker commands for its response; none while no term runs.
   */
  List<WorkerCommand> onHeartbeat(Heartbeat heartbeat, String via) {
    // A leader that is still reading the records keeps worker leases alive and commands nothing: it
    // counts the leases from when its term begins, which is later.
    return current == null ? List.of() : current.onHeartbeat(heartbeat, via);
  }

  /**
   * A peer asks to be our lease delegate in its zone: granted only while our session lease lasts
   * and if the core knows the peer. The answer carries the cancellations that we have heard of.
   */
  PeerAnswer.Delegated onDelegationRequest(PeerRequest.Delegation request) {
    return current != null && entitled.getAsBoolean()
        ? new PeerAnswer.Delegated(
            current.grantLeaseDelegation(request), cancellations.ownKnowledge())
        : new PeerAnswer.Delegated(null, null);
  }

  /**
   * Writes a team's account anew for operators; false if this controller does not lead any more.
   */
  boolean replaceAccount(String team) {
    if (current == null) {
      return false;
    }
    current.replaceAccount(team);
    return true;
  }

  /** A peer says that a job was cancelled: its tasks are stopped now, its record read later. */
  void onCancelled(String job) {
    ifLeading(term -> term.records().onCancelled(job));
  }

  /** Ends the current term for good, as the process ends. */
  void close() {
    closed = true;
    if (current != null) {
      current.close();
    }
  }

  @Override
  public void onStartedLeading(long term) {
    metrics.count("graderelay.takeovers", "member", member);
    startTerm(term, loop.now());
  }

  /** Starts the term as soon as the records are known as they stood when it was won. */
  private void startTerm(long term, double wonAt) {
    if (!cache.isLoaded()) {
      if (stillLeads(term)) {
        loop.schedule(RECORDS_CHECK_INTERVAL_S, () -> startTerm(term, wonAt));
      }
      return;
    }
    cache.catchUp(
        caughtUp -> {
          if (!stillLeads(term)) {
            return;
          }
          if (!caughtUp || types.get() == null) {
            loop.schedule(StateClient.RETRY_DELAY_S, () -> startTerm(term, wonAt));
            return;
          }
          current = newTerm.get();
          current.start();
          metrics.span("graderelay.takeover", loop.now() - wonAt);
        });
  }

  private boolean stillLeads(long term) {
    return !closed && leading.getAsBoolean() && fencingToken.getAsLong() == term;
  }

  @Override
  public void onTermRaised(long term) {
    ifLeading(running -> running.onTermRaised(term));
  }

  @Override
  public void onStoppedLeading(String why) {
    if (current != null) {
      current.close();
      current = null;
    }
  }
}
