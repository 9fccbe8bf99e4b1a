package graderelay.net;

import graderelay.net.PriorityCallQueues.WaitingCall;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A token bucket for calls to a rate-limited service. Waiting calls are served by priority, with a
 * small share of the tokens reserved for each lower priority. The leader's lease renewals never
 * wait. When the queue is full, a call of the lowest priority is refused at once. Confined to the
 * event loop.
 */
public final class TokenBucket {
  /**
   * Maximum number of calls that wait for tokens; beyond it, a call of the lowest priority is
   * refused. The bound does not depend on the size of the fleet, since claims and task ends are
   * batched, many to a request.
   */
  private static final int MAX_WAITING_CALLS = 512;

  /** Minimum delay of the timer that releases waiting calls. */
  private static final double MIN_TIMER_DELAY_S = 0.005;

  /** The purpose of a call, which decides its priority; the highest priority first. */
  public enum CallPriority {
    /** Renewal of the leader's session lease. */
    RENEWAL,
    /** Claims of tasks, scale-out and scale-in. */
    CLAIM,
    /** Writes requested by users and operators. */
    SUBMISSION,
    /** Reads; a delay affects them least. */
    READ
  }

  private final Loop loop;
  private final PriorityCallQueues waiting = new PriorityCallQueues();

  /** Refill rate in tokens per second. */
  private double tokensPerS;

  /** Capacity of the bucket in tokens. */
  private double burst;

  private double tokens;

  /** Time of the last refill of {@link #tokens}, in seconds of the event loop's clock. */
  private double refilledAtS;

  private boolean releaseScheduled;
  private long refusedCount;
  private double totalWaitS;

  /**
   * Creates a full bucket.
   *
   * @param tokensPerS refill rate in tokens per second
   * @param burst capacity of the bucket in tokens; at least one
   */
  public TokenBucket(Loop loop, double tokensPerS, double burst) {
    this.loop = loop;
    this.tokensPerS = tokensPerS;
    this.burst = Math.max(1, burst);
    this.tokens = this.burst;
    this.refilledAtS = loop.now();
  }

  /**
   * Calls {@code onDecision} with true once there are enough tokens, or with false if the call is
   * refused.
   *
   * @param cost the cost of the call in tokens
   */
  public void take(CallPriority priority, double cost, Consumer<Boolean> onDecision) {
    refill();
    if (priority == CallPriority.RENEWAL) {
      tokens -= cost; // May become negative: other calls then wait until the debt is paid off.
      onDecision.accept(true);
    } else if (waiting.isEmpty() && covers(cost)) {
      tokens -= cost;
      onDecision.accept(true);
    } else if (waiting.size() >= MAX_WAITING_CALLS && !refuseLowerPriority(priority)) {
      refusedCount++;
      onDecision.accept(false);
    } else {
      enqueue(priority, cost, onDecision);
    }
  }

  /** Returns the refill rate in tokens per second. */
  public double tokensPerS() {
    return tokensPerS;
  }

  /**
   * Changes the refill rate in tokens per second; the capacity becomes the tokens of one second.
   */
  public void tokensPerS(double newTokensPerS) {
    refill();
    tokensPerS = newTokensPerS;
    burst = Math.max(1, newTokensPerS);
    tokens = Math.min(tokens, burst);
  }

  /** Empties the bucket after the service has rejected a call for exceeding its rate limit. */
  public void onThrottled() {
    refill();
    tokens = Math.min(tokens, 0);
  }

  /** Returns the estimated time to serve the waiting calls at the refill rate, in seconds. */
  public double estimatedWaitS() {
    return waiting.size() / tokensPerS;
  }

  /** Returns the number of waiting calls. */
  public int waiting() {
    return waiting.size();
  }

  /** Returns true if a call of this cost would have to wait. */
  public boolean wouldWait(double cost) {
    refill();
    return !waiting.isEmpty() || !covers(cost);
  }

  /** Returns the number of refused calls. */
  public long refusedCount() {
    return refusedCount;
  }

  /** Returns the total time that calls have waited, in seconds. */
  public double totalWaitS() {
    return totalWaitS;
  }

  /**
   * Returns true if there are enough tokens for a call. A call that costs more than the capacity
   * needs a full bucket.
   */
  private boolean covers(double cost) {
    return tokens >= Math.min(cost, burst);
  }

  private void enqueue(CallPriority priority, double cost, Consumer<Boolean> onDecision) {
    double enqueuedAtS = loop.now();
    waiting.add(
        priority,
        new WaitingCall(
            cost,
            granted -> {
              totalWaitS += loop.now() - enqueuedAtS;
              onDecision.accept(granted);
            }));
    scheduleRelease();
  }

  private boolean refuseLowerPriority(CallPriority priority) {
    Optional<WaitingCall> refused = waiting.removeLowerPriority(priority);
    if (refused.isEmpty()) {
      return false;
    }
    refusedCount++;
    refused.get().onDecision().accept(false);
    return true;
  }

  private void refill() {
    double now = loop.now();
    tokens = Math.min(burst, tokens + (now - refilledAtS) * tokensPerS);
    refilledAtS = now;
  }

  private void scheduleRelease() {
    if (releaseScheduled || waiting.isEmpty()) {
      return;
    }
    releaseScheduled = true;
    double missingTokens = 1 - tokens;
    loop.schedule(
        Math.max(MIN_TIMER_DELAY_S, missingTokens / tokensPerS), this::releaseWaitingCalls);
  }

  /** Releases as many waiting calls as there are tokens for. */
  private void releaseWaitingCalls() {
    releaseScheduled = false;
    refill();
    while (!waiting.isEmpty()) {
      WaitingCall call = waiting.peekNext();
      if (!covers(call.cost())) {
        break;
      }
      waiting.removeNext();
      tokens -= call.cost();
      call.onDecision().accept(true);
    }
    scheduleRelease();
  }
}
