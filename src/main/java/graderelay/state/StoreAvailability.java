package graderelay.state;

import graderelay.net.Loop;

/**
 * Whether the key-value store is unavailable: to this controller, according to its own calls, and
 * to all controllers, according to the reports of its peers.
 */
final class StoreAvailability {
  private final Loop loop;
  private final StateClient stateClient;

  /** When a peer last reported that it reaches the store. */
  private double peerReachedStoreAt = Double.NEGATIVE_INFINITY;

  /** When a peer last reported that it does not reach the store. */
  private double peerFailedToReachStoreAt = Double.NEGATIVE_INFINITY;

  StoreAvailability(Loop loop, StateClient stateClient) {
    this.loop = loop;
    this.stateClient = stateClient;
  }

  /** Called when a peer has reported whether it reaches the store itself. */
  void onPeerReport(boolean reachesStore) {
    if (reachesStore) {
      peerReachedStoreAt = loop.now();
    } else {
      peerFailedToReachStoreAt = loop.now();
    }
  }

  /** True if this controller's calls to the store have been failing for a while. */
  boolean isUnavailable() {
    return stateClient.health().failingForS() > ElectionTiming.STORE_UNAVAILABLE_AFTER_S;
  }

  /**
   * True if the store is unavailable to this controller and, according to recent reports, to its
   * peers. Then no other controller would serve users better, and a controller that reported itself
   * as not ready would be removed from the load balancer for longer than the outage lasts. False
   * without a recent report from any peer, for example in a deployment of one controller.
   */
  boolean isUnavailableForAll() {
    double now = loop.now();
    return isUnavailable()
        && now - peerFailedToReachStoreAt < StoreHealth.REACHABLE_WITHIN_S
        && now - peerReachedStoreAt > StoreHealth.REACHABLE_WITHIN_S;
  }
}
