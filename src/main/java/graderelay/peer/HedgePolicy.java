package graderelay.peer;

import java.util.function.BooleanSupplier;

/**
 * Decides whether another hedged request may be sent to a peer, depending on the number in flight
 * and on whether the store responds to this controller. Used on the event loop only.
 */
final class HedgePolicy {
  /**
   * Limit of the hedged requests in flight. It suffices for a controller that alone can't reach the
   * store. It is bounded because during a burst each request would be handled by two or three
   * controllers.
   */
  private static final int MAX_HEDGES_IN_FLIGHT = 64;

  private final BooleanSupplier storeStalled;
  private final BooleanSupplier storeUnavailableToAll;
  private int hedgesInFlight;
  private double lastPeerAnswerTime = Double.NEGATIVE_INFINITY;

  /**
   * Creates the policy.
   *
   * @param storeStalled whether the store responds slowly or not at all to this controller
   * @param storeUnavailableToAll whether the peers report that they can't reach the store either
   */
  HedgePolicy(BooleanSupplier storeStalled, BooleanSupplier storeUnavailableToAll) {
    this.storeStalled = storeStalled;
    this.storeUnavailableToAll = storeUnavailableToAll;
  }

  /**
   * True if a slow request may be hedged. A request that only waits for this controller's own rate
   * limit tokens or CPU is not hedged, since it would wait at the peers as well: in a burst, each
   * submission was executed up to three times, and each execution used up the shared rate limit
   * that all of them were waiting for.
   */
  boolean mayHedgeSlow() {
    return storeStalled.getAsBoolean() && hedgesInFlight < MAX_HEDGES_IN_FLIGHT;
  }

  /**
   * True if a request that this controller could not handle (503) may be hedged, since a peer may
   * still reach the store.
   */
  boolean mayHedgeUnavailable() {
    return hedgesInFlight < MAX_HEDGES_IN_FLIGHT && !storeUnavailableToAll.getAsBoolean();
  }

  /** Counts a hedged request that is sent to a peer. */
  void onHedgeSent() {
    hedgesInFlight++;
  }

  /** Counts a hedged request that was answered or timed out. */
  void onHedgeCompleted() {
    hedgesInFlight--;
  }

  /** Records that a peer gave a definitive answer at time {@code now}, in seconds. */
  void onDefinitiveAnswer(double now) {
    lastPeerAnswerTime = now;
  }

  /** The time in seconds of the last definitive answer of a peer. */
  double lastPeerAnswerTime() {
    return lastPeerAnswerTime;
  }
}
