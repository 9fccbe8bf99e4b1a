package graderelay.net;

import graderelay.net.UrgencyQueues.WaitingCall;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Tokens for calls to a service with a limited rate. Calls wait by urgency, of which a small share
 * is kept for each less urgent use; the leader's renewals never wait at all, and when too many
 * wait, the least urgent is refused at once. Used on the event loop only.
 */
public final class TokenBucket {
  /**
   * Requests that may wait for tokens; beyond that the least urgent is refused. A bound on a queue:
   * claims and ends of a fleet of any size go many to a request.
   */
  private static final int MOST_WAITING_CALLS = 512;

  /** Seconds that the timer for waiting calls takes at the least. */
  private static final double SHORTEST_TIMER_S = 0.005;

  /** What a call is for, the most urgent first. */
  public enum Use {
    /** Renews the leader's session lease. */
    RENEWAL,
    /** Claims tasks, or scales out or in. */
    CLAIM,
    /** Stores what users and operators ask for. */
    SUBMISSION,
    /** Reads, for which nobody waits long. */
    READ
  }

  private final Loop loop;
  private final UrgencyQueues waiting = new UrgencyQueues();

  /** Tokens a second. */
  private double rate;

  /** The most tokens that the bucket holds. */
  private double burst;

  private double tokens;

  /** When {@link #tokens} was last reckoned, in seconds on the loop's clock. */
  private double refilledAt;

  private boolean timerSet;
  private long refusedCount;
  private double waitedS;

  /**
   * Makes a full bucket.
   *
   * @param rate tokens a second
   * @param burst the most tokens that the bucket holds; at least one
   */
  public TokenBucket(Loop loop, double rate, double burst) {
    this.loop = loop;
    this.rate = rate;
    this.burst = Math.max(1, burst);
    this.tokens = this.burst;
    this.refilledAt = loop.now();
  }

  /**
   * Calls {@code onDecision} with true once there are tokens, or with false if the call is refused.
   *
   * @param cost in tokens
   */
  public void take(Use use, double cost, Consumer<Boolean> onDecision) {
    refill();
    if (use == Use.RENEWAL) {
      tokens -= cost; // May go below zero: the others wait for it.
      onDecision.accept(true);
    } else if (waiting.isEmpty() && covers(cost)) {
      tokens -= cost;
      onDecision.accept(true);
    } else if (waiting.size() >= MOST_WAITING_CALLS && !refuseLessUrgentThan(use)) {
      refusedCount++;
      onDecision.accept(false);
    } else {
      enqueue(use, cost, onDecision);
    }
  }

  /** Tokens a second. */
  public double rate() {
    return rate;
  }

  /** Changes the rate, in tokens a second; the burst is one second's worth. */
  public void rate(double newRate) {
    refill();
    rate = newRate;
    burst = Math.max(1, newRate);
    tokens = Math.min(tokens, burst);
  }

  /** The service said that there were too many: nothing more for a moment. */
  public void penalty() {
    refill();
    tokens = Math.min(tokens, 0);
  }

  /** Seconds that what waits now takes at the rate. */
  public double waitingS() {
    return waiting.size() / rate;
  }

  /** The number of calls that wait. */
  public int waiting() {
    return waiting.size();
  }

  /** True if a call of that cost could not be made at once. */
  public boolean wouldWait(double cost) {
    refill();
    return !waiting.isEmpty() || !covers(cost);
  }

  /** The number of calls refused so far. */
  public long refused() {
    return refusedCount;
  }

  /** Seconds that calls have waited so far, in total. */
  public double waitedSeconds() {
    return waitedS;
  }

  /**
   * True if there are tokens for a call; one that costs more than the burst takes a full bucket.
   */
  private boolean covers(double cost) {
    return tokens >= Math.min(cost, burst);
  }

  private void enqueue(Use use, double cost, Consumer<Boolean> onDecision) {
    double since = loop.now();
    waiting.add(
        use,
        new WaitingCall(
            cost,
            granted -> {
              waitedS += loop.now() - since;
              onDecision.accept(granted);
            }));
    setTimer();
  }

  private boolean refuseLessUrgentThan(Use use) {
    Optional<WaitingCall> refused = waiting.removeLessUrgentThan(use);
    if (refused.isEmpty()) {
      return false;
    }
    refusedCount++;
    refused.get().onDecision().accept(false);
    return true;
  }

  private void refill() {
    double now = loop.now();
    tokens = Math.min(burst, tokens + (now - refilledAt) * rate);
    refilledAt = now;
  }

  private void setTimer() {
    if (timerSet || waiting.isEmpty()) {
      return;
    }
    timerSet = true;
    double missing = 1 - tokens;
    loop.after(Math.max(SHORTEST_TIMER_S, missing / rate), this::release);
  }

  /** Lets as many of the waiting calls go as there are tokens for. */
  private void release() {
    timerSet = false;
    refill();
    while (!waiting.isEmpty()) {
      WaitingCall call = waiting.next();
      if (!covers(call.cost())) {
        break;
      }
      waiting.removeNext();
      tokens -= call.cost();
      call.onDecision().accept(true);
    }
    setTimer();
  }
}
