package graderelay.state;

import graderelay.net.Loop;
import graderelay.net.TokenBucket.CallPriority;
import graderelay.wire.StateCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Brings the cache up to date for linearizable reads. All callers that request a catch-up while a
 * read is in flight, or within the minimum interval after it was sent, share the next read.
 */
final class CatchUpReader {
  /** Minimum interval between catch-up reads. */
  private static final double MIN_INTERVAL_S = 0.04;

  private final Loop loop;
  private final StateClient stateClient;
  private final LongSupplier revision;
  private final ChangeHandler changeHandler;
  private List<Consumer<Boolean>> waitingCallbacks = new ArrayList<>();
  private boolean readInFlight;
  private double lastSentAt = Double.NEGATIVE_INFINITY;

  /**
   * Creates a reader.
   *
   * @param revision supplies the revision up to which every change has been seen
   */
  CatchUpReader(
      Loop loop, StateClient stateClient, LongSupplier revision, ChangeHandler changeHandler) {
    this.loop = loop;
    this.stateClient = stateClient;
    this.revision = revision;
    this.changeHandler = changeHandler;
  }

  /**
   * Calls back with true once the cache contains everything that was committed before this call, or
   * with false if it could not be brought up to date.
   */
  void catchUp(Consumer<Boolean> done) {
    waitingCallbacks.add(done);
    scheduleRead();
  }

  private void scheduleRead() {
    if (readInFlight || waitingCallbacks.isEmpty()) {
      return;
    }
    readInFlight = true;
    double intervalS = Math.max(MIN_INTERVAL_S, stateClient.budget().readIntervalS());
    double delayS = lastSentAt + intervalS - loop.now();
    if (delayS > 0) {
      loop.schedule(delayS, this::read);
    } else {
      read();
    }
  }

  private void read() {
    List<Consumer<Boolean>> callbacks = waitingCallbacks;
    waitingCallbacks = new ArrayList<>();
    lastSentAt = loop.now();
    double sentAt = lastSentAt;
    long afterRevision = revision.getAsLong();
    stateClient.watch(
        StateCodec.ROOT,
        afterRevision,
        0,
        CallPriority.SUBMISSION,
        result -> {
          readInFlight = false;
          boolean caughtUp = changeHandler.onChangesRead(result, afterRevision, sentAt);
          callbacks.forEach(callback -> callback.accept(caughtUp));
          scheduleRead();
        });
  }
}
