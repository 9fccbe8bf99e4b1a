package graderelay.state;

import graderelay.config.Settings;
import graderelay.core.LeaseTiming;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Election pledges of one kind that peers gave this controller. All times are of this controller's
 * clock.
 */
final class CollectedPledges {
  private final List<Settings.Peer> peers;
  private final ToDoubleFunction<String> suspendedUntil;

  /** Until when each peer's pledge lasts, by member. */
  private final Map<String, Double> until = new HashMap<>();

  /**
   * Collects nothing yet.
   *
   * @param suspendedUntil until when a peer can't win an election since it is suspended
   */
  CollectedPledges(List<Settings.Peer> peers, ToDoubleFunction<String> suspendedUntil) {
    this.peers = peers;
    this.suspendedUntil = suspendedUntil;
  }

  /** A peer granted a pledge for some seconds; they count from when it was asked for. */
  void add(String member, double askedAt, double seconds) {
    until.put(member, askedAt + seconds * (1 - LeaseTiming.DRIFT) - ElectionTiming.PLEDGE_MARGIN_S);
  }

  /** Forgets every pledge. */
  void clear() {
    until.clear();
  }

  /**
   * Until when no peer can win an election: each has pledged not to stand, or is suspended. Without
   * peers nobody has pledged anything, so this is negative infinity.
   */
  double noPeerStandsUntil() {
    double earliest = Double.POSITIVE_INFINITY;
    for (Settings.Peer peer : peers) {
      double pledged = until.getOrDefault(peer.member(), Double.NEGATIVE_INFINITY);
      double suspended = suspendedUntil.applyAsDouble(peer.member());
      earliest = Math.min(earliest, Math.max(pledged, suspended));
    }
    return peers.isEmpty() ? Double.NEGATIVE_INFINITY : earliest;
  }
}
