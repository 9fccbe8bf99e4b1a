package graderelay.state;

import graderelay.core.LeaseTiming;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.CallPriority;
import graderelay.wire.StateCodec;

/**
 * This controller's own suspension from election, which the last leader recorded because this
 * controller did not answer it. That leader may rely on the suspension for {@link
 * ElectionTiming#SUSPENSION_S} after it last read the records, so this controller first records
 * that it is leaving the suspension and then waits that long. A new process of this controller has
 * to do both again.
 */
final class OwnSuspension {
  private final Loop loop;
  private final StateClient stateClient;
  private final Cache cache;
  private final Candidate self;

  /** When this process first saw its record of leaving the suspension, or NaN. */
  private double leavingSince = Double.NaN;

  OwnSuspension(Loop loop, StateClient stateClient, Cache cache, Candidate self) {
    this.loop = loop;
    this.stateClient = stateClient;
    this.cache = cache;
    this.self = self;
  }

  /** True if there is a suspension that this process has not started to leave. */
  boolean mustStartLeaving() {
    StateCodec.Suspension suspension = cache.suspension(self.member());
    return suspension != null && !suspension.leavingIncarnation().equals(self.incarnation());
  }

  /** Records that this process is leaving its suspension; calls back on success and on failure. */
  void startLeaving(Runnable done) {
    leavingSince = Double.NaN;
    String key = cache.election().suspensionKey(self.member());
    stateClient.commit(
        new Transaction()
            .when(cache.election().leaderKey(), 0)
            .when(key, cache.suspension(self.member()).revision())
            .put(key, StateCodec.encodeSuspension(self.incarnation())),
        CallPriority.RENEWAL,
        result -> done.run());
  }

  /**
   * Seconds until this controller has left the suspension that it started to leave; 0 or less if it
   * has left it or is not suspended.
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

  /** Conditions a transaction on the known suspension, and deletes the suspension in it. */
  void deleteIn(Transaction transaction) {
    StateCodec.Suspension suspension = cache.suspension(self.member());
    String key = cache.election().suspensionKey(self.member());
    transaction.when(key, suspension == null ? 0 : suspension.revision());
    if (suspension != null) {
      transaction.delete(key);
    }
  }
}
