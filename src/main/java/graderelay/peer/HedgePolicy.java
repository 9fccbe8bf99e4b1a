package graderelay.peer;

import java.util.function.BooleanSupplier;

/**
 * Decides whether one more hedged request may go to a peer, from how many are under way and how the
 * store serves this controller. Used on the event loop only.
 */
final class HedgePolicy {
  /**
   * Requests that are with peers at once: enough for a controller that the store refuses alone, and
   * no more, since in a storm of requests each would be put to two or three controllers.
   */
  private static final int MAX_HEDGES_IN_FLIGHT = 64;

  private final BooleanSupplier storeStalled;
  private final BooleanSupplier storeUnavailableToAll;
  private int hedgesInFlight;
  private double lastPeerAnswerTime = Double.NEGATIVE_INFINITY;

  /**
   * Makes the policy.
   *
   * @param stuck whether the store lets this controller wait
   * @param awayForAll whether peers say that they are no better off
   */
  HedgePolicy(BooleanSupplier storeStalled, BooleanSupplier storeUnavailableToAll) {
    this.storeStalled = storeStalled;
    this.storeUnavailableToAll = storeUnavailableToAll;
  }

  /**
   * True if a request that has waited for a while may be put to a peer. If it only waits for this
   * controller's own tokens or processor, it would wait at the others as well: in a burst of
   * submissions each was carried out up to three times, and each time counted against the rate that
   * all were waiting for.
   */
  boolean mayHedgeSlow() {
    return storeStalled.getAsBoolean() && hedgesInFlight < MAX_HEDGES_IN_FLIGHT;
  }

  /** True if a request that was refused may be put to a peer, which may be better off. */
  boolean mayHedgeRefused() {
    return hedgesInFlight < MAX_HEDGES_IN_FLIGHT && !storeUnavailableToAll.getAsBoolean();
  }

  /** Counts a request that goes to a peer. */
  void onHedgeSent() {
    hedgesInFlight++;
  }

  /** Counts the end of a request that went to a peer. */
  void onHedgeCompleted() {
    hedgesInFlight--;
  }

  /** Notes that a peer has decided a request for us at time {@code now}, in seconds. */
  void onDefinitiveAnswer(double now) {
    lastPeerAnswerTime = now;
  }

  /** The time in seconds at which a peer last decided a request for us. */
  double lastPeerAnswerTime() {
    return lastPeerAnswerTime;
  }
}
