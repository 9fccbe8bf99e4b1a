package graderelay.state;

import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
import graderelay.wire.StateCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Reads that bring the copy up to date for linearizable reads. All who ask while one is on its way,
 * or too soon after it, share the next one.
 */
final class CatchUpReads {
  /** Seconds between catch-up reads at the least. */
  private static final double MIN_INTERVAL_S = 0.04;

  private final Loop loop;
  private final StateClient state;
  private final LongSupplier revision;
  private final ChangeHandler handler;
  private List<Consumer<Boolean>> waiting = new ArrayList<>();
  private boolean reading;
  private double lastSentAt = Double.NEGATIVE_INFINITY;

  /**
   * Makes the reads.
   *
   * @param revision the revision up to which every change has been seen
   */
  CatchUpReads(Loop loop, StateClient state, LongSupplier revision, ChangeHandler handler) {
    this.loop = loop;
    this.state = state;
    this.revision = revision;
    this.handler = handler;
  }

  /** Calls back with true once everything that had committed before this call has been seen. */
  void catchUp(Consumer<Boolean> done) {
    waiting.add(done);
    readSoon();
  }

  private void readSoon() {
    if (reading || waiting.isEmpty()) {
      return;
    }
    reading = true;
    double interval = Math.max(MIN_INTERVAL_S, state.budget().readIntervalS());
    double wait = lastSentAt + interval - loop.now();
    if (wait > 0) {
      loop.after(wait, this::read);
    } else {
      read();
    }
  }

  private void read() {
    List<Consumer<Boolean>> served = waiting;
    waiting = new ArrayList<>();
    lastSentAt = loop.now();
    double sentAt = lastSentAt;
    long after = revision.getAsLong();
    state.watch(
        StateCodec.ROOT,
        after,
        0,
        Use.SUBMISSION,
        result -> {
          reading = false;
          boolean caughtUp = handler.onChangesRead(result, after, sentAt);
          served.forEach(done -> done.accept(caughtUp));
          readSoon();
        });
  }
}
