package graderelay.state;

import graderelay.core.LeaseTiming;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
import graderelay.wire.StateCodec;

/**
 * This controller's own suspension from election, which the last leader recorded while it did not
 * hear us. That leader may count on the suspension for a while after its last look at the records,
 * so leaving it takes that long after our record of it stands; another process of this controller
 * has to begin anew.
 */
final class OwnSuspension {
  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final Candidate self;

  /** When our record of leaving the suspension was known to stand, or NaN. */
  private double leavingSince = Double.NaN;

  OwnSuspension(Loop loop, StateClient state, Cache cache, Candidate self) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.self = self;
  }

  /** True if there is a suspension that this process has not begun to leave. */
  boolean mustBeLeft() {
    StateCodec.Suspension suspension = cache.suspension(self.member());
    return suspension != null && !suspension.leaving().equals(self.process());
  }

  /** Records that this process leaves its suspension; calls back whatever came of it. */
  void beginToLeave(Runnable done) {
    leavingSince = Double.NaN;
    String key = cache.election().suspensionKey(self.member());
    state.commit(
        new Transaction()
            .when(cache.election().leaderKey(), 0)
            .when(key, cache.suspension(self.member()).revision())
            .put(key, StateCodec.encodeSuspension(self.process())),
        Use.RENEWAL,
        result -> done.run());
  }

  /**
   * Seconds until this controller has left a suspension that it began to leave, 0 or less if it has
   * or if there is none.
   */
  double remainingS() {
    if (cache.suspension(self.member()) == null) {
      return 0;
    }
    leavingSince = Double.isNaN(leavingSince) ? loop.now() : leavingSince;
    return leavingSince
        + ElectionTiming.SUSPENSION_S * (1 + LeaseTiming.MAX_CLOCK_DRIFT_RATIO)
        - loop.now();
  }

  /** Makes a transaction depend on the suspension as it is known, and remove it. */
  void removeIn(Transaction txn) {
    StateCodec.Suspension suspension = cache.suspension(self.member());
    String key = cache.election().suspensionKey(self.member());
    txn.when(key, suspension == null ? 0 : suspension.revision());
    if (suspension != null) {
      txn.delete(key);
    }
  }
}
