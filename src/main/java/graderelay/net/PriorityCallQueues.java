package graderelay.net;

import graderelay.net.TokenBucket.CallPriority;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Calls that wait for tokens, in one queue per priority. The highest priority is served first, but
 * a share of the tokens is reserved for each lower priority with waiting calls. Confined to the
 * event loop.
 */
final class PriorityCallQueues {
  /**
   * Credit that a waiting lower priority gains per token spent on a higher priority. At the users'
   * request rates, a burst of submissions needs about a quarter of the leader's store changes.
   */
  private static final double LOWER_PRIORITY_SHARE = 0.3;

  /**
   * A waiting call.
   *
   * @param cost the cost of the call in tokens
   * @param onDecision called with true once there are enough tokens, or with false if the call is
   *     refused
   */
  record WaitingCall(double cost, Consumer<Boolean> onDecision) {}

  /** Indexed by the ordinal of the priority, the highest priority first. */
  private final List<Deque<WaitingCall>> queues = new ArrayList<>();

  /** Tokens credited to each priority while calls of higher priority were served before its own. */
  private final double[] credits = new double[CallPriority.values().length];

  private int size;

  PriorityCallQueues() {
    for (int i = 0; i < CallPriority.values().length; i++) {
      queues.add(new ArrayDeque<>());
    }
  }

  /** Returns the number of waiting calls of all priorities. */
  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  /** Appends a call to the queue of its priority. */
  void add(CallPriority priority, WaitingCall call) {
    queues.get(priority.ordinal()).add(call);
    size++;
  }

  /** Removes the oldest call of the lowest priority, if that is lower than {@code priority}. */
  Optional<WaitingCall> removeLowerPriority(CallPriority priority) {
    for (int i = queues.size() - 1; i > priority.ordinal(); i--) {
      WaitingCall call = queues.get(i).pollFirst();
      if (call != null) {
        size--;
        return Optional.of(call);
      }
    }
    return Optional.empty();
  }

  /** Returns the next call to serve. The queues must not all be empty. */
  WaitingCall peekNext() {
    return queues.get(nextQueueIndex()).peekFirst();
  }

  /**
   * Removes the call that {@link #peekNext} returns, and updates the credits of lower priorities.
   */
  void removeNext() {
    int served = nextQueueIndex();
    WaitingCall call = queues.get(served).pollFirst();
    size--;
    credits[served] = queues.get(served).isEmpty() ? 0 : Math.max(0, credits[served] - call.cost());
    for (int i = served + 1; i < queues.size(); i++) {
      credits[i] += queues.get(i).isEmpty() ? 0 : call.cost() * LOWER_PRIORITY_SHARE;
    }
  }

  /**
   * Returns the index of the next queue to serve: the highest priority with waiting calls, unless a
   * lower one has enough credit for its next call. Claims and task ends are written in batches, so
   * a busy leader always has some waiting, and submissions would starve without the credit.
   */
  private int nextQueueIndex() {
    int highest = 0;
    while (queues.get(highest).isEmpty()) {
      highest++;
    }
    for (int i = queues.size() - 1; i > highest; i--) {
      if (!queues.get(i).isEmpty() && credits[i] >= queues.get(i).peekFirst().cost()) {
        return i;
      }
    }
    return highest;
  }
}
