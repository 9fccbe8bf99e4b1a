package graderelay.state;

import graderelay.net.Loop;
import graderelay.peer.RequestHedger;
import java.util.LinkedHashMap;
import java.util.Map;

/** Whether the key-value store serves this controller, as its calls show. */
public final class StoreHealth {
  /** Seconds since its last answer for which the store counts as reachable. */
  static final double REACHABLE_S = 1.3;

  private final Loop loop;
  private double lastAnswerAt = Double.NEGATIVE_INFINITY;

  /** When calls began to fail, or NaN if the last one did not. */
  private double failingSince = Double.NaN;

  /** When each call without an answer yet was sent, by its number; those that may take long not. */
  private final Map<Long, Double> unanswered = new LinkedHashMap<>();

  private long nextCall;

  StoreHealth(Loop loop) {
    this.loop = loop;
  }

  /**
   * Notes that a call is sent, and returns its number.
   *
   * @param mayTakeLong true if a late answer to this call says nothing of the store's health
   */
  long callSent(boolean mayTakeLong) {
    long call = nextCall++;
    if (!mayTakeLong) {
      unanswered.put(call, loop.now());
    }
    return call;
  }

  /** Notes that a call has ended, with an answer or without. */
  void callEnded(long call) {
    unanswered.remove(call);
  }

  /** Notes that the store has answered a call properly. */
  void answered() {
    lastAnswerAt = loop.now();
    failingSince = Double.NaN;
  }

  /** Notes that a call had no proper answer. */
  void failed() {
    if (Double.isNaN(failingSince)) {
      failingSince = loop.now();
    }
  }

  /** When the store last answered this controller properly, on the event loop's clock. */
  public double lastAnswerAt() {
    return lastAnswerAt;
  }

  /** Seconds for which every call has failed, 0 if the last one did not. */
  public double failingForS() {
    return Double.isNaN(failingSince) ? 0 : loop.now() - failingSince;
  }

  /** True if the store serves this controller: its last call went well, a moment ago. */
  public boolean isReachable() {
    return failingForS() == 0 && loop.now() - lastAnswerAt < REACHABLE_S;
  }

  /**
   * True if the store lets this controller wait or refuses it. What only waits for this
   * controller's own tokens is no sign of that: asking peers as well would use up theirs too.
   */
  public boolean isStalled() {
    return failingForS() > 0
        || (!unanswered.isEmpty()
            && loop.now() - unanswered.values().iterator().next() > RequestHedger.HEDGE_S / 2);
  }
}
