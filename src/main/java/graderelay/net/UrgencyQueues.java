package graderelay.net;

import graderelay.net.TokenBucket.Use;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Calls that wait for tokens, a queue for each use. The most urgent use is served first, but a
 * share is kept for each less urgent one that waits. Used on the event loop only.
 */
final class UrgencyQueues {
  /**
   * Share of what more urgent calls take that a less urgent use gets while it waits: a quarter of a
   * leader's changes is what a burst of submissions needs of it at the users' rates.
   */
  private static final double PASSED_SHARE = 0.3;

  /**
   * A call that waits.
   *
   * @param cost in tokens
   * @param onDecision called with true once there are tokens, or with false if it is refused
   */
  record WaitingCall(double cost, Consumer<Boolean> onDecision) {}

  /** By the ordinal of the use, the most urgent first. */
  private final List<Deque<WaitingCall>> queues = new ArrayList<>();

  /** Tokens that each use has a right to, since more urgent ones went before it. */
  private final double[] owed = new double[Use.values().length];

  private int size;

  UrgencyQueues() {
    for (int i = 0; i < Use.values().length; i++) {
      queues.add(new ArrayDeque<>());
    }
  }

  /** The number of calls that wait, of all uses. */
  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  /** Appends a call to the queue of its use. */
  void add(Use use, WaitingCall call) {
    queues.get(use.ordinal()).add(call);
    size++;
  }

  /** Removes the oldest call of the least urgent use that is less urgent than {@code use}. */
  Optional<WaitingCall> removeLessUrgentThan(Use use) {
    for (int i = queues.size() - 1; i > use.ordinal(); i--) {
      WaitingCall call = queues.get(i).pollFirst();
      if (call != null) {
        size--;
        return Optional.of(call);
      }
    }
    return Optional.empty();
  }

  /** The call to serve next. There must be one. */
  WaitingCall next() {
    return queues.get(nextQueue()).peekFirst();
  }

  /** Removes the call that {@link #next} gives, and reckons what is owed to less urgent uses. */
  void removeNext() {
    int served = nextQueue();
    WaitingCall call = queues.get(served).pollFirst();
    size--;
    owed[served] = queues.get(served).isEmpty() ? 0 : Math.max(0, owed[served] - call.cost());
    for (int i = served + 1; i < queues.size(); i++) {
      owed[i] += queues.get(i).isEmpty() ? 0 : call.cost() * PASSED_SHARE;
    }
  }

  /**
   * The queue to serve next: the most urgent, unless a less urgent one has been passed for so long
   * that a share is owed to it. Claims and ends batch what waits, so a leader with much to write
   * would always have some, and its submissions would starve.
   */
  private int nextQueue() {
    int mostUrgent = 0;
    while (queues.get(mostUrgent).isEmpty()) {
      mostUrgent++;
    }
    for (int i = queues.size() - 1; i > mostUrgent; i--) {
      if (!queues.get(i).isEmpty() && owed[i] >= queues.get(i).peekFirst().cost()) {
        return i;
      }
    }
    return mostUrgent;
  }
}
