package graderelay.state;

import graderelay.config.Settings;
import graderelay.core.LeaseTiming;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
import graderelay.peer.PeerClient;
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
 * Looks after the other controllers while this one leads: asks each every second how it is, lends
 * it changes, and suspends it from election while it is silent. The pledge of one that is down
 * can't be had, and without it an outage of the state service would cost every worker its lease. So
 * it is suspended by a record that its own election is conditioned on.
 */
final class PeerSupervisor {
  /** Seconds between a leader's questions to its peers. */
  private static final double LOOK_AFTER_EVERY_S = 1;

  private static final Logger LOG = LoggerFactory.getLogger("owner");

  /** Seconds after an election in which nobody is suspended: answers are still to come. */
  private static final double FIRST_ANSWERS_S = 1;

  /** What the supervisor has to know of this controller's leadership. */
  interface Leader {
    /** True while this controller leads, whether or not it may speak at the moment. */
    boolean leads();

    long term();

    /** The revision of the leader's record. */
    long revision();

    /** True while the session lease lasts. */
    boolean holdsLease();
  }

  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final PeerClient peerClient;
  private final String member;
  private final Leader leader;
  private final WriteCapacityLending lending;
  private double wonAt;
  private final Map<String, Double> lastHeard = new HashMap<>();

  /** Peers whose suspension we are lifting: it is not counted on any more. */
  private final Set<String> lifting = new HashSet<>();

  private boolean asking;
  private boolean changing;

  PeerSupervisor(
      Loop loop,
      StateClient state,
      Cache cache,
      PeerClient peerClient,
      String member,
      Leader leader) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.peerClient = peerClient;
    this.member = member;
    this.leader = leader;
    this.lending = new WriteCapacityLending(state);
  }

  /** This controller has just won an election. */
  void begin() {
    wonAt = loop.now();
    lastHeard.clear();
    lifting.clear();
    lending.begin();
    changing = false;
    if (!asking) {
      ask();
    }
  }

  /** True while a change of a suspension is under way. */
  boolean changing() {
    return changing;
  }

  /** True if the peer answered our last questions. */
  boolean hears(String peer) {
    double last = lastHeard.getOrDefault(peer, Double.NEGATIVE_INFINITY);
    return leader.leads() && loop.now() - last < LOOK_AFTER_EVERY_S * 1.5;
  }

  /**
   * Until when a silent peer can't win an election, for all that this leader knows: its suspension
   * stood when we last read the records, only we could lift it, and the peer itself needs as long
   * to leave it.
   */
  double suspendedUntil(String peer) {
    return leader.leads() && stands(cache.suspension(peer), peer) && cache.linearizableAt() >= wonAt
        ? cache.linearizableAt()
            + ElectionTiming.SUSPENSION_S * (1 - LeaseTiming.DRIFT)
            - ElectionTiming.PLEDGE_MARGIN_S
        : Double.NEGATIVE_INFINITY;
  }

  private boolean stands(StateCodec.Suspension suspension, String peer) {
    return suspension != null && suspension.leaving().isEmpty() && !lifting.contains(peer);
  }

  private void ask() {
    asking = leader.leads();
    if (!asking) {
      return;
    }
    long term = leader.term();
    for (Settings.Peer p : peerClient.peers()) {
      peerClient.send(
          p.address(),
          new PeerRequest.Share(member, term, lending.shareOf(p.member())),
          PeerCodec::decodeWanted,
          peerClient.timeoutS(),
          wanted -> {
            if (wanted != null) {
              lastHeard.put(p.member(), loop.now());
            }
            if (leader.leads() && leader.term() == term) {
              lending.wanted(p.member(), wanted == null ? 0 : wanted.changes());
            }
          });
      suspendOrLift(p.member());
    }
    loop.after(LOOK_AFTER_EVERY_S, this::ask);
  }

  private void suspendOrLift(String peer) {
    boolean early = loop.now() < wonAt + FIRST_ANSWERS_S;
    if (changing || !cache.loaded() || !leader.holdsLease() || early) {
      return;
    }
    StateCodec.Suspension present = cache.suspension(peer);
    double silent = loop.now() - Math.max(wonAt, lastHeard.getOrDefault(peer, wonAt));
    boolean suspends = !stands(present, peer) && silent > ElectionTiming.SUSPEND_AFTER_S;
    String key = cache.election().suspensionKey(peer);
    Transaction txn =
        new Transaction()
            .when(cache.election().leaderKey(), leader.revision())
            .when(key, present == null ? 0 : present.revision());
    if (present != null && hears(peer)) {
      lifting.add(peer); // Not counted on from now, whenever the record goes.
      txn.delete(key);
    } else if (suspends && suspendedBut(peer) < peerClient.peers().size() / 2) {
      LOG.info("{} is silent: barred from taking over", peer);
      txn.put(key, StateCodec.encodeSuspension(""));
    } else {
      return;
    }
    changing = true;
    state.commit(
        txn, Use.CLAIM, r -> cache.catchUp(ok -> changed(peer, suspends && r.succeeded())));
  }

  private void changed(String peer, boolean suspendedAnew) {
    changing = false;
    // A new record's revision also keeps out what was to lift the old one and comes late.
    if (cache.suspension(peer) == null || suspendedAnew) {
      lifting.remove(peer);
    }
  }

  /** Never more than half of the peers: with the leader gone as well, somebody must take over. */
  private int suspendedBut(String peer) {
    int n = 0;
    for (Settings.Peer p : peerClient.peers()) {
      n += !p.member().equals(peer) && cache.suspension(p.member()) != null ? 1 : 0;
    }
    return n;
  }
}
