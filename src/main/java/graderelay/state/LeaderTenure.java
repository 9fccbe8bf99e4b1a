package graderelay.state;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Starts leading when this controller has won an election, and steps down. */
final class LeaderTenure {
  private static final Logger LOG = LoggerFactory.getLogger("owner");

  private final StateClient stateClient;
  private final Cache cache;
  private final String member;
  private final LeaderStatus status;
  private final SessionLeaseRenewal renewal;
  private final LeaderPledges leaderPledges;
  private final PeerMonitor peerMonitor;
  private final Leadership.Listener listener;
  private final Runnable standAgain;

  /**
   * Creates a tenure that starts with {@link #start}.
   *
   * @param standAgain takes part in elections again after this controller has stepped down
   */
  LeaderTenure(
      StateClient stateClient,
      Cache cache,
      String member,
      LeaderStatus status,
      SessionLeaseRenewal renewal,
      LeaderPledges leaderPledges,
      PeerMonitor peerMonitor,
      Leadership.Listener listener,
      Runnable standAgain) {
    this.stateClient = stateClient;
    this.cache = cache;
    this.member = member;
    this.status = status;
    this.renewal = renewal;
    this.leaderPledges = leaderPledges;
    this.peerMonitor = peerMonitor;
    this.listener = listener;
    this.standAgain = standAgain;
  }

  /**
   * True if this controller may act as the leader: either its session lease is still valid, or no
   * other controller can win an election because each has pledged not to stand or is suspended.
   */
  boolean mayAct() {
    return status.isLeader()
        && cache.features().gate().isOpen()
        && (renewal.isLeaseValid() || leaderPledges.areAllPeersExcluded());
  }

  /** Starts leading after a won election. */
  void start(WonElection won) {
    status.startLeading(won);
    stateClient.budget().setLeader(true);
    LOG.info(
        "{} is the leader in term {}, terms up to {} are reserved",
        member,
        won.term(),
        won.terms().lastTerm());
    renewal.start(won.leaseRequestedAt());
    peerMonitor.start();
    listener.onStartedLeading(won.term());
  }

  /** Steps down if the records show that the leader record was deleted or replaced. */
  void stepDownIfSuperseded() {
    long ownRevision = status.leaderRevision();
    if (cache.leader() == null && cache.observedRevision() > ownRevision) {
      stepDown("the leader record was deleted");
    } else if (cache.leader() != null && cache.leaderRevision() > ownRevision) {
      stepDown(cache.leader().member() + " is the leader in term " + cache.leader().term());
    }
  }

  /** Steps down if this controller may no longer act as the leader. */
  void stepDownIfExpired() {
    if (status.isLeader() && !mayAct()) {
      stepDown("the session lease could not be renewed in time");
    }
  }

  /** Steps down and revokes the session lease, which deletes the leader record. */
  void resign(String reason) {
    if (!status.isLeader()) {
      return;
    }
    stepDown(reason);
    stateClient.revokeSessionLease(status.sessionLease(), revoked -> {});
  }

  /** Stops leading; the session lease expires unless it is revoked. */
  void stepDown(String reason) {
    status.stopLeading();
    stateClient.budget().setLeader(false);
    renewal.stop();
    leaderPledges.clear();
    LOG.info("{} is no longer the leader of term {}: {}", member, status.term(), reason);
    listener.onStoppedLeading(reason);
    standAgain.run();
  }
}
