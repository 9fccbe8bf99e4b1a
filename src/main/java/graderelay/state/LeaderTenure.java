package graderelay.state;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The time for which this controller leads: what begins with a won election, and how it ends. */
final class LeaderTenure {
  private static final Logger LOG = LoggerFactory.getLogger("owner");

  private final StateClient state;
  private final Cache cache;
  private final String member;
  private final LeaderStatus status;
  private final SessionLeaseRenewal renewal;
  private final LeaderPledges pledges;
  private final PeerSupervisor supervisor;
  private final Leadership.Listener listener;
  private final Runnable standAgain;

  /**
   * Begins nothing yet.
   *
   * @param standAgain takes part in elections again, once the leadership is lost
   */
  LeaderTenure(
      StateClient state,
      Cache cache,
      String member,
      LeaderStatus status,
      SessionLeaseRenewal renewal,
      LeaderPledges pledges,
      PeerSupervisor supervisor,
      Leadership.Listener listener,
      Runnable standAgain) {
    this.state = state;
    this.cache = cache;
    this.member = member;
    this.status = status;
    this.renewal = renewal;
    this.pledges = pledges;
    this.supervisor = supervisor;
    this.listener = listener;
    this.standAgain = standAgain;
  }

  /**
   * True if this controller may act as the leader: its session lease lasts, or every other
   * controller has pledged not to stand for election meanwhile, since nobody else could lead.
   */
  boolean mayAct() {
    return status.isLeader()
        && cache.features().gate().isOpen()
        && (renewal.isLeaseHeld() || pledges.allHeld());
  }

  /** This controller has won an election. */
  void begin(WonElection won) {
    status.begin(won);
    state.budget().setLeader(true);
    LOG.info("{} is the leader with term {}", member, won.term());
    renewal.begin(won.leaseSentAt());
    supervisor.begin();
    listener.onWon(won.term());
  }

  /** Ends the leadership if the records show that it is over. */
  void endIfSuperseded() {
    long ours = status.recordRevision();
    if (cache.leader() == null && cache.observedRevision() > ours) {
      lose("the leader record is gone");
    } else if (cache.leader() != null && cache.leaderRevision() > ours) {
      lose(cache.leader().member() + " is the leader with term " + cache.leader().term());
    }
  }

  /** Ends the leadership if this controller may no longer act as the leader. */
  void endIfExpired() {
    if (status.isLeader() && !mayAct()) {
      lose("the session lease could not be renewed in time");
    }
  }

  /** Gives the leadership up at once and revokes the session lease, so that the record goes. */
  void resign(String why) {
    if (!status.isLeader()) {
      return;
    }
    lose(why);
    state.revokeSessionLease(status.sessionLease(), ended -> {});
  }

  /** Stops leading; the session lease is left to expire, or to others. */
  void lose(String why) {
    status.end();
    state.budget().setLeader(false);
    renewal.end();
    pledges.clear();
    LOG.info("{} is no longer the leader of term {}: {}", member, status.term(), why);
    listener.onLost(why);
    standAgain.run();
  }
}
