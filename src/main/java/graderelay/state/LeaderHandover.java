package graderelay.state;

import graderelay.config.Settings;
import graderelay.peer.PeerClient;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Hands the leadership over to a peer that the key-value store serves better, and takes it over
 * from one: the old leader stops and names its session lease, which the peer ends.
 */
final class LeaderHandover {
  private static final Logger LOG = LoggerFactory.getLogger("owner");

  private final StateClient state;
  private final Cache cache;
  private final PeerClient peerClient;
  private final String member;
  private final LeaderStatus status;
  private final GivenPledges pledges;
  private final Consumer<String> loseLeadership;
  private final Runnable considerElection;

  LeaderHandover(
      StateClient state,
      Cache cache,
      PeerClient peerClient,
      String member,
      LeaderStatus status,
      GivenPledges pledges,
      Consumer<String> loseLeadership,
      Runnable considerElection) {
    this.state = state;
    this.cache = cache;
    this.peerClient = peerClient;
    this.member = member;
    this.status = status;
    this.pledges = pledges;
    this.loseLeadership = loseLeadership;
    this.considerElection = considerElection;
  }

  /** Stops leading and leaves the leadership to a peer. */
  void offerTo(Settings.Peer peer) {
    long sessionLease = status.sessionLease();
    long term = status.term();
    loseLeadership.accept(
        "only this controller can't reach the key-value store; leaving the leadership to "
            + peer.member());
    pledges.standBack(ElectionTiming.PLEDGE_S);
    peerClient.send(
        peer.address(),
        new PeerRequest.Handover(member, term, sessionLease),
        PeerCodec::decodeReceived,
        peerClient.timeoutS(),
        answer -> {});
  }

  /** A peer has stopped acting as the leader and leaves us its session lease to end. */
  void acceptFrom(String peer, long term, long sessionLease) {
    if (!status.isActiveFollower() || !pledges.isNewestTerm(term)) {
      return;
    }
    LOG.info("leader {} of term {} hands the leadership over", peer, term);
    pledges.releaseFromLeader();
    state.revokeSessionLease(sessionLease, ended -> cache.catchUp(ok -> considerElection.run()));
  }
}
