package graderelay.state;

import graderelay.features.FeatureGate;
import graderelay.net.Loop;
import graderelay.wire.PeerRequest;

/**
 * Collects the pledges that allow this controller to renew worker leases while there is no leader
 * and the key-value store is unavailable. While every other controller has pledged not to stand for
 * election there is no leader and none can be elected, so a controller with all pledges may renew
 * leases. That only keeps running tasks alive: the only worker commands that it may send are kills
 * of cancelled tasks.
 */
final class LeaderlessPledges {
  /** Seconds between requests for pledges. */
  private static final double REQUEST_INTERVAL_S = 0.2;

  /** Seconds after the last call of {@link #collect} for which pledges are requested. */
  private static final double COLLECT_DURATION_S = 10;

  private final Loop loop;
  private final String member;
  private final LeaderStatus status;
  private final StoreAvailability storeAvailability;
  private final FeatureGate gate;
  private final PledgeRequests pledgeRequests;
  private final CollectedPledges pledges;
  private double lastCollectAt = Double.NEGATIVE_INFINITY;
  private boolean requesting;

  LeaderlessPledges(
      Loop loop,
      String member,
      LeaderStatus status,
      StoreAvailability storeAvailability,
      FeatureGate gate,
      PledgeRequests pledgeRequests,
      PeerMonitor peerMonitor) {
    this.loop = loop;
    this.member = member;
    this.status = status;
    this.storeAvailability = storeAvailability;
    this.gate = gate;
    this.pledgeRequests = pledgeRequests;
    this.pledges = new CollectedPledges(loop, pledgeRequests.peers(), peerMonitor);
  }

  /** True if this controller may renew worker leases without a leader. */
  boolean mayRenewLeases() {
    return !status.isLeader()
        && !gate.isClosed()
        && storeAvailability.isUnavailable()
        && pledges.areAllPeersExcluded();
  }

  /** Requests pledges for the next seconds, if the store is unavailable and there is no leader. */
  void collect() {
    lastCollectAt = loop.now();
    if (!requesting && !status.isLeader() && storeAvailability.isUnavailable()) {
      requestPledges();
    }
  }

  private void requestPledges() {
    requesting =
        status.isActiveFollower()
            && storeAvailability.isUnavailable()
            && loop.now() - lastCollectAt < COLLECT_DURATION_S;
    if (!requesting) {
      return;
    }
    pledgeRequests.sendToAll(
        new PeerRequest.LeaderlessPledge(member, ElectionTiming.LEADERLESS_PLEDGE_S),
        (peer, sentAt, answer) -> {
          if (answer.granted()) {
            pledges.add(peer.member(), sentAt, ElectionTiming.LEADERLESS_PLEDGE_S);
          }
        });
    loop.schedule(REQUEST_INTERVAL_S, this::requestPledges);
  }
}
