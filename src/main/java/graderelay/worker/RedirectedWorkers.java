package graderelay.worker;

import graderelay.core.Heartbeat;
import graderelay.wire.StateCodec;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks the workers that were recently redirected to the leader. A worker that returns soon after
 * a redirect can't reach the leader; its heartbeats are relayed, so that a network partition
 * between the two doesn't let its lease expire. Used on the event loop only; times are in seconds
 * on the loop's clock.
 */
final class RedirectedWorkers {
  /**
   * Seconds after a redirect within which a returning worker is assumed not to reach the leader.
   */
  private static final double RETURN_WINDOW_S = 12;

  /**
   * Maximum number of tracked workers, at some 150 bytes each: enough for a fleet of four thousand
   * machines and as many that were recently replaced.
   */
  private static final int MAX_TRACKED_WORKERS = 8192;

  /**
   * Seconds after which a worker whose heartbeats are relayed is redirected to the leader again.
   */
  private static final double MAX_RELAY_DURATION_S = 25;

  /** The value of {@code relayedSince} for a worker whose heartbeats are not relayed. */
  private static final double NOT_RELAYED = Double.POSITIVE_INFINITY;

  /**
   * The last heartbeat that this controller received from a worker.
   *
   * @param receivedAt the time of its arrival
   * @param relayedSince when relaying of its heartbeats began, or {@link #NOT_RELAYED}
   */
  private record LastHeartbeat(double receivedAt, double relayedSince, long session, long seq) {}

  /** By machine, ordered by the time of the last heartbeat, the oldest first. */
  private final Map<String, LastHeartbeat> byMachine = new LinkedHashMap<>();

  /**
   * Decides how to handle a heartbeat that this controller can't answer, and records it.
   *
   * @param leader the leader record, or null if there is no leader
   * @param leaderAddressKnown true if this controller knows the leader's address
   * @return true to relay the heartbeat to the leader, false to redirect the worker to the leader
   */
  boolean shouldRelay(
      Heartbeat heartbeat, StateCodec.LeaderRecord leader, boolean leaderAddressKnown, double now) {
    LastHeartbeat previous = byMachine.remove(heartbeat.machine());
    if (previous != null && !heartbeat.isNewerThan(previous.session(), previous.seq())) {
      // A duplicate of an old heartbeat is no evidence that its worker can't reach the leader.
      remember(heartbeat.machine(), previous);
      return false;
    }
    if (!leaderAddressKnown) {
      return false;
    }
    boolean relay = cannotReachLeader(heartbeat, previous, leader, now);
    double relayedSince = relay ? relayedSince(previous, now) : NOT_RELAYED;
    remember(
        heartbeat.machine(),
        new LastHeartbeat(now, relayedSince, heartbeat.session(), heartbeat.seq()));
    return relay;
  }

  /** When relaying of a worker's heartbeats began, if the heartbeat at {@code now} is relayed. */
  private static double relayedSince(LastHeartbeat previous, double now) {
    return previous == null ? now : Math.min(now, previous.relayedSince());
  }

  private static boolean cannotReachLeader(
      Heartbeat heartbeat, LastHeartbeat previous, StateCodec.LeaderRecord leader, double now) {
    boolean returnedRecently = previous != null && now - previous.receivedAt() < RETURN_WINDOW_S;
    boolean notRedirectedRecently =
        previous == null || (!returnedRecently && previous.relayedSince() == NOT_RELAYED);
    // A worker that reports the current leader's term was answered by that leader. It came here
    // because the leader no longer responds to it, and a redirect would take up half of its lease.
    // A redirect from long ago, before the leader answered it, does not change this.
    boolean wasAnsweredByLeader =
        notRedirectedRecently && leader != null && heartbeat.term() >= leader.term();
    boolean relayedForMaxDuration =
        previous != null && now - previous.relayedSince() > MAX_RELAY_DURATION_S;
    return (returnedRecently || wasAnsweredByLeader) && !relayedForMaxDuration;
  }

  private void remember(String machine, LastHeartbeat heartbeat) {
    byMachine.put(machine, heartbeat);
    if (byMachine.size() > MAX_TRACKED_WORKERS) {
      byMachine.remove(byMachine.keySet().iterator().next());
    }
  }
}
