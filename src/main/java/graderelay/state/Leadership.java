package graderelay.state;

import graderelay.net.Loop;
import graderelay.peer.PeerClient;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Leader election and leadership of this controller. The leader record is attached to a session
 * lease of the controller that wrote it and is deleted when that lease expires; the term is a
 * persistent counter. This class connects the parts: {@link LeaderElection} acquires the
 * leadership, {@link SessionLeaseRenewal} and {@link LeaderPledges} maintain it, and {@link
 * LeaderTenure} starts and stops leading.
 */
public final class Leadership {
  /** Receives the changes of this controller's leadership. */
  public interface Listener {
    /** This controller has won an election and leads in a new term. */
    void onStartedLeading(long term);

    /** The leader has raised its own term. */
    void onTermRaised(long term);

    /** This controller has stopped leading. */
    void onStoppedLeading(String reason);
  }

  private final StateClient stateClient;
  private final Cache cache;
  private final Listener listener;
  private final Candidate self;
  private final LeaderStatus status = new LeaderStatus();
  private final StoreAvailability storeAvailability;
  private final GivenPledges givenPledges;
  private final SessionLeaseRenewal renewal;
  private final PeerMonitor peerMonitor;
  private final LeaderHandover handover;
  private final LeaderPledges leaderPledges;
  private final LeaderlessPledges leaderlessPledges;
  private final LeaderlessTerm leaderlessTerm;
  private final LeaderElection election;
  private final LeaderTenure tenure;
  private final TermRaise termRaise;

  /**
   * Creates the leadership of a controller process; nothing happens before {@link #reconcile}.
   *
   * @param member the name of this controller
   * @param address the address at which its peers reach it
   * @param sessionLeaseS the TTL of its session leases, in seconds
   * @param random supplies uniform random numbers from 0 to 1
   */
  public Leadership(
      Loop loop,
      StateClient stateClient,
      Cache cache,
      String member,
      String address,
      double sessionLeaseS,
      PeerClient peerClient,
      Cancellations cancellations,
      DoubleSupplier random,
      Listener listener) {
    this.stateClient = stateClient;
    this.cache = cache;
    this.listener = listener;
    String incarnation = Long.toHexString(Double.doubleToRawLongBits(random.getAsDouble()));
    this.self = new Candidate(member, address, incarnation);
    this.storeAvailability = new StoreAvailability(loop, stateClient);
    this.givenPledges = new GivenPledges(loop, stateClient, cache, status);
    this.renewal =
        new SessionLeaseRenewal(
            loop, stateClient, status, sessionLeaseS, this::onRenewalsFailing, this::stepDown);
    this.peerMonitor =
        new PeerMonitor(loop, stateClient, cache, peerClient, member, status, renewal);
    cancellations.excludePeers(peerMonitor::isSuspended);
    this.handover =
        new LeaderHandover(
            stateClient,
            cache,
            peerClient,
            member,
            status,
            givenPledges,
            this::stepDown,
            this::reconcile);
    PledgeRequests pledgeRequests =
        new PledgeRequests(loop, peerClient, storeAvailability, cancellations);
    this.leaderPledges =
        new LeaderPledges(
            loop, member, status, renewal, cancellations, pledgeRequests, peerMonitor, handover);
    this.leaderlessPledges =
        new LeaderlessPledges(
            loop,
            member,
            status,
            storeAvailability,
            cache.features().gate(),
            pledgeRequests,
            peerMonitor);
    this.leaderlessTerm = new LeaderlessTerm(cache, cancellations);
    this.election = newElection(loop, sessionLeaseS, random);
    this.tenure = newTenure();
    this.termRaise = new TermRaise(stateClient, cache, self, status, tenure, this::reconcile);
  }

  private LeaderElection newElection(Loop loop, double sessionLeaseS, DoubleSupplier random) {
    return new LeaderElection(
        loop,
        stateClient,
        cache,
        self,
        sessionLeaseS,
        random,
        status,
        givenPledges,
        this::reconcile,
        won -> tenure.start(won));
  }

  private LeaderTenure newTenure() {
    return new LeaderTenure(
        stateClient,
        cache,
        self.member(),
        status,
        renewal,
        leaderPledges,
        peerMonitor,
        listener,
        election::retryLater);
  }

  // ---------------------------------------------------------------- state and queries

  /** True while this controller is the leader, whether or not it may currently act as such. */
  public boolean isLeader() {
    return status.isLeader();
  }

  /**
   * True if this controller may act as the leader: either its session lease is still valid, or no
   * other controller can win an election because each has pledged not to stand or is suspended.
   */
  public boolean mayActAsLeader() {
    return tenure.mayAct();
  }

  /** The fencing token of the current leadership, or of the last one of this process. */
  public long term() {
    return status.term();
  }

  /** The revision of the leader record that this controller last wrote. */
  public long leaderRevision() {
    return status.leaderRevision();
  }

  /** The ID that distinguishes this process from other processes of the same controller. */
  public String incarnation() {
    return self.incarnation();
  }

  /** True if this controller leads and the peer has answered its recent status requests. */
  public boolean isPeerResponsive(String peer) {
    return peerMonitor.isResponsive(peer);
  }

  /**
   * True if the key-value store is unavailable to this controller and, according to its peers, to
   * all controllers; false if no peer has answered.
   */
  public boolean isStoreUnavailableToAll() {
    return storeAvailability.isUnavailableForAll();
  }

  /**
   * Returns the term under which this controller may renew the lease of a worker although there is
   * no leader: the key-value store is unavailable, and every other controller has pledged not to
   * stand for election or is suspended. The only worker commands that it may send are kills of
   * cancelled tasks. Empty if it must not renew the lease.
   *
   * @param reportedTerm the highest term that the worker has seen
   */
  public OptionalLong leaderlessTerm(long reportedTerm) {
    return reportedTerm > 0 && leaderlessPledges.mayRenewLeases()
        ? leaderlessTerm.forWorker(reportedTerm)
        : OptionalLong.empty();
  }

  // ---------------------------------------------------------------- events

  /**
   * Acts on the election records: stands for election if there is no leader, steps down if this
   * controller is superseded, and resigns if the feature gate is closed. To be called when the
   * records were first read and when they have changed.
   */
  public void reconcile() {
    if (status.isClosed() || !cache.isElectionLoaded()) {
      return;
    }
    if (!cache.features().gate().isOpen()) {
      resign(cache.features().gate().notOpenReason());
    } else if (!status.isLeader()) {
      election.standIfLeaderless();
    } else if (!termRaise.isInProgress()) {
      tenure.stepDownIfSuperseded();
    }
  }

  /** Performs the time-based checks; to be called periodically. */
  public void tick() {
    if (!status.isLeader() && storeAvailability.isUnavailable()) {
      // Not only on a heartbeat: a worker tries the controllers one after the other, and its lease
      // may have only a few seconds left.
      leaderlessPledges.collect();
    }
    tenure.stepDownIfExpired();
    if (status.isLeader()) {
      leaderPledges.requestIfCancellationsAge();
    }
  }

  /**
   * Collects the pledges that are needed to renew worker leases without a leader; to be called when
   * a heartbeat arrives while there is no leader.
   */
  public void collectLeaderlessPledges() {
    leaderlessPledges.collect();
  }

  /**
   * Handles the request of a leader that can't renew its session lease for a pledge not to stand
   * for election.
   *
   * @return false if the pledge is refused
   */
  public boolean pledgeToLeader(long term, double durationS) {
    return givenPledges.pledgeToLeader(term, durationS);
  }

  /**
   * Handles the request of a peer that wants to renew worker leases without a leader for a pledge
   * not to stand for election.
   *
   * @return false if the pledge is refused because this controller leads or could win an election
   */
  public boolean pledgeLeaderless(double durationS) {
    return givenPledges.pledgeLeaderless(durationS);
  }

  /** Accepts changes a second that the leader of a term lends to this controller. */
  public void borrowWriteCapacity(long term, double changesPerS) {
    if (status.isActiveFollower() && term >= cache.term()) {
      stateClient.budget().borrow(changesPerS);
    }
  }

  /** Takes over from a peer that has stopped leading: revokes the session lease of that peer. */
  public void acceptHandover(String peer, long term, long sessionLease) {
    handover.takeOverFrom(peer, term, sessionLease);
  }

  // ---------------------------------------------------------------- actions

  /** Raises the term of this leader; calls back with the new term, or with 0 on failure. */
  public void raiseTerm(Consumer<Long> done) {
    termRaise.raise(done);
  }

  /** Changes the cluster's feature level and raises the term of this leader in one transaction. */
  public void changeLevel(LevelChange change, Consumer<StoreOutcome> done) {
    boolean otherChangeInProgress =
        peerMonitor.isChangingSuspension() || election.isAttemptPending();
    termRaise.changeLevel(change, otherChangeInProgress, listener::onTermRaised, done);
  }

  /** Steps down and revokes the session lease, which deletes the leader record. */
  public void resign(String reason) {
    tenure.resign(reason);
  }

  /** Stops all activity of this process; a leadership that it holds expires with its lease. */
  public void close() {
    status.close();
    renewal.close();
  }

  private void onRenewalsFailing() {
    leaderPledges.startRequesting();
  }

  private void stepDown(String reason) {
    tenure.stepDown(reason);
  }
}
