package graderelay.worker;

import graderelay.config.Settings;
import graderelay.core.Heartbeat;
import graderelay.core.LeaseTiming;
import graderelay.net.Loop;
import graderelay.peer.PeerClient;
import graderelay.state.Cache;
import graderelay.state.Cancellations;
import graderelay.state.ElectionTiming;
import graderelay.state.Leadership;
import graderelay.state.StateClient;

/**
 * Renews the leases of this zone's workers while the zone is cut off from the leader and the store:
 * what runs there goes on, and no command is given but kills of cancelled tasks. The leader has
 * granted it for a while and counts those leases accordingly, see {@code LeaseDelegates}. In a
 * deployment of one zone there is nobody outside to be cut off from, and no lease delegate. Runs on
 * the event loop.
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
   * Makes a lease delegate without a grant.
   *
   * @param nonce tells this process from earlier ones of the same member
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
    double grantDurationS = settings.grantS() * (1 - LeaseTiming.MAX_CLOCK_DRIFT_RATIO);
    this.enabled = !settings.delegates().isEmpty() && grantDurationS > 0;
    this.grant = new DelegationGrant(loop, grantDurationS);
    this.requests =
        new DelegationRequests(
            loop, peerClient, leadership, cache, state, cancellations, settings, grant, nonce);
  }

  /** Starts to ask the leader for a grant, unless this deployment needs no lease delegates. */
  public void start() {
    if (enabled) {
      requests.start();
    }
  }

  /** Stops asking. */
  public void close() {
    requests.close();
  }

  /**
   * True if this worker's heartbeat may be answered under {@link #term}, with no command but the
   * kills of cancelled tasks. The caller answers it then: that is noted here.
   */
  public boolean acquirePermissionToAnswer(Heartbeat heartbeat) {
    double now = loop.now();
    // After standing still it may have been replaced, and the cluster may have moved on meanwhile.
    boolean mayAnswer =
        grant.isValidAt(now)
            && !requests.wasSuspended(now)
            && !cache.features().gate().isClosed()
            && isPartitioned(now)
            && zone.equals(heartbeat.zone())
            && heartbeat.term() <= grant.term()
            && cancellations.mayRenewLeases();
    if (mayAnswer) {
      grant.onAutonomousResponse(now);
    }
    return mayAnswer;
  }

  /** True if neither the leader nor the store has answered for some seconds. */
  private boolean isPartitioned(double now) {
    double autonomousFrom =
        grant.lastLeaderContact()
            + LeaseTiming.DELEGATE_AUTONOMY_DELAY_S * (1 + LeaseTiming.MAX_CLOCK_DRIFT_RATIO);
    return now > autonomousFrom
        && state.health().failingForS() > ElectionTiming.STORE_UNAVAILABLE_AFTER_S;
  }

  /** The term under which workers may be answered. */
  public long term() {
    return grant.term();
  }
}
