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
 * The leader's office in one controller: starts a {@link LeaderTerm} once leadership is won and the
 * records are caught up with as they stood then, and closes it on failover. Holds no term while
 * this node follows.
 */
final class LeaderOffice implements Leadership.Listener {
  /** Seconds between looks whether the records are read, for a node that has won the term. */
  private static final double TAKE_UP_RETRY_S = 0.02;

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
   * Makes the office of a follower.
   *
   * @param leading whether this node holds leadership now
   * @param fencingToken the fencing token of this node's leadership now
   * @param entitled whether this node may answer workers for all controllers now
   * @param types the machine types the cloud has listed, null until it has
   * @param newTerm makes the duty of a term with the records and settings as they are now
   */
  LeaderOffice(
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

  /** The current term, or null while this node does not lead. */
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
  List<WorkerCommand> onReport(Heartbeat r, String via) {
    // A leader that is still reading the records keeps leases alive, and orders nothing: it counts
    // them from when its term begins, which is later.
    return current == null ? List.of() : current.onReport(r, via);
  }

  /**
   * A peer asks to be our lease delegate in its zone: granted only while we speak for the
   * controllers, and the core knows the peer; the answer carries what we know of cancellations.
   */
  PeerAnswer.Delegated onDelegationRequest(PeerRequest.Delegation d) {
    return current != null && entitled.getAsBoolean()
        ? new PeerAnswer.Delegated(current.grantLeaseDelegation(d), cancellations.ownKnowledge())
        : new PeerAnswer.Delegated(null, null);
  }

  /** Operators want a team's account written anew; false if this node does not lead any more. */
  boolean replaceAccount(String team) {
    if (current == null) {
      return false;
    }
    current.replaceAccount(team);
    return true;
  }

  /** A peer says that a job was cancelled: carried out at once, written up from its record. */
  void onCancelled(String job) {
    ifLeading(t -> t.onCancelled(job));
  }

  /** Ends the current term for good, as the process ends. */
  void close() {
    closed = true;
    if (current != null) {
      current.close();
    }
  }

  @Override
  public void onWon(long term) {
    metrics.count("graderelay.takeovers", "member", member);
    takeUp(term, loop.now());
  }

  /** Starts the duty as soon as the records are known as they stood when the term was won. */
  private void takeUp(long term, double since) {
    if (!cache.loaded()) {
      if (!closed && leading.getAsBoolean() && fencingToken.getAsLong() == term) {
        loop.after(TAKE_UP_RETRY_S, () -> takeUp(term, since));
      }
      return;
    }
    cache.catchUp(
        ok -> {
          if (closed || !leading.getAsBoolean() || fencingToken.getAsLong() != term) {
            return;
          }
          if (!ok || types.get() == null) {
            loop.after(StateClient.STATE_RETRY_S, () -> takeUp(term, since));
            return;
          }
          current = newTerm.get();
          current.start();
          metrics.span("graderelay.takeover", loop.now() - since);
        });
  }

  @Override
  public void onTermRaised(long term) {
    ifLeading(t -> t.onTermRaised(term));
  }

  @Override
  public void onLost(String why) {
    if (current != null) {
      current.close();
      current = null;
    }
  }
}
