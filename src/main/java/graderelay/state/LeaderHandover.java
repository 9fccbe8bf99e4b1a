package graderelay.state;

import graderelay.config.Settings;
import graderelay.peer.PeerClient;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Hands the leadership over to a peer that reaches the key-value store, and takes it over from one:
 * the old leader steps down and sends its session lease to the peer, which revokes the lease and
 * stands for election.
 */
final class LeaderHandover {
  private static final Logger LOG = LoggerFactory.getLogger("owner");

  private final StateClient stateClient;
  private final Cache cache;
  private final PeerClient peerClient;
  private final String member;
  private final LeaderStatus status;
  private final GivenPledges givenPledges;
  private final Consumer<String> stepDown;
  private final Runnable reconcile;

  LeaderHandover(
      StateClient stateClient,
      Cache cache,
      PeerClient peerClient,
      String member,
      LeaderStatus status,
      GivenPledges givenPledges,
      Consumer<String> stepDown,
      Runnable reconcile) {
    this.stateClient = stateClient;
    this.cache = cache;
    this.peerClient = peerClient;
    this.member = member;
    this.status = status;
    this.givenPledges = givenPledges;
    this.stepDown = stepDown;
    this.reconcile = reconcile;
  }

  /** Steps down and hands the leadership over to a peer. */
  void handOverTo(Settings.Peer peer) {
    long sessionLease = status.sessionLease();
    long term = status.lastReservedTerm();
    stepDown.accept(
        "only this controller can't reach the key-value store; handing the leadership over to "
            + peer.member());
    givenPledges.backOff(ElectionTiming.LEADER_PLEDGE_S);
    peerClient.send(
        peer.address(),
        new PeerRequest.Handover(member, term, sessionLease),
        PeerCodec::decodeHandoverResponse,
        peerClient.timeoutS(),
        answer -> {});
  }

  /** Takes over from a peer that has stopped leading: revokes its session lease. */
  void takeOverFrom(String peer, long term, long sessionLease) {
    if (!status.isActiveFollower() || !givenPledges.isLatestTerm(term)) {
      return;
    }
    LOG.info("leader {} of term {} handed the leadership over; taking over", peer, term);
    givenPledges.cancelLeaderPledge();
    stateClient.revokeSessionLease(
        sessionLease, revoked -> cache.catchUp(caughtUp -> reconcile.run()));
  }
}
