package graderelay.state;

import graderelay.config.Settings;
import graderelay.core.LeaseTiming;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.CallPriority;
import graderelay.peer.PeerClient;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import graderelay.wire.PeerResponse;
import graderelay.wire.StateCodec;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Monitors the other controllers while this one leads: requests the status of each every second,
 * lends it write capacity, and suspends it from election while it does not answer. A controller
 * that is down can't give a pledge, and without that pledge all worker leases would expire in an
 * outage of the key-value store. So the leader stores a suspension record, on which the election
 * transaction of that controller is conditioned.
 */
final class PeerMonitor {
  /** Seconds between the status requests to each peer. */
  private static final double STATUS_REQUEST_INTERVAL_S = 1;

  private static final Logger LOG = LoggerFactory.getLogger("owner");

  /** Seconds after an election in which no peer is suspended, to wait for the first answers. */
  private static final double FIRST_ANSWERS_WAIT_S = 1;

  private final Loop loop;
  private final StateClient stateClient;
  private final Cache cache;
  private final PeerClient peerClient;
  private final String member;
  private final LeaderStatus status;
  private final SessionLeaseRenewal renewal;
  private final WriteCapacityLending lending;

  /** When this controller won its last election, on the loop's clock. */
  private double electedAt;

  /** When each peer last answered, by member. */
  private final Map<String, Double> lastAnswerAt = new HashMap<>();

  /** Peers whose suspension is being lifted and must not be relied on. */
  private final Set<String> beingLifted = new HashSet<>();

  private boolean requestingStatus;

  /** A change of a suspension is in progress; there is at most one at a time. */
  private boolean changingSuspension;

  PeerMonitor(
      Loop loop,
      StateClient stateClient,
      Cache cache,
      PeerClient peerClient,
      String member,
      LeaderStatus status,
      SessionLeaseRenewal renewal) {
    this.loop = loop;
    this.stateClient = stateClient;
    this.cache = cache;
    this.peerClient = peerClient;
    this.member = member;
    this.status = status;
    this.renewal = renewal;
    this.lending = new WriteCapacityLending(stateClient);
  }

  /** Starts monitoring after a won election. */
  void start() {
    electedAt = loop.now();
    lastAnswerAt.clear();
    beingLifted.clear();
    lending.reset();
    changingSuspension = false;
    if (!requestingStatus) {
      requestStatuses();
    }
  }

  /** True while a change of a suspension is in progress. */
  boolean isChangingSuspension() {
    return changingSuspension;
  }

  /** True if this controller leads and the peer has answered its recent status requests. */
  boolean isResponsive(String peer) {
    double answeredAt = lastAnswerAt.getOrDefault(peer, Double.NEGATIVE_INFINITY);
    return status.isActiveLeader() && loop.now() - answeredAt < STATUS_REQUEST_INTERVAL_S * 1.5;
  }

  /** True if the peer currently can't win an election because it is suspended. */
  boolean isSuspended(String peer) {
    return loop.now() < suspendedUntil(peer);
  }

  /**
   * The time until which a suspended peer can't win an election. Its suspension was in force when
   * this leader last read the records, only this leader can lift it, and the peer needs {@link
   * ElectionTiming#SUSPENSION_S} to leave it by itself.
   */
  double suspendedUntil(String peer) {
    boolean suspended =
        status.isActiveLeader()
            && isInForce(cache.suspension(peer), peer)
            && cache.linearizableAsOf() >= electedAt;
    return suspended
        ? cache.linearizableAsOf()
            + ElectionTiming.SUSPENSION_S * (1 - LeaseTiming.MAX_CLOCK_DRIFT_RATIO)
            - ElectionTiming.EXPIRY_MARGIN_S
        : Double.NEGATIVE_INFINITY;
  }

  private boolean isInForce(StateCodec.Suspension suspension, String peer) {
    return suspension != null
        && suspension.leavingIncarnation().isEmpty()
        && !beingLifted.contains(peer);
  }

  private void requestStatuses() {
    requestingStatus = status.isActiveLeader();
    if (!requestingStatus) {
      return;
    }
    long term = status.lastReservedTerm();
    for (Settings.Peer peer : peerClient.peers()) {
      peerClient.send(
          peer.address(),
          new PeerRequest.LendWriteCapacity(member, term, lending.changeRateOf(peer.member())),
          PeerCodec::decodeLendWriteCapacityResponse,
          peerClient.timeoutS(),
          answer -> onAnswer(peer.member(), term, answer));
      suspendOrLift(peer.member());
    }
    loop.schedule(STATUS_REQUEST_INTERVAL_S, this::requestStatuses);
  }

  /** Handles the answer to a status request of a term; {@code answer} is null if there is none. */
  private void onAnswer(String peer, long term, PeerResponse.LendWriteCapacityResponse answer) {
    if (answer != null) {
      lastAnswerAt.put(peer, loop.now());
    }
    if (status.isActiveLeader() && status.lastReservedTerm() == term) {
      lending.updateDemand(peer, answer == null ? 0 : answer.changeDemand());
    }
  }

  /** Suspends a peer that does not answer, or lifts the suspension of one that answers again. */
  private void suspendOrLift(String peer) {
    if (!mayChangeSuspensions()) {
      return;
    }
    StateCodec.Suspension current = cache.suspension(peer);
    boolean suspend = !isInForce(current, peer) && isSilent(peer);
    String key = cache.election().suspensionKey(peer);
    Transaction transaction =
        new Transaction()
            .when(cache.election().leaderKey(), status.leaderRevision())
            .when(key, current == null ? 0 : current.revision());
    if (current != null && isResponsive(peer)) {
      beingLifted.add(peer); // Not relied on from now on, whenever the record is deleted.
      transaction.delete(key);
    } else if (suspend && countOtherSuspended(peer) < peerClient.peers().size() / 2) {
      // At most half of the peers are suspended, so that another can succeed a failed leader.
      LOG.info("suspending {} from election: no answer to the last status requests", peer);
      transaction.put(key, StateCodec.encodeSuspension(""));
    } else {
      return;
    }
    changingSuspension = true;
    stateClient.commit(
        transaction,
        CallPriority.CLAIM,
        result ->
            cache.catchUp(caughtUp -> onSuspensionChanged(peer, suspend && result.succeeded())));
  }

  private boolean mayChangeSuspensions() {
    boolean awaitingFirstAnswers = loop.now() < electedAt + FIRST_ANSWERS_WAIT_S;
    boolean leaseValid = loop.now() <= renewal.leaseExpiresAt();
    return !changingSuspension && cache.isLoaded() && leaseValid && !awaitingFirstAnswers;
  }

  /** True if the peer has not answered for a while, not counting time before the election. */
  private boolean isSilent(String peer) {
    double lastActivityAt = Math.max(electedAt, lastAnswerAt.getOrDefault(peer, electedAt));
    return loop.now() - lastActivityAt > ElectionTiming.SUSPEND_AFTER_SILENCE_S;
  }

  private void onSuspensionChanged(String peer, boolean newlySuspended) {
    changingSuspension = false;
    // The revision of a new record makes a delayed transaction that lifts the old one fail.
    if (cache.suspension(peer) == null || newlySuspended) {
      beingLifted.remove(peer);
    }
  }

  /** The number of suspended peers, not counting the given one. */
  private int countOtherSuspended(String peer) {
    int suspended = 0;
    for (Settings.Peer other : peerClient.peers()) {
      suspended += !other.member().equals(peer) && cache.suspension(other.member()) != null ? 1 : 0;
    }
    return suspended;
  }
}
