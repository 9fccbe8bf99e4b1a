package graderelay.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Tokens for calls to a service with a limited rate. Calls wait by urgency, of which a small share
 * is kept for each less urgent use; the leader's renewals never wait at all, and when too many
 * wait, the least urgent is refused at once.
 */
public final class TokenBucket {
  /**
   * Requests that may wait for tokens; beyond that the least urgent is refused. A bound on a queue:
   * claims and ends of a fleet of any size go many to a request.
   */
  private static final int MOST_WAITING_CALLS = 512;

  /**
   * Share of what more urgent calls take that a less urgent use gets while it waits: a quarter of a
   * leader's changes is what a swarm of submissions needs of it at the users' rates.
   */
  private static final double PASSED_SHARE = 0.3;

  /** What a call is for, the most urgent first. */
  public enum Use {
    RENEWAL,
    CLAIM,
    SUBMISSION,
    READ
  }

  private record Waiting(double cost, Consumer<Boolean> go) {}

  private final Loop loop;
  private double rate;
  private double burst;
  private final Deque<Waiting>[] queues;

  /** What each use has a right to, since more urgent ones went before it. */
  private final double[] owed = new double[Use.values().length];

  private double tokens;
  private double filled;
  private int waiting;
  private boolean timer;
  private long refusedCount;
  private double waitedS;

  @SuppressWarnings({"unchecked", "rawtypes"})
  public TokenBucket(Loop loop, double rate, double burst) {
    this.loop = loop;
    this.rate = rate;
    this.burst = Math.max(1, burst);
    this.tokens = this.burst;
    this.filled = loop.now();
    this.queues = new Deque[Use.values().length];
    for (int i = 0; i < queues.length; i++) {
      queues[i] = new ArrayDeque<>();
    }
  }

  /** Calls {@code go} with true once there are tokens, or with false if the call is refused. */
  public void take(Use use, double cost, Consumer<Boolean> go) {
    refill();
    if (use == Use.RENEWAL) {
      tokens -= cost; // May go below zero: the others wait for it.
      go.accept(true);
      return;
    }
    if (waiting == 0 && tokens >= Math.min(cost, burst)) {
      tokens -= cost;
      go.accept(true);
      return;
    }
    if (waiting >= MOST_WAITING_CALLS && !refuseLessUrgent(use)) {
      refusedCount++;
      go.accept(false);
      return;
    }
    double since = loop.now();
    queues[use.ordinal()].add(
        new Waiting(
            cost,
            ok -> {
              waitedS += loop.now() - since;
              go.accept(ok);
            }));
    waiting++;
    arm();
  }

  public double rate() {
    return rate;
  }

  /** Changes the rate; the burst is one second's worth. */
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

  private boolean refuseLessUrgent(Use use) {
    for (int i = queues.length - 1; i > use.ordinal(); i--) {
      Waiting w = queues[i].pollFirst();
      if (w != null) {
        waiting--;
        refusedCount++;
        w.go().accept(false);
        return true;
      }
    }
    return false;
  }

  private void refill() {
    double now = loop.now();
    tokens = Math.min(burst, tokens + (now - filled) * rate);
    filled = now;
  }

  private void arm() {
    if (timer || waiting == 0) {
      return;
    }
    timer = true;
    double missing = 1 - tokens;
    loop.after(Math.max(0.005, missing / rate), this::release);
  }

  private void release() {
    timer = false;
    refill();
    while (waiting > 0) {
      int i = next();
      Waiting w = queues[i].peekFirst();
      if (tokens < Math.min(w.cost(), burst)) {
        break;
      }
      queues[i].pollFirst();
      waiting--;
      tokens -= w.cost();
      owed[i] = queues[i].isEmpty() ? 0 : Math.max(0, owed[i] - w.cost());
      for (int k = i + 1; k < queues.length; k++) {
        owed[k] += queues[k].isEmpty() ? 0 : w.cost() * PASSED_SHARE;
      }
      w.go().accept(true);
    }
    arm();
  }

  /**
   * The queue to serve next: the most urgent, unless a less urgent one has been passed for so long
   * that a share is owed to it. Claims and ends batch what waits, so a leader with much to write
   * would always have some, and its submissions would starve.
   */
  private int next() {
    int first = 0;
    while (queues[first].isEmpty()) {
      first++;
    }
    for (int i = queues.length - 1; i > first; i--) {
      if (!queues[i].isEmpty() && owed[i] >= queues[i].peekFirst().cost()) {
        return i;
      }
    }
    return first;
  }

  /** Seconds that what waits now takes at the rate. */
  public double waitingS() {
    return waiting / rate;
  }

  public int waiting() {
    return waiting;
  }

  /** True if a call of that cost could not be made at once. */
  public boolean wouldWait(double cost) {
    refill();
    return waiting > 0 || tokens < Math.min(cost, burst);
  }

  public long refused() {
    return refusedCount;
  }

  public double waitedSeconds() {
    return waitedS;
  }
}
