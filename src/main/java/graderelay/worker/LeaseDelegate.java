package graderelay.worker;

import graderelay.config.Settings;
import graderelay.core.Heartbeat;
import graderelay.core.LeaseTiming;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
import graderelay.peer.PeerClient;
import graderelay.state.Cache;
import graderelay.state.Cancellations;
import graderelay.state.ElectionTiming;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.state.Transaction;
import graderelay.wire.PeerAnswer;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import graderelay.wire.StateCodec;

/**
 * Keeps the leases of this zone's workers alive while the zone is cut off from the leader and the
 * state service: what runs there goes on, and nothing is ordered. The leader has granted it for a
 * while and counts those leases accordingly, see {@code LeaseDelegates}. In a deployment of one
 * zone there is nobody outside to be cut off from, and no lease delegate.
 */
public final class LeaseDelegate {
  /** Seconds between a lease delegate's questions to the leader. */
  private static final double DELEGATE_ASKS_S = 1;

  /**
   * Seconds without an answer after which a lease delegate gives its grant back through the
   * records.
   */
  private static final double DELEGATE_RELEASES_S = 2;

  /**
   * Seconds between two looks of a lease delegate after which it takes itself for suspended
   * meanwhile: what it was granted counts no more until it has heard the leader again.
   */
  private static final double SUSPENDED_S = 3;

  private final Loop loop;
  private final PeerClient peerClient;
  private final Leadership leadership;
  private final Cache cache;
  private final StateClient state;
  private final Cancellations cancellations;
  private final String member;
  private final String zone;
  private final double lengthS;
  private final boolean needed;
  private final String self;

  private double lastTick = Double.NEGATIVE_INFINITY;
  private long asked;
  private long voidUpTo;
  private long term;
  private long of;
  private double echo;
  private double until = Double.NEGATIVE_INFINITY;
  private double lastContact;
  private double lastAlone;

  /** The grant was given back, and the leader may not know it yet. */
  private boolean givingBack;

  private Loop.Timer timer;
  private boolean closed;

  public LeaseDelegate(
      Loop loop,
      PeerClient peerClient,
      Leadership leadership,
      Cache cache,
      StateClient state,
      Cancellations cancellations,
      Settings s,
      long nonce) {
    this.loop = loop;
    this.peerClient = peerClient;
    this.leadership = leadership;
    this.cache = cache;
    this.state = state;
    this.cancellations = cancellations;
    this.member = s.member();
    this.zone = s.zone();
    this.lengthS = s.grantS() * (1 - LeaseTiming.DRIFT);
    this.needed = !s.delegates().isEmpty() && lengthS > 0;
    this.self = Long.toHexString(nonce);
    // An earlier process of this member may have answered until it ended.
    this.lastAlone = loop.now();
    this.lastContact = loop.now();
  }

  public void start() {
    if (needed) {
      tick();
    }
  }

  public void close() {
    closed = true;
    if (timer != null) {
      timer.cancel();
    }
  }

  /**
   * True if this worker's report may be answered under {@link #term}, with no order but the kills
   * of cancelled tasks.
   */
  public boolean answers(Heartbeat r) {
    double now = loop.now();
    // After standing still it may have been replaced, and the cluster may have moved on meanwhile.
    boolean stoodStill = now - lastTick > SUSPENDED_S;
    boolean may =
        now < until
            && !stoodStill
            && !cache.features().gate().isShut()
            && now > lastContact + LeaseTiming.DELEGATE_ALONE_S * (1 + LeaseTiming.DRIFT)
            && state.health().failingForS() > ElectionTiming.STORE_AWAY_AFTER_S
            && zone.equals(r.zone())
            && r.term() <= term
            && cancellations.mayRenew();
    if (may) {
      lastAlone = now;
    }
    return may;
  }

  public long term() {
    return term;
  }

  private void tick() {
    if (closed) {
      return;
    }
    double now = loop.now();
    if (now - lastTick > SUSPENDED_S) {
      until = Double.NEGATIVE_INFINITY;
    }
    lastTick = now;
    StateCodec.LeaderRecord o = cache.leader();
    String address = o == null ? null : peerClient.addressOf(o.member());
    if (leadership.mayActAsLeader()) {
      // Should we lose the fleet, the next leader counts as much from its own takeover.
      term = leadership.term();
      of = 0;
      until = now + lengthS;
      lastContact = now;
    } else if (address != null) {
      ask(address, now);
    }
    boolean lost = now - lastContact > DELEGATE_RELEASES_S && state.health().isReachable();
    if (lost && of != 0 && until > now) {
      // Users and workers are better served by the leader, which must not wait for us.
      until = Double.NEGATIVE_INFINITY;
      voidUpTo = asked;
      givingBack = true;
    }
    if (givingBack && state.health().isReachable()) {
      scaleIn(now);
    }
    timer = loop.after(DELEGATE_ASKS_S, this::tick);
  }

  private void ask(String address, double sentAt) {
    long n = ++asked;
    peerClient.send(
        address,
        new PeerRequest.Delegation(member, self, n, of, echo, sentAt - lastAlone),
        PeerCodec::decodeDelegated,
        peerClient.timeoutS(),
        answer -> {
          if (answer != null) {
            cancellations.adopt(sentAt, answer.cancellations());
          }
          if (answer != null && answer.grant() != null && n > voidUpTo) {
            granted(answer.grant(), sentAt);
          }
        });
  }

  private void granted(PeerAnswer.Grant grant, double sentAt) {
    long itsTerm = grant.term();
    if (closed || leadership.isLeader() || itsTerm < term) {
      return;
    }
    boolean same = of == grant.grantedBy();
    term = itsTerm;
    of = grant.grantedBy();
    echo = same ? Math.max(echo, grant.at()) : grant.at();
    until = same ? Math.max(until, sentAt + lengthS) : sentAt + lengthS;
    lastContact = loop.now();
    givingBack = false;
  }

  private void scaleIn(double now) {
    long upTo = voidUpTo;
    state.commit(
        new Transaction()
            .put(
                StateCodec.LEASE_DELEGATES + member,
                StateCodec.encodeDelegateRelease(self, upTo, of, now - lastAlone)),
        Use.CLAIM,
        r -> {
          if (r.succeeded() && voidUpTo == upTo) {
            givingBack = false;
          }
        });
  }
}
