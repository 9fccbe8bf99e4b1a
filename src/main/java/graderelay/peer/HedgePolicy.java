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
  private static final int MOST_HEDGES_OUT = 64;

  private final BooleanSupplier stuck;
  private final BooleanSupplier awayForAll;
  private int underWay;
  private double lastHelp = Double.NEGATIVE_INFINITY;

  /**
   * Makes the policy.
   *
   * @param stuck whether the store lets this controller wait
   * @param awayForAll whether peers say that they are no better off
   */
  HedgePolicy(BooleanSupplier stuck, BooleanSupplier awayForAll) {
    this.stuck = stuck;
    this.awayForAll = awayForAll;
  }

  /**
   * True if a request that has waited for a while may be put to a peer. If it only waits for this
   * controller's own tokens or processor, it would wait at the others as well: in a burst of
   * submissions each was carried out up to three times, and each time counted against the rate that
   * all were waiting for.
   */
  boolean mayHedgeSlow() {
    return stuck.getAsBoolean() && underWay < MOST_HEDGES_OUT;
  }

  /** True if a request that was refused may be put to a peer, which may be better off. */
  boolean mayHedgeRefused() {
    return underWay < MOST_HEDGES_OUT && !awayForAll.getAsBoolean();
  }

  /** Counts a request that goes to a peer. */
  void started() {
    underWay++;
  }

  /** Counts the end of a request that went to a peer. */
  void ended() {
    underWay--;
  }

  /** Notes that a peer has decided a request for us at time {@code now}, in seconds. */
  void helped(double now) {
    lastHelp = now;
  }

  /** The time in seconds at which a peer last decided a request for us. */
  double lastHelp() {
    return lastHelp;
  }
}
