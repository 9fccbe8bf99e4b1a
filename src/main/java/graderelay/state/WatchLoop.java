package graderelay.state;

import graderelay.net.Loop;
import graderelay.net.TokenBucket.CallPriority;
import graderelay.wire.StateCodec;
import java.util.function.LongSupplier;

/** Watches the records with consecutive long polls, each of which waits for changes. */
final class WatchLoop {
  /** Maximum time of a long poll; short, so that each response proves that the path works. */
  private static final int BLOCK_MS = 1000;

  /** Minimum interval between long polls, so that a burst of changes costs few requests. */
  private static final double MIN_INTERVAL_S = 0.02;

  private final Loop loop;
  private final StateClient stateClient;
  private final LongSupplier revision;
  private final ChangeHandler changeHandler;
  private double lastSentAt = Double.NEGATIVE_INFINITY;

  /** Incremented on each start, which makes the watch of an earlier load stop. */
  private int generation;

  private boolean closed;

  /**
   * Creates a watch, which begins with {@link #start}.
   *
   * @param revision supplies the revision up to which every change has been seen
   */
  WatchLoop(
      Loop loop, StateClient stateClient, LongSupplier revision, ChangeHandler changeHandler) {
    this.loop = loop;
    this.stateClient = stateClient;
    this.revision = revision;
    this.changeHandler = changeHandler;
  }

  /** Starts to watch; stops a watch that was started before. */
  void start() {
    watch(++generation);
  }

  void close() {
    closed = true;
  }

  private void watch(int watchGeneration) {
    if (closed || watchGeneration != generation) {
      return;
    }
    double intervalS = Math.max(MIN_INTERVAL_S, stateClient.budget().readIntervalS());
    double delayS = lastSentAt + intervalS - loop.now();
    if (delayS > 0) {
      loop.schedule(delayS, () -> watch(watchGeneration));
      return;
    }
    lastSentAt = loop.now();
    double sentAt = lastSentAt;
    long afterRevision = revision.getAsLong();
    stateClient.watch(
        StateCodec.ROOT,
        afterRevision,
        BLOCK_MS,
        CallPriority.CLAIM,
        result -> {
          changeHandler.onChangesRead(result, afterRevision, sentAt);
          if (result.succeeded()) {
            watch(watchGeneration);
          } else if (result.outcome() != StoreOutcome.NOT_FOUND) {
            loop.schedule(StateClient.RETRY_DELAY_S, () -> watch(watchGeneration));
          }
        });
  }
}
