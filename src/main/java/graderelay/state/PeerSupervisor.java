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
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches the other controllers while this one leads: requests the status of each every second,
 * lends it write capacity, and suspends it from election while it is silent. A controller that is
 * down can give no pledge, and without that pledge an outage of the key-value store would cost
 * every worker its lease; so it is suspended by a record that its own election is conditioned on.
 */
final class PeerSupervisor {
  /** Seconds between a leader's status requests to each peer. */
  private static final double ASK_EVERY_S = 1;

  private static final Logger LOG = LoggerFactory.getLogger("owner");

  /** Seconds after an election in which nobody is suspended: answers are still to come. */
  private static final double FIRST_ANSWERS_S = 1;

  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final PeerClient peerClient;
  private final String member;
  private final LeaderStatus status;
  private final SessionLeaseRenewal renewal;
  private final WriteCapacityLending lending;

  /** When this controller won its last election, in the loop's seconds. */
  private double wonAt;

  /** When each peer last answered, by member. */
  private final Map<String, Double> lastHeard = new HashMap<>();

  /** Peers whose suspension we are lifting: it is not counted on any more. */
  private final Set<String> beingLifted = new HashSet<>();

  private boolean asking;

  /** The answer to a change of a suspension is outstanding; there is one at a time. */
  private boolean changing;

  PeerSupervisor(
      Loop loop,
      StateClient state,
      Cache cache,
      PeerClient peerClient,
      String member,
      LeaderStatus status,
      SessionLeaseRenewal renewal) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.peerClient = peerClient;
    this.member = member;
    this.status = status;
    this.renewal = renewal;
    this.lending = new WriteCapacityLending(state);
  }

  /** This controller has just won an election. */
  void begin() {
    wonAt = loop.now();
    lastHeard.clear();
    beingLifted.clear();
    lending.begin();
    changing = false;
    if (!asking) {
      askPeers();
    }
  }

  /** True while the answer to a change of a suspension is outstanding. */
  boolean isChangingSuspension() {
    return changing;
  }

  /** True if this controller leads and the peer answered its last status requests. */
  boolean hears(String peer) {
    double last = lastHeard.getOrDefault(peer, Double.NEGATIVE_INFINITY);
    return status.isActiveLeader() && loop.now() - last < ASK_EVERY_S * 1.5;
  }

  /** True if the peer can't win an election at the moment, since it is suspended. */
  boolean isSuspended(String peer) {
    return loop.now() < suspendedUntil(peer);
  }

  /**
   * Until when a silent peer can't win an election, as far as this leader knows: its suspension
   * stood when we last read the records, only we could lift it, and the peer itself needs as long
   * to leave it.
   */
  double suspendedUntil(String peer) {
    boolean suspended =
        status.isActiveLeader()
            && isInForce(cache.suspension(peer), peer)
            && cache.linearizableAt() >= wonAt;
    return suspended
        ? cache.linearizableAt()
            + ElectionTiming.SUSPENSION_S * (1 - LeaseTiming.MAX_CLOCK_DRIFT_RATIO)
            - ElectionTiming.PLEDGE_MARGIN_S
        : Double.NEGATIVE_INFINITY;
  }

  private boolean isInForce(StateCodec.Suspension suspension, String peer) {
    return suspension != null && suspension.leaving().isEmpty() && !beingLifted.contains(peer);
  }

  private void askPeers() {
    asking = status.isActiveLeader();
    if (!asking) {
      return;
    }
    long term = status.term();
    for (Settings.Peer peer : peerClient.peers()) {
      peerClient.send(
          peer.address(),
          new PeerRequest.Share(member, term, lending.shareOf(peer.member())),
          PeerCodec::decodeWanted,
          peerClient.timeoutS(),
          wanted -> onAnswer(peer.member(), term, wanted));
      suspendOrLift(peer.member());
    }
    loop.after(ASK_EVERY_S, this::askPeers);
  }

  /** A peer answered a status request of the given term, or did not ({@code wanted} is null). */
  private void onAnswer(String peer, long term, PeerAnswer.Wanted wanted) {
    if (wanted != null) {
      lastHeard.put(peer, loop.now());
    }
    if (status.isActiveLeader() && status.term() == term) {
      lending.wanted(peer, wanted == null ? 0 : wanted.changes());
    }
  }

  /** Suspends a peer that has become silent, or lifts the suspension of one that answers again. */
  private void suspendOrLift(String peer) {
    if (!mayChangeSuspensions()) {
      return;
    }
    StateCodec.Suspension present = cache.suspension(peer);
    boolean suspends = !isInForce(present, peer) && isSilent(peer);
    String key = cache.election().suspensionKey(peer);
    Transaction txn =
        new Transaction()
            .when(cache.election().leaderKey(), status.recordRevision())
            .when(key, present == null ? 0 : present.revision());
    if (present != null && hears(peer)) {
      beingLifted.add(peer); // Not counted on from now, whenever the record goes.
      txn.delete(key);
    } else if (suspends && othersSuspended(peer) < peerClient.peers().size() / 2) {
      // Never more than half of the peers: with the leader gone as well, somebody must succeed it.
      LOG.info("{} is silent: suspended from election", peer);
      txn.put(key, StateCodec.encodeSuspension(""));
    } else {
      return;
    }
    changing = true;
    state.commit(
        txn,
        Use.CLAIM,
        result -> cache.catchUp(ok -> onSuspensionChanged(peer, suspends && result.succeeded())));
  }

  private boolean mayChangeSuspensions() {
    boolean answersOutstanding = loop.now() < wonAt + FIRST_ANSWERS_S;
    boolean leaseLasts = loop.now() <= renewal.leaseEndsAt();
    return !changing && cache.loaded() && leaseLasts && !answersOutstanding;
  }

  /** True if the peer has not answered for a while, counted from the election at the earliest. */
  private boolean isSilent(String peer) {
    double lastSign = Math.max(wonAt, lastHeard.getOrDefault(peer, wonAt));
    return loop.now() - lastSign > ElectionTiming.SUSPEND_AFTER_S;
  }

  private void onSuspensionChanged(String peer, boolean suspendedAnew) {
    changing = false;
    // A new record's revision also keeps out what was to lift the old one and comes late.
    if (cache.suspension(peer) == null || suspendedAnew) {
      beingLifted.remove(peer);
    }
  }

  /** How many peers have a suspension, not counting this one. */
  private int othersSuspended(String peer) {
    int suspended = 0;
    for (Settings.Peer other : peerClient.peers()) {
      suspended += !other.member().equals(peer) && cache.suspension(other.member()) != null ? 1 : 0;
    }
    return suspended;
  }
}
