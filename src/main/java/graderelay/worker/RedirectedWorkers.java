package graderelay.worker;

import graderelay.core.Heartbeat;
import graderelay.wire.StateCodec;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers which workers were redirected to the leader a moment ago. A worker that comes back
 * after that can't reach the leader; its heartbeats are relayed, so that a cut between the two
 * doesn't cost it its lease. Used on the event loop only; times are seconds on the loop's clock.
 */
final class RedirectedWorkers {
  /** Seconds within which a worker that comes back is taken to be unable to reach the leader. */
  private static final double RETURN_WINDOW_S = 12;

  /**
   * Workers remembered as redirected to the leader, some 150 bytes each: all of a fleet of four
   * thousand, with as many again that were replaced a moment ago.
   */
  private static final int MAX_TRACKED_WORKERS = 8192;

  /**
   * Seconds after which a worker whose heartbeats are relayed is redirected to the leader again.
   */
  private static final double MAX_RELAY_DURATION_S = 25;

  /** Stands for a worker whose heartbeats are not relayed. */
  private static final double NOT_RELAYED = Double.POSITIVE_INFINITY;

  /**
   * The last heartbeat of a worker that came here.
   *
   * @param receivedAt when it came
   * @param relayedSince since when its heartbeats are relayed, or {@link #NOT_RELAYED}
   */
  private record LastHeartbeat(double receivedAt, double relayedSince, long session, long seq) {}

  /** By machine, the one that was heard longest ago first. */
  private final Map<String, LastHeartbeat> byMachine = new LinkedHashMap<>();

  /**
   * Decides what becomes of a heartbeat that this controller can't answer, and remembers it.
   *
   * @param leader the leader's record, or null if nobody leads
   * @param reachable true if this controller knows the leader's address
   * @return true to relay it to the leader, false to redirect its worker to it
   */
  boolean shouldRelay(
      Heartbeat heartbeat, StateCodec.LeaderRecord leader, boolean leaderAddressKnown, double now) {
    LastHeartbeat last = byMachine.remove(heartbeat.machine());
    if (last != null && !heartbeat.isNewerThan(last.session(), last.seq())) {
      // A copy of the past is no sign that its worker can't reach the leader.
      remember(heartbeat.machine(), last);
      return false;
    }
    if (!leaderAddressKnown) {
      return false;
    }
    boolean relay = cannotReachLeader(heartbeat, last, leader, now);
    double relayedSince = relay ? relayedSince(last, now) : NOT_RELAYED;
    remember(
        heartbeat.machine(),
        new LastHeartbeat(now, relayedSince, heartbeat.session(), heartbeat.seq()));
    return relay;
  }

  /** Since when a worker's heartbeats are relayed, if the one at {@code now} is relayed. */
  private static double relayedSince(LastHeartbeat last, double now) {
    return last == null ? now : Math.min(now, last.relayedSince());
  }

  private static boolean cannotReachLeader(
      Heartbeat heartbeat, LastHeartbeat last, StateCodec.LeaderRecord leader, double now) {
    boolean returnedRecently = last != null && now - last.receivedAt() < RETURN_WINDOW_S;
    boolean notRedirectedRecently =
        last == null || (!returnedRecently && last.relayedSince() == NOT_RELAYED);
    // A worker with the leader's own term was answered by it before: it is here since the leader no
    // longer answers, and to redirect it would cost it half its lease. That it was redirected long
    // ago, before it was answered, is no reason to do so again.
    boolean wasAnsweredByLeader =
        notRedirectedRecently && leader != null && heartbeat.term() >= leader.term();
    boolean relayedForMaxDuration =
        last != null && now - last.relayedSince() > MAX_RELAY_DURATION_S;
    return (returnedRecently || wasAnsweredByLeader) && !relayedForMaxDuration;
  }

  private void remember(String machine, LastHeartbeat last) {
    byMachine.put(machine, last);
    if (byMachine.size() > MAX_TRACKED_WORKERS) {
      byMachine.remove(byMachine.keySet().iterator().next());
    }
  }
}
