package graderelay.state;

import graderelay.config.Settings;
import graderelay.core.LeaseTiming;
import graderelay.net.Loop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Election pledges of one kind that peers gave this controller. All times are of this controller's
 * clock.
 */
final class CollectedPledges {
  private final Loop loop;
  private final List<Settings.Peer> peers;
  private final PeerSupervisor supervisor;

  /** Until when each peer's pledge lasts, by member. */
  private final Map<String, Double> until = new HashMap<>();

  /** Collects nothing yet; a peer that the supervisor has suspended counts like a pledge. */
  CollectedPledges(Loop loop, List<Settings.Peer> peers, PeerSupervisor supervisor) {
    this.loop = loop;
    this.peers = peers;
    this.supervisor = supervisor;
  }

  /** A peer granted a pledge for some seconds; they count from when it was asked for. */
  void add(String member, double askedAt, double seconds) {
    until.put(
        member,
        askedAt
            + seconds * (1 - LeaseTiming.MAX_CLOCK_DRIFT_RATIO)
            - ElectionTiming.PLEDGE_MARGIN_S);
  }

  /** Forgets every pledge. */
  void clear() {
    until.clear();
  }

  /** True if no peer can win an election: each has pledged not to stand, or is suspended. */
  boolean allHeld() {
    return loop.now() < earliestEnd();
  }

  /** The end of the first pledge to end; without peers nobody has pledged anything. */
  private double earliestEnd() {
    double earliest = Double.POSITIVE_INFINITY;
    for (Settings.Peer peer : peers) {
      double pledged = until.getOrDefault(peer.member(), Double.NEGATIVE_INFINITY);
      double suspended = supervisor.suspendedUntil(peer.member());
      earliest = Math.min(earliest, Math.max(pledged, suspended));
    }
    return peers.isEmpty() ? Double.NEGATIVE_INFINITY : earliest;
  }
}
