package graderelay.state;

import graderelay.net.Loop;
import graderelay.peer.RequestHedger;
import java.util.LinkedHashMap;
import java.util.Map;

/** Health of the key-value store as observed from this controller's calls. */
public final class StoreHealth {
  /** Seconds after the last response for which the store counts as reachable. */
  static final double REACHABLE_WITHIN_S = 1.3;

  private final Loop loop;
  private double lastAnsweredAt = Double.NEGATIVE_INFINITY;

  /** When calls began to fail, or NaN if the last call succeeded. */
  private double failingSince = Double.NaN;

  /** When each unanswered call was sent, by call id, without those that may take long. */
  private final Map<Long, Double> unansweredSentAt = new LinkedHashMap<>();

  private long nextCallId;

  StoreHealth(Loop loop) {
    this.loop = loop;
  }

  /**
   * Records that a call is sent; returns its id.
   *
   * @param mayTakeLong true if a slow response to this call is no sign of a problem of the store
   */
  long onCallSent(boolean mayTakeLong) {
    long callId = nextCallId++;
    if (!mayTakeLong) {
      unansweredSentAt.put(callId, loop.now());
    }
    return callId;
  }

  /** Records that a call has ended, with or without a response. */
  void onCallEnded(long callId) {
    unansweredSentAt.remove(callId);
  }

  /** Records that the store has answered a call with another status than 503. */
  void onAnswered() {
    lastAnsweredAt = loop.now();
    failingSince = Double.NaN;
  }

  /** Records that a call had no response or the status 503. */
  void onFailed() {
    if (Double.isNaN(failingSince)) {
      failingSince = loop.now();
    }
  }

  /** When the store last answered with another status than 503, on the event loop's clock. */
  public double lastAnsweredAt() {
    return lastAnsweredAt;
  }

  /** Seconds for which all calls have failed, 0 if the last one succeeded. */
  public double failingForS() {
    return Double.isNaN(failingSince) ? 0 : loop.now() - failingSince;
  }

  /** True if the last call succeeded within the last {@link #REACHABLE_WITHIN_S} seconds. */
  public boolean isReachable() {
    return failingForS() == 0 && loop.now() - lastAnsweredAt < REACHABLE_WITHIN_S;
  }

  /**
   * True if calls to the store fail or are slow. Calls that still wait for this controller's own
   * tokens don't count: hedging their requests to peers would use up the tokens of the peers too.
   */
  public boolean isStalled() {
    return failingForS() > 0
        || (!unansweredSentAt.isEmpty()
            && loop.now() - unansweredSentAt.values().iterator().next()
                > RequestHedger.HEDGE_DELAY_S / 2);
  }
}
