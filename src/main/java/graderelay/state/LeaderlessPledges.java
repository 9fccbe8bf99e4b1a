package graderelay.state;

import graderelay.features.FeatureGate;
import graderelay.net.Loop;
import graderelay.wire.PeerRequest;

/**
 * Collects pledges that keep worker leases renewed while there is no leader and the key-value store
 * is away. While every other controller has pledged not to stand for election there is no leader
 * and none can come, so whoever has the pledges may renew leases. That only keeps running tasks
 * alive; it gives no worker command but the kills of cancelled tasks.
 */
final class LeaderlessPledges {
  /** Seconds between requests for pledges. */
  private static final double ASK_EVERY_S = 0.2;

  /** Seconds for which the pledges are renewed after a worker's last heartbeat. */
  private static final double WANTED_S = 10;

  private final Loop loop;
  private final String member;
  private final LeaderStatus status;
  private final StoreAvailability store;
  private final FeatureGate gate;
  private final PledgeRequests requests;
  private final CollectedPledges pledges;
  private double lastWanted = Double.NEGATIVE_INFINITY;
  private boolean asking;

  LeaderlessPledges(
      Loop loop,
      String member,
      LeaderStatus status,
      StoreAvailability store,
      FeatureGate gate,
      PledgeRequests requests,
      PeerSupervisor supervisor) {
    this.loop = loop;
    this.member = member;
    this.status = status;
    this.store = store;
    this.gate = gate;
    this.requests = requests;
    this.pledges = new CollectedPledges(loop, requests.peers(), supervisor);
  }

  /** True if this controller may renew worker leases although there is no leader. */
  boolean allHeld() {
    return !status.isLeader() && !gate.isShut() && store.isUnavailable() && pledges.allHeld();
  }

  /** Collects the pledges for the next seconds, if there is a reason to. */
  void seek() {
    lastWanted = loop.now();
    if (!asking && !status.isLeader() && store.isUnavailable()) {
      ask();
    }
  }

  private void ask() {
    asking =
        status.isActiveFollower() && store.isUnavailable() && loop.now() - lastWanted < WANTED_S;
    if (!asking) {
      return;
    }
    requests.sendToAll(
        new PeerRequest.KeepPledge(member, ElectionTiming.LEADERLESS_PLEDGE_S),
        (peer, sentAt, answer) -> {
          if (answer.granted()) {
            pledges.add(peer.member(), sentAt, ElectionTiming.LEADERLESS_PLEDGE_S);
          }
        });
    loop.after(ASK_EVERY_S, this::ask);
  }
}
