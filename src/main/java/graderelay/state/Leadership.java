package graderelay.state;

import graderelay.net.Loop;
import graderelay.peer.PeerClient;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Wins, keeps and loses the leadership of the cluster. The leader record is attached to a session
 * lease of its writer and goes with it; the term is a counter that stays. This class joins the
 * parts: {@link LeaderElection} wins, {@link SessionLeaseRenewal} and {@link LeaderPledges} keep,
 * {@link LeaderTenure} begins and ends what a leader does.
 */
public final class Leadership {
  /** Hears of changes. */
  public interface Listener {
    /** This controller has won an election and leads under a new term. */
    void onWon(long term);

    /** The term of this leader is higher than before. */
    void onTermRaised(long term);

    /** This controller does not lead any more. */
    void onLost(String why);
  }

  private final StateClient state;
  private final Cache cache;
  private final Listener listener;
  private final Candidate self;
  private final LeaderStatus status = new LeaderStatus();
  private final StoreAvailability store;
  private final GivenPledges givenPledges;
  private final SessionLeaseRenewal renewal;
  private final PeerSupervisor supervisor;
  private final LeaderHandover handover;
  private final LeaderPledges leaderPledges;
  private final LeaderlessPledges leaderlessPledges;
  private final LeaderElection election;
  private final LeaderTenure tenure;
  private final TermRaise termRaise;

  /**
   * Makes the leadership of one process, which does nothing before {@link #consider}.
   *
   * @param member this controller's name
   * @param address where its peers reach it
   * @param sessionLeaseS length of its session leases, in seconds
   * @param random draws from 0 to 1
   */
  public Leadership(
      Loop loop,
      StateClient state,
      Cache cache,
      String member,
      String address,
      double sessionLeaseS,
      PeerClient peerClient,
      Cancellations cancellations,
      DoubleSupplier random,
      Listener listener) {
    this.state = state;
    this.cache = cache;
    this.listener = listener;
    String process = Long.toHexString(Double.doubleToRawLongBits(random.getAsDouble()));
    this.self = new Candidate(member, address, process);
    this.store = new StoreAvailability(loop, state);
    this.givenPledges = new GivenPledges(loop, state, cache, status);
    this.renewal =
        new SessionLeaseRenewal(
            loop, state, status, sessionLeaseS, this::onRenewalsFail, this::lose);
    this.supervisor = new PeerSupervisor(loop, state, cache, peerClient, member, status, renewal);
    cancellations.excludePeers(supervisor::isSuspended);
    this.handover =
        new LeaderHandover(
            state, cache, peerClient, member, status, givenPledges, this::lose, this::consider);
    PledgeRequests requests = new PledgeRequests(loop, peerClient, store, cancellations);
    this.leaderPledges =
        new LeaderPledges(
            loop, member, status, renewal, cancellations, requests, supervisor, handover);
    this.leaderlessPledges =
        new LeaderlessPledges(
            loop, member, status, store, cache.features().gate(), requests, supervisor);
    this.election = newElection(loop, sessionLeaseS, random);
    this.tenure = newTenure();
    this.termRaise = new TermRaise(state, cache, self, status, tenure, this::consider);
  }

  private LeaderElection newElection(Loop loop, double sessionLeaseS, DoubleSupplier random) {
    return new LeaderElection(
        loop,
        state,
        cache,
        self,
        sessionLeaseS,
        random,
        status,
        givenPledges,
        this::consider,
        won -> tenure.begin(won));
  }

  private LeaderTenure newTenure() {
    return new LeaderTenure(
        state,
        cache,
        self.member(),
        status,
        renewal,
        leaderPledges,
        supervisor,
        listener,
        election::retryLater);
  }

  // ---------------------------------------------------------------- state and queries

  /** True while this controller is the leader, whether or not it may act at the moment. */
  public boolean isLeader() {
    return status.isLeader();
  }

  /**
   * True if this controller may act as the leader: its session lease lasts, or every other
   * controller has pledged not to stand for election meanwhile, since nobody else could lead.
   */
  public boolean mayActAsLeader() {
    return tenure.mayAct();
  }

  /** The fencing token of the present leadership, or of this process's last one. */
  public long term() {
    return status.term();
  }

  /** The revision of the leader record as this controller wrote it last. */
  public long leaderRevision() {
    return status.recordRevision();
  }

  /** Tells this process from earlier and later ones of the same controller. */
  public String process() {
    return self.process();
  }

  /** True if we lead and the peer answered our last status requests. */
  public boolean hears(String peer) {
    return supervisor.hears(peer);
  }

  /**
   * True if the key-value store is away for this controller and, as far as its peers say, for all;
   * false without a peer's word.
   */
  public boolean isStoreAwayForAll() {
    return store.isUnavailableForAll();
  }

  /**
   * True if this controller may renew worker leases although there is no leader: the key-value
   * store is away, and every other controller has just pledged not to stand for election. It may
   * give no worker command but the kills of cancelled tasks.
   */
  public boolean holdsLeaderlessPledges() {
    return leaderlessPledges.allHeld();
  }

  // ---------------------------------------------------------------- events

  /** The records of the election have changed or were read for the first time. */
  public void consider() {
    if (status.isClosed() || !cache.isElectionLoaded()) {
      return;
    }
    if (!cache.features().gate().isOpen()) {
      resign(cache.features().gate().closedBecause());
    } else if (!status.isLeader()) {
      election.consider();
    } else if (!termRaise.isBusy()) {
      tenure.endIfSuperseded();
    }
  }

  /** Looks at the clock: to be called now and then. */
  public void tick() {
    if (!status.isLeader() && store.isUnavailable()) {
      // Before a worker asks: it may have few seconds left, and tries each controller in turn.
      leaderlessPledges.seek();
    }
    tenure.endIfExpired();
    if (status.isLeader()) {
      leaderPledges.askIfCancellationsAge();
    }
  }

  /** A worker asks while there is no leader: sees whether its lease can be renewed without one. */
  public void seekLeaderlessPledges() {
    leaderlessPledges.seek();
  }

  /**
   * A leader that can't renew its session lease asks us not to stand for election.
   *
   * @return false if we refuse
   */
  public boolean pledge(long term, double seconds) {
    return givenPledges.pledgeToLeader(term, seconds);
  }

  /**
   * A peer that wants to renew worker leases without a leader asks us not to stand for election.
   *
   * @return false if we refuse: we lead, or could win an election ourselves
   */
  public boolean pledgeLeaderless(double seconds) {
    return givenPledges.pledgeLeaderless(seconds);
  }

  /** The leader of a term lends us changes a second. */
  public void takeShare(long term, double changesPerS) {
    if (status.isActiveFollower() && term >= cache.term()) {
      state.budget().borrow(changesPerS);
    }
  }

  /** A peer has stopped acting as the leader and leaves us its session lease to end. */
  public void takeHandover(String from, long term, long sessionLease) {
    handover.acceptFrom(from, term, sessionLease);
  }

  // ---------------------------------------------------------------- actions

  /** Raises our own term; calls back with the new one, or with 0 if it could not be raised. */
  public void raiseTerm(Consumer<Long> done) {
    termRaise.raise(done);
  }

  /** Changes the cluster's feature level, and raises our term with it. */
  public void changeLevel(LevelChange change, Consumer<StoreOutcome> done) {
    boolean otherChange = supervisor.isChangingSuspension() || election.isBusy();
    termRaise.changeLevel(change, otherChange, listener::onTermRaised, done);
  }

  /** Gives the leadership up at once and lets the leader record go. */
  public void resign(String why) {
    tenure.resign(why);
  }

  /** Ends the duties of this process; the leadership, if it has it, expires. */
  public void close() {
    status.close();
    renewal.close();
  }

  private void onRenewalsFail() {
    leaderPledges.startAsking();
  }

  private void lose(String why) {
    tenure.lose(why);
  }
}
