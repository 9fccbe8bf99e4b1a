package graderelay.worker;

import graderelay.config.Settings;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.CallPriority;
import graderelay.peer.PeerClient;
import graderelay.state.Cache;
import graderelay.state.Cancellations;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.state.Transaction;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import graderelay.wire.PeerResponse;
import graderelay.wire.StateCodec;
import java.util.function.BooleanSupplier;

/**
 * Renews a {@link DelegationGrant}: requests it from the leader every second, and releases it
 * through the key-value store if the leader does not respond while the store is reachable. Runs on
 * the event loop.
 */
final class DelegationRequests {
  /** Seconds between requests for a grant to the leader. */
  private static final double REQUEST_INTERVAL_S = 1;

  /** Seconds without a grant from the leader after which this controller releases its grant. */
  private static final double RELEASE_AFTER_SILENCE_S = 2;

  /**
   * A longer gap between two ticks, in seconds, means that this process was suspended. Its grant is
   * then invalid until the leader has issued a new one.
   */
  private static final double SUSPENSION_THRESHOLD_S = 3;

  private final Loop loop;
  private final PeerClient peerClient;
  private final Leadership leadership;
  private final Cache cache;
  private final StateClient state;
  private final Cancellations cancellations;
  private final DelegationGrant grant;
  private final String member;

  /** Distinguishes this process from earlier processes of the same member. */
  private final String processId;

  private double lastTick = Double.NEGATIVE_INFINITY;
  private long lastRequestNumber;

  /** The last request sent before the grant was released; grants for it or earlier are ignored. */
  private long releasedUpToRequest;

  /** True if the grant was released and the store has not confirmed the record of the release. */
  private boolean releasePending;

  private BooleanSupplier mayGrantToSelf = () -> true;
  private Loop.Timer timer;
  private boolean closed;

  DelegationRequests(
      Loop loop,
      PeerClient peerClient,
      Leadership leadership,
      Cache cache,
      StateClient state,
      Cancellations cancellations,
      Settings settings,
      DelegationGrant grant,
      long nonce) {
    this.loop = loop;
    this.peerClient = peerClient;
    this.leadership = leadership;
    this.cache = cache;
    this.state = state;
    this.cancellations = cancellations;
    this.grant = grant;
    this.member = settings.member();
    this.processId = Long.toHexString(nonce);
  }

  /** Sets the condition under which a leader renews the grant that it holds itself. */
  void setGrantCondition(BooleanSupplier mayGrant) {
    mayGrantToSelf = mayGrant;
  }

  /** Sends the first request and starts the timer for further requests. */
  void start() {
    tick();
  }

  /** Stops the timer; grants that arrive later are ignored. */
  void close() {
    closed = true;
    if (timer != null) {
      timer.cancel();
    }
  }

  /** True if this process was suspended for so long that its grant may have been superseded. */
  boolean wasSuspended(double now) {
    return now - lastTick > SUSPENSION_THRESHOLD_S;
  }

  private void tick() {
    if (closed) {
      return;
    }
    double now = loop.now();
    if (wasSuspended(now)) {
      grant.revoke();
    }
    lastTick = now;
    renew(now);
    releaseIfLeaderIsUnresponsive(now);
    if (releasePending && state.health().isReachable()) {
      recordRelease(now);
    }
    timer = loop.schedule(REQUEST_INTERVAL_S, this::tick);
  }

  private void renew(double now) {
    StateCodec.LeaderRecord leader = cache.leader();
    String address = leader == null ? null : peerClient.addressOf(leader.member());
    if (leadership.mayActAsLeader()) {
      if (mayGrantToSelf.getAsBoolean()) {
        grant.grantToSelf(leadership.term(), now);
      }
    } else if (address != null) {
      requestGrant(address, now);
    }
  }

  private void requestGrant(String address, double sentAt) {
    long requestNumber = ++lastRequestNumber;
    peerClient.send(
        address,
        new PeerRequest.Delegation(
            member,
            processId,
            requestNumber,
            grant.grantingTerm(),
            grant.leaderGrantTime(),
            grant.sinceAutonomousResponse(sentAt)),
        PeerCodec::decodeDelegationResponse,
        peerClient.timeoutS(),
        answer -> {
          if (answer != null) {
            cancellations.merge(sentAt, answer.cancellations());
          }
          if (answer != null && answer.grant() != null && requestNumber > releasedUpToRequest) {
            onGranted(answer.grant(), sentAt);
          }
        });
  }

  private void onGranted(PeerResponse.Grant granted, double sentAt) {
    if (closed || leadership.isLeader() || granted.term() < grant.term()) {
      return;
    }
    grant.accept(granted, sentAt);
    releasePending = false;
  }

  /**
   * Releases the grant if the leader does not respond although the store is reachable. Workers and
   * users are then better served by a leader, which must not have to wait until this grant expires
   * before it treats this zone's leases as expired.
   */
  private void releaseIfLeaderIsUnresponsive(double now) {
    boolean leaderUnresponsive =
        grant.sinceLeaderContact(now) > RELEASE_AFTER_SILENCE_S && state.health().isReachable();
    if (leaderUnresponsive && grant.grantingTerm() != 0 && grant.isValidAt(now)) {
      grant.revoke();
      releasedUpToRequest = lastRequestNumber;
      releasePending = true;
    }
  }

  private void recordRelease(double now) {
    long upToRequest = releasedUpToRequest;
    state.commit(
        new Transaction()
            .put(
                StateCodec.DELEGATE_RELEASES + member,
                StateCodec.encodeDelegateRelease(
                    processId,
                    upToRequest,
                    grant.grantingTerm(),
                    grant.sinceAutonomousResponse(now))),
        CallPriority.CLAIM,
        result -> {
          if (result.succeeded() && releasedUpToRequest == upToRequest) {
            releasePending = false;
          }
        });
  }
}
