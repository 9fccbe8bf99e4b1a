package graderelay.state;

import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
import graderelay.wire.StateCodec;
import java.util.function.LongSupplier;

/** Watches the records: each read waits at the store for changes, and the next follows it. */
final class WatchLoop {
  /** Milliseconds that a watch is asked to wait; short, so that its end shows a healthy path. */
  private static final int BLOCK_MS = 1000;

  /** Seconds between watches at the least, so that a burst of changes costs few requests. */
  private static final double MIN_INTERVAL_S = 0.02;

  private final Loop loop;
  private final StateClient state;
  private final LongSupplier revision;
  private final ChangeHandler handler;
  private double lastSentAt = Double.NEGATIVE_INFINITY;

  /** Counts the starts, so that the watch of an earlier load ends by itself. */
  private int generation;

  private boolean closed;

  /**
   * Makes the watch, which begins with {@link #start}.
   *
   * @param revision the revision up to which every change has been seen
   */
  WatchLoop(Loop loop, StateClient state, LongSupplier revision, ChangeHandler handler) {
    this.loop = loop;
    this.state = state;
    this.revision = revision;
    this.handler = handler;
  }

  /** Begins to watch; a watch that was started before ends. */
  void start() {
    watch(++generation);
  }

  void close() {
    closed = true;
  }

  private void watch(int startedAs) {
    if (closed || startedAs != generation) {
      return;
    }
    double interval = Math.max(MIN_INTERVAL_S, state.budget().readIntervalS());
    double wait = lastSentAt + interval - loop.now();
    if (wait > 0) {
      loop.after(wait, () -> watch(startedAs));
      return;
    }
    lastSentAt = loop.now();
    double sentAt = lastSentAt;
    long after = revision.getAsLong();
    state.watch(
        StateCodec.ROOT,
        after,
        BLOCK_MS,
        Use.CLAIM,
        result -> {
          handler.onChangesRead(result, after, sentAt);
          if (result.succeeded()) {
            watch(startedAs);
          } else if (result.outcome() != StoreOutcome.NOT_FOUND) {
            loop.after(StateClient.STATE_RETRY_S, () -> watch(startedAs));
          }
        });
  }
}
