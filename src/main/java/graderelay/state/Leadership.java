package graderelay.state;

import graderelay.config.Settings;
import graderelay.core.LeaseTiming;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
import graderelay.peer.PeerClient;
import graderelay.wire.PeerAnswer;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import graderelay.wire.StateCodec;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Wins, keeps and loses the fleet. The leader record hangs on a hold of ours; the term is a counter
 * that stays. We count the hold from the moment its renewal was sent, so that we stop before the
 * state service lets anybody else in.
 */
public final class Leadership {
  /** Share of the hold between renewals, so that two may be lost. */
  private static final double RENEW_OF_HOLD = 0.25;

  /** Seconds before the hold's own end at which the leader counts it as over. */
  private static final double HOLD_MARGIN_S = 0.25;

  /** Seconds of pause before a node tries again to take over, with as much again at random. */
  private static final double TAKEOVER_RETRY_S = 0.15;

  /**
   * Seconds for which a peer promises not to take over, while the leader can't renew its hold. A
   * restarted node waits as long, since it may have forgotten a promise.
   */
  private static final double PROMISE_S = 0.6;

  /** Seconds between requests for promises. */
  private static final double PROMISE_EVERY_S = 0.2;

  /**
   * Seconds for which a peer promises not to take over while leases are kept alive without an
   * leader. A restarted node waits as long before it takes over, so it is short.
   */
  private static final double KEEP_S = 0.6;

  /** Seconds between requests for such promises. */
  private static final double KEEP_EVERY_S = 0.2;

  /**
   * Seconds for which a leader counts on a silent peer's bar after it last read the records, and
   * for which that peer waits on its way out of it. Longer than outages of the state service that
   * were met, and no longer than users can wait should all others be gone.
   */
  public static final double BAR_S = 30;

  /** Seconds of silence after which a peer is barred: a few questions, and less than a restart. */
  public static final double BAR_AFTER_S = 3.2;

  /** Seconds between looks of a barred node whether it may take over. */
  private static final double BAR_LOOK_S = 0.5;

  /** Seconds after the end of a promise at which a node tries to take over. */
  private static final double AFTER_BAR_S = 0.005;

  /** Seconds before the end of a promise at which it counts as over. */
  static final double KEEP_MARGIN_S = 0.05;

  /** Seconds of failing calls after which a node takes the state service for away. */
  public static final double KEEP_AFTER_S = 0.5;

  /** Seconds since a worker last asked for which the promises are kept up. */
  private static final double KEEP_WANTED_S = 10;

  /** Seconds of failing renewals after which a peer that is served better gets the fleet. */
  private static final double HANDOVER_S = 0.8;

  private static final Logger LOG = LoggerFactory.getLogger("owner");

  /** Hears of changes. */
  public interface Listener {
    void onWon(long term);

    /** The term of this leader is higher than before. */
    void onTermRaised(long term);

    void onLost(String why);
  }

  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final Listener listener;
  private final String member;
  private final String address;
  private final DoubleSupplier random;
  private final double holdS;

  private boolean leader;
  private long term;
  private long leaderRevision;
  private long hold;
  private double heldUntil;
  private boolean trying;
  private boolean closed;
  private Loop.Timer renewal;
  private boolean raising;

  /** This node has promised, or may have, not to act as the leader before this time. */
  private double notBefore;

  /** When renewals began to fail, or NaN. */
  private double failingSince = Double.NaN;

  private double standBackUntil = Double.NEGATIVE_INFINITY;
  private boolean asking;
  private long promisedTerm;

  /** What each peer promised, until when on our clock. */
  private final Map<String, Double> promised = new HashMap<>();

  /** Promises to peers that keep leases alive, and theirs to us. */
  private double keepBefore;

  private final Map<String, Double> keepPromised = new HashMap<>();
  private double lastWant = Double.NEGATIVE_INFINITY;
  private boolean askingKeep;

  /** When a peer last said that it reaches the state service, and that it does not. */
  private double lastReaching = Double.NEGATIVE_INFINITY;

  private double lastAway = Double.NEGATIVE_INFINITY;

  private final PeerClient peerClient;
  private final Cancellations cancellations;

  /** Tells this process from earlier ones of the same member. */
  private final String self;

  private final PeerSupervisor supervisor;

  /** When our record of leaving our bar was known to stand, or NaN. */
  private double leftAt = Double.NaN;

  public Leadership(
      Loop loop,
      StateClient state,
      Cache cache,
      String member,
      String address,
      double holdS,
      PeerClient peerClient,
      Cancellations cancellations,
      DoubleSupplier random,
      Listener listener) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.listener = listener;
    this.member = member;
    this.address = address;
    this.random = random;
    this.self = Long.toHexString(Double.doubleToRawLongBits(random.getAsDouble()));
    this.peerClient = peerClient;
    this.cancellations = cancellations;
    this.supervisor = new PeerSupervisor(loop, state, cache, peerClient, member, new LeaderView());
    cancellations.mutePeers(p -> loop.now() < supervisor.suspendedUntil(p));
    this.holdS = holdS;
    // An earlier process of this member may have made a promise just before it ended.
    this.keepBefore = loop.now() + KEEP_S * (1 + LeaseTiming.DRIFT);
    this.notBefore = loop.now() + PROMISE_S * (1 + LeaseTiming.DRIFT);
  }

  /** What this leadership shows its supervisor of peers. */
  private final class LeaderView implements PeerSupervisor.Leader {
    @Override
    public boolean leads() {
      return leader && !closed;
    }

    @Override
    public long term() {
      return term;
    }

    @Override
    public long revision() {
      return leaderRevision;
    }

    @Override
    public boolean holdsLease() {
      return loop.now() <= heldUntil;
    }
  }

  /** True if we lead and the peer answered our last questions. */
  public boolean hears(String peer) {
    return supervisor.hears(peer);
  }

  /** The leader tells us our share of the changes. */
  public void takeShare(long itsTerm, double changesPerS) {
    if (!leader && !closed && itsTerm >= cache.term()) {
      state.budget().borrow(changesPerS);
    }
  }

  /** Tells this process from earlier and later ones of the same controller. */
  public String process() {
    return self;
  }

  public boolean leader() {
    return leader;
  }

  /**
   * True if we may still speak for the controllers: the hold lasts, or every other controller has
   * promised not to take over meanwhile, since nobody else could.
   */
  public boolean entitled() {
    return leader && mayLead() && (loop.now() < heldUntil || loop.now() < promisedUntil());
  }

  /** True if this program supports the cluster's feature level. */
  private boolean mayLead() {
    return cache.features().gate().isOpen();
  }

  private double promisedUntil() {
    return earliest(promised);
  }

  /** The end of the first promise to end, if every peer has made one. */
  private double earliest(Map<String, Double> promises) {
    double until = Double.POSITIVE_INFINITY;
    for (Settings.Peer p : peerClient.peers()) {
      double promise = promises.getOrDefault(p.member(), Double.NEGATIVE_INFINITY);
      until = Math.min(until, Math.max(promise, supervisor.suspendedUntil(p.member())));
    }
    return peerClient.peers().isEmpty() ? Double.NEGATIVE_INFINITY : until;
  }

  // ---------------------------------------------------------------- our own suspension

  /**
   * Leaves our own bar, which the last leader put up while it did not hear us. It may count on the
   * bar for a while after its last look, so the way out takes that long; another process of ours
   * has to begin anew.
   *
   * @return true if we have left it, or there is none
   */
  private boolean leftBar() {
    StateCodec.Bar b = cache.suspension(member);
    if (b == null) {
      return true;
    }
    if (b.leaving().equals(self)) {
      leftAt = Double.isNaN(leftAt) ? loop.now() : leftAt;
      double wait = leftAt + BAR_S * (1 + LeaseTiming.DRIFT) - loop.now();
      if (wait <= 0) {
        return true;
      }
      // Looked at again soon: the leader may lift the bar meanwhile.
      later(Math.min(wait, BAR_LOOK_S), this::consider);
      return false;
    }
    leftAt = Double.NaN;
    trying = true;
    String key = cache.election().suspensionKey(member);
    state.commit(
        new Transaction()
            .when(cache.election().leaderKey(), 0)
            .when(key, b.revision())
            .put(key, StateCodec.bar(self)),
        Use.RENEWAL,
        r -> {
          trying = false;
          again();
        });
    return false;
  }

  /** A peer that can't renew its hold asks us not to take over. */
  public boolean promise(String asker, long itsTerm, double seconds) {
    if (leader || closed || cache.term() > itsTerm) {
      return false;
    }
    notBefore = Math.max(notBefore, loop.now() + seconds * (1 + LeaseTiming.DRIFT));
    promisedTerm = Math.max(promisedTerm, itsTerm);
    return true;
  }

  /** A peer has stopped acting as the leader and leaves us its hold to end. */
  public void takeHandover(String from, long itsTerm, long itsHold) {
    if (leader || closed || itsTerm < Math.max(promisedTerm, cache.term())) {
      return;
    }
    LOG.info("{} hands the fleet over", from);
    notBefore = Double.NEGATIVE_INFINITY;
    state.revokeSessionLease(itsHold, x -> cache.catchUp(ok -> consider()));
  }

  /** Asks every peer for its promise, as long as renewals fail. */
  private void askPeers() {
    if (!leader || closed || (Double.isNaN(failingSince) && !cancellations.ageing())) {
      asking = false;
      return;
    }
    asking = true;
    double sentAt = loop.now();
    long of = term;
    for (Settings.Peer p : peerClient.peers()) {
      peerClient.send(
          p.address(),
          new PeerRequest.Pledge(member, of, PROMISE_S),
          PeerCodec::pledged,
          peerClient.timeoutS(),
          answer -> {
            heard(p.member(), sentAt, answer);
            if (answer == null || !leader || term != of) {
              return;
            }
            if (answer.granted()) {
              promised.put(
                  p.member(), sentAt + PROMISE_S * (1 - LeaseTiming.DRIFT) - KEEP_MARGIN_S);
            }
            boolean alone =
                answer.reachesState()
                    && !Double.isNaN(failingSince)
                    && loop.now() - failingSince > HANDOVER_S;
            if (alone) {
              handOver(p);
            }
          });
    }
    loop.after(PROMISE_EVERY_S, this::askPeers);
  }

  /** The state service refuses us alone: who is served should own the fleet. */
  private void handOver(Settings.Peer p) {
    long old = hold;
    long of = term;
    lose("only this node can't reach the state service; leaving the fleet to " + p.member());
    standBack(PROMISE_S);
    peerClient.send(
        p.address(),
        new PeerRequest.Handover(member, of, old),
        PeerCodec::received,
        peerClient.timeoutS(),
        answer -> {});
  }

  public long term() {
    return term;
  }

  public long leaderRevision() {
    return leaderRevision;
  }

  public void close() {
    closed = true;
    if (renewal != null) {
      renewal.cancel();
    }
  }

  /** Called whenever the leader record changed, and once at the start. */
  public void consider() {
    if (closed || !cache.electionLoaded()) {
      return;
    }
    if (!mayLead()) {
      resign(cache.features().gate().closedBecause());
      return;
    }
    StateCodec.LeaderRecord o = cache.leader();
    if (leader) {
      if (o == null && cache.revisionSeen() > leaderRevision && !raising) {
        lose("the owner record is gone");
      } else if (o != null && cache.leaderRevision() > leaderRevision && !raising) {
        lose(o.member() + " owns the fleet with term " + o.term());
      }
      return;
    }
    if (trying) {
      return;
    }
    if (o == null) {
      later(random.getAsDouble() * TAKEOVER_RETRY_S / 3, this::take);
    } else if (o.member().equals(member)) {
      // Our own earlier process, which is dead: nobody else runs under our name.
      trying = true;
      state.get(
          cache.election().leaderKey(),
          Use.RENEWAL,
          r -> {
            trying = false;
            long old = r.succeeded() ? r.sessionLease() : 0;
            boolean mine = r.succeeded() && StateCodec.leader(r.value()).member().equals(member);
            if (mine && !leader && old > 0) {
              LOG.info("ending the hold of this member's earlier process");
              state.revokeSessionLease(old, x -> again());
            } else {
              again();
            }
          });
    }
  }

  private void later(double s, Runnable r) {
    trying = true;
    loop.after(
        s,
        () -> {
          trying = false;
          if (!closed && !leader) {
            r.run();
          }
        });
  }

  private void again() {
    later(TAKEOVER_RETRY_S * (1 + random.getAsDouble()), () -> cache.catchUp(ok -> consider()));
  }

  /** Keeps this node from taking over for a while, after it gave the fleet up. */
  private void standBack(double seconds) {
    standBackUntil = loop.now() + seconds;
    notBefore = Math.max(notBefore, standBackUntil);
  }

  private double barredUntil(boolean ours) {
    return Math.max(keepBefore, ours ? standBackUntil : notBefore);
  }

  /**
   * True if this node may keep workers' leases alive although nobody owns the fleet: it can't reach
   * the state service, and every other controller has just promised not to take over. So there is
   * no leader and none can come meanwhile, and what runs is only kept from dying: no order is
   * given.
   */
  public boolean keeping() {
    return !leader
        && !cache.features().gate().isShut()
        && stateAway()
        && loop.now() < earliest(keepPromised);
  }

  /** Notes whether a peer that answers reaches the state service itself. */
  private void heard(String peer, double sentAt, PeerAnswer.Pledged answer) {
    if (answer == null) {
      return;
    }
    if (answer.reachesState()) {
      lastReaching = loop.now();
    } else {
      lastAway = loop.now();
    }
    cancellations.onPeerKnowledge(peer, sentAt, answer.cancellations());
  }

  /**
   * True if the state service is away for this node and, as far as its peers say, for all: then
   * users are no better off elsewhere, and a node that calls itself not ready is taken out of the
   * balance for longer than the outage lasts. Alone and without a peer's word it is false.
   */
  public boolean awayForAll() {
    double now = loop.now();
    return stateAway()
        && now - lastAway < StoreHealth.REACHABLE_S
        && now - lastReaching > StoreHealth.REACHABLE_S;
  }

  private boolean stateAway() {
    return state.health().failingForS() > KEEP_AFTER_S;
  }

  /** A worker asks for us while nobody owns the fleet: sees whether its lease can be kept alive. */
  public void wantKeep() {
    lastWant = loop.now();
    if (!askingKeep && !leader && stateAway()) {
      askKeep();
    }
  }

  private void askKeep() {
    askingKeep = !closed && !leader && stateAway() && loop.now() - lastWant < KEEP_WANTED_S;
    if (!askingKeep) {
      return;
    }
    double sentAt = loop.now();
    for (Settings.Peer p : peerClient.peers()) {
      peerClient.send(
          p.address(),
          new PeerRequest.KeepPledge(member, KEEP_S),
          PeerCodec::pledged,
          peerClient.timeoutS(),
          answer -> {
            heard(p.member(), sentAt, answer);
            if (answer != null && answer.granted()) {
              keepPromised.put(
                  p.member(), sentAt + KEEP_S * (1 - LeaseTiming.DRIFT) - KEEP_MARGIN_S);
            }
          });
    }
    loop.after(KEEP_EVERY_S, this::askKeep);
  }

  /**
   * A peer wants to keep leases alive; refused if we own the fleet or could take over ourselves.
   */
  public boolean promiseKeep(double seconds) {
    if (leader || closed || state.health().isReachable()) {
      return false;
    }
    keepBefore = Math.max(keepBefore, loop.now() + seconds * (1 + LeaseTiming.DRIFT));
    return true;
  }

  private void take() {
    // If the last leader was an earlier process of ours, nobody else can rely on a promise. The
    // transaction is conditioned on the term record that says so.
    boolean ours = member.equals(cache.election().termMember());
    if (cache.leader() != null || !mayLead()) {
      return;
    }
    double barred = barredUntil(ours) - loop.now();
    if (barred > 0) {
      later(barred + AFTER_BAR_S, this::consider);
      return;
    }
    if (!leftBar()) {
      return;
    }
    trying = true;
    double sentAt = loop.now();
    state.createSessionLease(
        (long) (holdS * 1000),
        h -> {
          if (!h.succeeded()) {
            trying = false;
            again();
            return;
          }
          takeWith(h.sessionLease(), sentAt, ours);
        });
  }

  private void takeWith(long newHold, double sentAt, boolean ours) {
    long newTerm = cache.term() + 1;
    StateCodec.LeaderRecord me = new StateCodec.LeaderRecord(member, newTerm, address);
    StateCodec.Bar bar = cache.suspension(member);
    if (bar != null && !bar.leaving().equals(self)) {
      trying = false;
      state.revokeSessionLease(newHold, x -> {});
      again();
      return;
    }
    Transaction txn =
        new Transaction()
            .when(cache.election().leaderKey(), 0)
            .when(StateCodec.TERM, cache.election().termRevision())
            .when(cache.election().suspensionKey(member), bar == null ? 0 : bar.revision())
            .put(StateCodec.TERM, StateCodec.term(newTerm, member))
            .put(cache.election().leaderKey(), StateCodec.leader(me), newHold);
    if (bar != null) {
      txn.delete(cache.election().suspensionKey(member));
    }
    state.commit(
        txn,
        Use.RENEWAL,
        r -> {
          switch (r.outcome()) {
            case SUCCEEDED -> won(newTerm, r.revision(), newHold, sentAt, ours);
            case UNKNOWN -> resolve(newTerm, newHold, sentAt, ours);
            default -> {
              trying = false;
              state.revokeSessionLease(newHold, x -> {});
              again();
            }
          }
        });
  }

  /** The answer was lost: the record tells, as long as the hold lives. */
  private void resolve(long newTerm, long newHold, double sentAt, boolean ours) {
    if (loop.now() > sentAt + holdS) {
      trying = false;
      again();
      return;
    }
    state.get(
        cache.election().leaderKey(),
        Use.RENEWAL,
        r -> {
          if (r.succeeded()) {
            StateCodec.LeaderRecord o = StateCodec.leader(r.value());
            if (o.member().equals(member) && o.term() == newTerm && r.sessionLease() == newHold) {
              won(newTerm, r.valueRevision(), newHold, sentAt, ours);
              return;
            }
          }
          if (r.succeeded() || r.outcome() == StoreOutcome.NOT_FOUND) {
            trying = false;
            // A late copy of the transaction must fail: its hold ends here.
            state.revokeSessionLease(newHold, x -> {});
            again();
          } else {
            loop.after(TAKEOVER_RETRY_S, () -> resolve(newTerm, newHold, sentAt, ours));
          }
        });
  }

  private void won(long newTerm, long revision, long newHold, double sentAt, boolean ours) {
    trying = false;
    if (loop.now() < barredUntil(ours)) {
      // Promised meanwhile: the peer may still speak for the controllers.
      state.revokeSessionLease(newHold, x -> {});
      again();
      return;
    }
    leader = true;
    state.budget().setLeader(true);
    term = newTerm;
    leaderRevision = revision;
    hold = newHold;
    counted(sentAt);
    LOG.info("{} owns the fleet with term {}", member, term);
    renewLater();
    supervisor.begin();
    listener.onWon(term);
  }

  private void counted(double sentAt) {
    heldUntil = Math.max(heldUntil, sentAt + holdS * (1 - LeaseTiming.DRIFT) - HOLD_MARGIN_S);
  }

  private void renewLater() {
    renewal = loop.after(holdS * RENEW_OF_HOLD, this::renew);
  }

  private void renew() {
    if (!leader || closed) {
      return;
    }
    double sentAt = loop.now();
    long of = hold;
    state.renewSessionLease(
        of,
        holdS * RENEW_OF_HOLD * 2,
        r -> {
          if (!leader || hold != of) {
            return;
          }
          if (r.succeeded()) {
            counted(sentAt);
            failingSince = Double.NaN;
          } else if (r.outcome() == StoreOutcome.NOT_FOUND) {
            lose("the hold is over");
            return;
          } else if (Double.isNaN(failingSince)) {
            failingSince = sentAt;
            if (!asking) {
              askPeers();
            }
          }
          renewLater();
        });
  }

  /**
   * Raises our own term, so that workers refuse what was sent under the old one. Calls back with
   * the new term, or with 0 if it could not be raised.
   */
  public void raise(Consumer<Long> done) {
    if (!entitled() || raising) {
      done.accept(0L);
      return;
    }
    raising = true;
    long newTerm = term + 1;
    StateCodec.LeaderRecord me = new StateCodec.LeaderRecord(member, newTerm, address);
    Transaction txn =
        new Transaction()
            .when(cache.election().leaderKey(), leaderRevision)
            .when(StateCodec.TERM, cache.election().termRevision())
            .put(StateCodec.TERM, StateCodec.term(newTerm, member))
            .put(cache.election().leaderKey(), StateCodec.leader(me), hold);
    state.commit(
        txn,
        Use.RENEWAL,
        r -> {
          raised(newTerm, r);
          done.accept(r.succeeded() ? newTerm : 0L);
        });
  }

  private void raised(long newTerm, StoreResult r) {
    raising = false;
    if (r.succeeded()) {
      term = newTerm;
      leaderRevision = r.revision();
      LOG.info("raised the term to {}", term);
    } else if (r.outcome() == StoreOutcome.UNKNOWN) {
      // Whether it committed decides under which revision we may write: rather start over.
      resign("a raise of the term had no answer");
    } else {
      cache.catchUp(ok -> consider());
    }
  }

  /** Changes the cluster's feature level, and raises our term with it. */
  public void changeLevel(LevelChange change, Consumer<StoreOutcome> done) {
    boolean busy = raising || supervisor.changing() || trying;
    if (!entitled() || busy || change.mustWait(cache.features(), cache.election())) {
      done.accept(StoreOutcome.NOT_EXECUTED);
      return;
    }
    if (!change.fits()) {
      LOG.error("the state service's transactions are too small to change the feature level");
      done.accept(StoreOutcome.NOT_EXECUTED);
      return;
    }
    raising = true;
    long newTerm = term + 1;
    StateCodec.LeaderRecord me = new StateCodec.LeaderRecord(member, newTerm, address);
    Transaction txn =
        change.transaction(cache.features(), cache.election(), me, leaderRevision, hold);
    state.commit(
        txn,
        Use.RENEWAL,
        r -> {
          raised(newTerm, r);
          if (r.succeeded()) {
            // Before that our own transactions would be conditioned on the level of before.
            cache.catchUp(ok -> listener.onTermRaised(newTerm));
          }
          done.accept(r.outcome());
        });
  }

  /** Gives the fleet up at once and lets the record go. */
  public void resign(String why) {
    if (!leader) {
      return;
    }
    long old = hold;
    lose(why);
    state.revokeSessionLease(old, x -> {});
  }

  private void lose(String why) {
    leader = false;
    state.budget().setLeader(false);
    heldUntil = Double.NEGATIVE_INFINITY;
    promised.clear();
    failingSince = Double.NaN;
    if (renewal != null) {
      renewal.cancel();
    }
    LOG.info("{} no longer owns the fleet: {}", member, why);
    listener.onLost(why);
    again();
  }

  /** Looks at our own entitlement; to be called now and then. */
  public void tick() {
    if (!leader && stateAway()) {
      wantKeep(); // Before a worker asks: it may have few seconds left, and tries a node each.
    }
    if (leader && !entitled()) {
      lose("the hold could not be renewed in time");
    }
    if (leader && !asking && cancellations.ageing()) {
      askPeers();
    }
  }
}
