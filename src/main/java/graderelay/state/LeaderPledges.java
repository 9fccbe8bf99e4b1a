package graderelay.state;

import graderelay.config.Settings;
import graderelay.net.Loop;
import graderelay.wire.PeerRequest;

/**
 * Collects pledges while this controller leads and can't renew its session lease: as long as every
 * peer has pledged not to stand for election, no other controller can become the leader, so this
 * one may continue to lead after its lease has expired. Pledges are also requested while the known
 * cancellations are getting out of date, since the answers include the cancellations known to the
 * peer.
 */
final class LeaderPledges {
  /** Seconds between requests for pledges. */
  private static final double REQUEST_INTERVAL_S = 0.2;

  /** Seconds of failing renewals before a handover to a peer that reaches the key-value store. */
  private static final double HANDOVER_AFTER_FAILING_S = 0.8;

  private final Loop loop;
  private final String member;
  private final LeaderStatus status;
  private final SessionLeaseRenewal renewal;
  private final Cancellations cancellations;
  private final PledgeRequests pledgeRequests;
  private final CollectedPledges pledges;
  private final LeaderHandover handover;
  private boolean requesting;

  LeaderPledges(
      Loop loop,
      String member,
      LeaderStatus status,
      SessionLeaseRenewal renewal,
      Cancellations cancellations,
      PledgeRequests pledgeRequests,
      PeerMonitor peerMonitor,
      LeaderHandover handover) {
    this.loop = loop;
    this.member = member;
    this.status = status;
    this.renewal = renewal;
    this.cancellations = cancellations;
    this.pledgeRequests = pledgeRequests;
    this.pledges = new CollectedPledges(loop, pledgeRequests.peers(), peerMonitor);
    this.handover = handover;
  }

  /** True if currently no peer can win an election. */
  boolean areAllPeersExcluded() {
    return pledges.areAllPeersExcluded();
  }

  /** Discards all pledges, as the leadership that they were given to has ended. */
  void clear() {
    pledges.clear();
  }

  /** Starts to request pledges if the known cancellations are getting out of date. */
  void requestIfCancellationsAge() {
    if (!requesting && cancellations.isStale()) {
      requestPledges();
    }
  }

  /** Starts to request pledges, unless that is in progress. */
  void startRequesting() {
    if (!requesting) {
      requestPledges();
    }
  }

  /** Requests a pledge of every peer, and repeats that as long as pledges are needed. */
  private void requestPledges() {
    requesting = status.isActiveLeader() && (renewal.isFailing() || cancellations.isStale());
    if (!requesting) {
      return;
    }
    long term = status.lastReservedTerm();
    pledgeRequests.sendToAll(
        new PeerRequest.Pledge(member, term, ElectionTiming.LEADER_PLEDGE_S),
        (peer, sentAt, answer) -> {
          if (!status.isLeader() || status.lastReservedTerm() != term) {
            return;
          }
          if (answer.granted()) {
            pledges.add(peer.member(), sentAt, ElectionTiming.LEADER_PLEDGE_S);
          }
          if (answer.reachesStore()) {
            handOverIfFailing(peer);
          }
        });
    loop.schedule(REQUEST_INTERVAL_S, this::requestPledges);
  }

  /** Hands over to a peer that reaches the store if renewals have failed here for a while. */
  private void handOverIfFailing(Settings.Peer peer) {
    if (renewal.failingForS() > HANDOVER_AFTER_FAILING_S) {
      handover.handOverTo(peer);
    }
  }
}
