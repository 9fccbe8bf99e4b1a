package graderelay.worker;

import graderelay.config.Settings;
import graderelay.core.Heartbeat;
import graderelay.core.LeaseTiming;
import graderelay.net.Loop;
import graderelay.peer.PeerClient;
import graderelay.state.Cache;
import graderelay.state.Cancellations;
import graderelay.state.ElectionRecords;
import graderelay.state.ElectionTiming;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import java.util.function.Predicate;

/**
 * Renews the leases of this zone's workers while the zone is partitioned from the leader and the
 * key-value store, so that running tasks continue. The only worker commands that it sends are kills
 * of cancelled tasks. It needs a time-limited grant from the leader, which takes the grant into
 * account when it computes the expiry of those leases, see {@code LeaseDelegates}. A deployment
 * with a single zone has no lease delegates, since the zone can't be partitioned from another one.
 * Runs on the event loop.
 */
public final class LeaseDelegate {
  private final Loop loop;
  private final Cache cache;
  private final StateClient state;
  private final Cancellations cancellations;
  private final String zone;
  private final boolean enabled;
  private final DelegationGrant grant;
  private final DelegationRequests requests;

  /**
   * Creates a lease delegate without a grant.
   *
   * @param nonce distinguishes this process from earlier processes of the same member
   */
  public LeaseDelegate(
      Loop loop,
      PeerClient peerClient,
      Leadership leadership,
      Cache cache,
      StateClient state,
      Cancellations cancellations,
      Settings settings,
      long nonce) {
    this.loop = loop;
    this.cache = cache;
    this.state = state;
    this.cancellations = cancellations;
    this.zone = settings.zone();
    double grantDurationS = settings.delegateGrantS() * (1 - LeaseTiming.MAX_CLOCK_DRIFT_RATIO);
    this.enabled = !settings.delegateZones().isEmpty() && grantDurationS > 0;
    this.grant = new DelegationGrant(loop, grantDurationS);
    this.requests =
        new DelegationRequests(
            loop, peerClient, leadership, cache, state, cancellations, settings, grant, nonce);
  }

  /** Starts to request grants from the leader, if this deployment uses lease delegates. */
  public void start() {
    if (enabled) {
      requests.start();
    }
  }

  /** Stops requesting grants. */
  public void close() {
    requests.close();
  }

  /**
   * True if this worker's heartbeat may be answered with {@link #term}; the only commands allowed
   * in the response are kills of cancelled tasks. The caller has to answer if this returns true,
   * since the time of the response is recorded here.
   */
  public boolean tryAuthorizeResponse(Heartbeat heartbeat) {
    double now = loop.now();
    // After a suspension the grant may have been superseded without this process knowing it.
    boolean authorized =
        grant.isValidAt(now)
            && !requests.wasSuspended(now)
            && !cache.features().gate().isClosed()
            && isPartitioned(now)
            && zone.equals(heartbeat.zone())
            && isTermCovered(heartbeat.term())
            && cancellations.mayRenewLeases();
    if (authorized) {
      grant.onAutonomousResponse(now);
    }
    return authorized;
  }

  /** True if neither the leader nor the store has responded for some seconds. */
  private boolean isPartitioned(double now) {
    double autonomousFrom =
        grant.lastLeaderContact()
            + LeaseTiming.DELEGATE_AUTONOMY_DELAY_S * (1 + LeaseTiming.MAX_CLOCK_DRIFT_RATIO);
    return now > autonomousFrom
        && state.health().failingForS() > ElectionTiming.STORE_UNAVAILABLE_AFTER_S;
  }

  /**
   * True if the worker has seen no later leader than the one that issued the grant: its term is not
   * higher than the grant's, or of the same reservation.
   */
  private boolean isTermCovered(long reportedTerm) {
    ElectionRecords election = cache.election();
    return reportedTerm <= grant.term()
        || (election.isTermOfLastLeader(reportedTerm) && election.isTermOfLastLeader(grant.term()));
  }

  /** The term to send in the response to a worker's heartbeat. */
  public long termFor(Heartbeat heartbeat) {
    return Math.max(grant.term(), heartbeat.term());
  }

  /**
   * Sets the condition under which a leader renews the grant that it holds itself for its zone, see
   * {@link graderelay.core.Scheduler#mayGrantDelegation}.
   */
  public void setGrantCondition(Predicate<String> mayGrant) {
    requests.setGrantCondition(() -> mayGrant.test(zone));
  }
}
