package graderelay.state;

import graderelay.net.Loop;

/**
 * Whether the key-value store is away: for this controller, by its own calls, and for all
 * controllers, as far as the peers say.
 */
final class StoreAvailability {
  private final Loop loop;
  private final StateClient state;

  /** When a peer last said that it reaches the store. */
  private double peerReachedAt = Double.NEGATIVE_INFINITY;

  /** When a peer last said that it does not reach the store. */
  private double peerFailedAt = Double.NEGATIVE_INFINITY;

  StoreAvailability(Loop loop, StateClient state) {
    this.loop = loop;
    this.state = state;
  }

  /** A peer has just said whether it reaches the store itself. */
  void onPeerSays(boolean reachesStore) {
    if (reachesStore) {
      peerReachedAt = loop.now();
    } else {
      peerFailedAt = loop.now();
    }
  }

  /** True if this controller's calls to the store have failed for a while. */
  boolean isAway() {
    return state.health().failingForS() > ElectionTiming.STORE_UNAVAILABLE_AFTER_S;
  }

  /**
   * True if the store is away for this controller and, as far as its peers say, for all: then users
   * are no better off elsewhere, and a controller that calls itself not ready is taken out of the
   * load balancer for longer than the outage lasts. Alone and without a peer's word it is false.
   */
  boolean isAwayForAll() {
    double now = loop.now();
    return isAway()
        && now - peerFailedAt < StoreHealth.REACHABLE_S
        && now - peerReachedAt > StoreHealth.REACHABLE_S;
  }
}
