package graderelay.state;

import graderelay.config.Settings;
import graderelay.net.Loop;
import graderelay.wire.PeerRequest;

/**
 * Collects pledges while this controller leads and can't renew its session lease: as long as every
 * peer has pledged not to stand for election, nobody else can become the leader, so this one may go
 * on after its lease. Peers are also asked while what is known of cancellations is getting old,
 * since their answers bring it.
 */
final class LeaderPledges {
  /** Seconds between requests for pledges. */
  private static final double ASK_EVERY_S = 0.2;

  /** Seconds of failing renewals after which a peer that the store serves gets the leadership. */
  private static final double HANDOVER_AFTER_S = 0.8;

  private final Loop loop;
  private final String member;
  private final LeaderStatus status;
  private final SessionLeaseRenewal renewal;
  private final Cancellations cancellations;
  private final PledgeRequests requests;
  private final CollectedPledges pledges;
  private final LeaderHandover handover;
  private boolean asking;

  LeaderPledges(
      Loop loop,
      String member,
      LeaderStatus status,
      SessionLeaseRenewal renewal,
      Cancellations cancellations,
      PledgeRequests requests,
      PeerSupervisor supervisor,
      LeaderHandover handover) {
    this.loop = loop;
    this.member = member;
    this.status = status;
    this.renewal = renewal;
    this.cancellations = cancellations;
    this.requests = requests;
    this.pledges = new CollectedPledges(loop, requests.peers(), supervisor);
    this.handover = handover;
  }

  /** True if no peer can win an election at the moment. */
  boolean allHeld() {
    return pledges.allHeld();
  }

  /** The leadership is over: its pledges count no more. */
  void clear() {
    pledges.clear();
  }

  /** Begins to ask if what is known of cancellations is getting old. */
  void askIfCancellationsAge() {
    if (!asking && cancellations.isStale()) {
      ask();
    }
  }

  /** Begins to ask, unless the peers are being asked already. */
  void startAsking() {
    if (!asking) {
      ask();
    }
  }

  /** Asks every peer for its pledge, as long as there is a reason to. */
  private void ask() {
    asking = status.isActiveLeader() && (renewal.isFailing() || cancellations.isStale());
    if (!asking) {
      return;
    }
    long term = status.term();
    requests.sendToAll(
        new PeerRequest.Pledge(member, term, ElectionTiming.PLEDGE_S),
        (peer, sentAt, answer) -> {
          if (!status.isLeader() || status.term() != term) {
            return;
          }
          if (answer.granted()) {
            pledges.add(peer.member(), sentAt, ElectionTiming.PLEDGE_S);
          }
          if (answer.reachesState()) {
            handOverIfOnlyWeFail(peer);
          }
        });
    loop.after(ASK_EVERY_S, this::ask);
  }

  /** The store refuses this controller alone: a peer that it serves should lead. */
  private void handOverIfOnlyWeFail(Settings.Peer peer) {
    if (renewal.failingForS() > HANDOVER_AFTER_S) {
      handover.offerTo(peer);
    }
  }
}
