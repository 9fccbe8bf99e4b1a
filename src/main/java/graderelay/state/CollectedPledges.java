package graderelay.state;

import graderelay.config.Settings;
import graderelay.core.LeaseTiming;
import graderelay.net.Loop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Pledges of one kind, to a leader or without one, that peers have given this controller. All times
 * are on this controller's clock.
 */
final class CollectedPledges {
  private final Loop loop;
  private final List<Settings.Peer> peers;
  private final PeerMonitor peerMonitor;

  /** When the pledge of each peer expires, by member. */
  private final Map<String, Double> expiryTimes = new HashMap<>();

  /** Creates an empty collection; a suspended peer counts as one that has pledged. */
  CollectedPledges(Loop loop, List<Settings.Peer> peers, PeerMonitor peerMonitor) {
    this.loop = loop;
    this.peers = peers;
    this.peerMonitor = peerMonitor;
  }

  /** Adds a pledge that a peer has granted; its duration counts from when it was requested. */
  void add(String member, double requestedAt, double durationS) {
    expiryTimes.put(
        member,
        requestedAt
            + durationS * (1 - LeaseTiming.MAX_CLOCK_DRIFT_RATIO)
            - ElectionTiming.EXPIRY_MARGIN_S);
  }

  /** Discards all pledges. */
  void clear() {
    expiryTimes.clear();
  }

  /** True if no peer can win an election: each has pledged not to stand or is suspended. */
  boolean areAllPeersExcluded() {
    return loop.now() < earliestExpiry();
  }

  /** When the first peer is no longer excluded; without peers there is no pledge to rely on. */
  private double earliestExpiry() {
    double earliest = Double.POSITIVE_INFINITY;
    for (Settings.Peer peer : peers) {
      double pledgedUntil = expiryTimes.getOrDefault(peer.member(), Double.NEGATIVE_INFINITY);
      double suspendedUntil = peerMonitor.suspendedUntil(peer.member());
      earliest = Math.min(earliest, Math.max(pledgedUntil, suspendedUntil));
    }
    return peers.isEmpty() ? Double.NEGATIVE_INFINITY : earliest;
  }
}
