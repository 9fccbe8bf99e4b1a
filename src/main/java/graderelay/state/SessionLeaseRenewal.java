package graderelay.state;

import graderelay.core.LeaseTiming;
import graderelay.net.Loop;
import java.util.function.Consumer;

/**
 * Renews the session lease that this controller's leader record is attached to. The lease is
 * counted from the moment its creation or renewal was sent, so that this controller stops before
 * the key-value store lets anybody else win.
 */
final class SessionLeaseRenewal {
  /** Share of the session lease between renewals, so that two may be lost. */
  private static final double RENEW_AFTER_SHARE = 0.25;

  /** Seconds before the session lease's own end at which the leader counts it as over. */
  private static final double LEASE_MARGIN_S = 0.25;

  private final Loop loop;
  private final StateClient state;
  private final LeaderStatus status;
  private final double leaseS;
  private final Runnable onFailing;
  private final Consumer<String> loseLeadership;
  private Loop.Timer renewal;
  private double leaseEndsAt;

  /** When the first of the renewals was sent that have failed since, or NaN. */
  private double failingSince = Double.NaN;

  /**
   * Renews nothing yet.
   *
   * @param leaseS length of the session lease, in seconds
   * @param onFailing runs when a renewal fails while the one before it did not
   * @param loseLeadership ends the leadership, for a reason, once the lease is known to be over
   */
  SessionLeaseRenewal(
      Loop loop,
      StateClient state,
      LeaderStatus status,
      double leaseS,
      Runnable onFailing,
      Consumer<String> loseLeadership) {
    this.loop = loop;
    this.state = state;
    this.status = status;
    this.leaseS = leaseS;
    this.onFailing = onFailing;
    this.loseLeadership = loseLeadership;
  }

  /** This controller leads from now on, under a lease that was asked for at that time. */
  void begin(double leaseSentAt) {
    extendTo(leaseSentAt);
    renewLater();
  }

  /** The leadership is over, and the lease with it. */
  void end() {
    leaseEndsAt = Double.NEGATIVE_INFINITY;
    failingSince = Double.NaN;
    close();
  }

  /** The process ends: renews no more. */
  void close() {
    if (renewal != null) {
      renewal.cancel();
    }
  }

  /** The end of the time for which {@link #isLeaseHeld}, in the loop's seconds. */
  double leaseEndsAt() {
    return leaseEndsAt;
  }

  /** True if the lease lasts, counted with a margin on this controller's clock. */
  boolean isLeaseHeld() {
    return loop.now() < leaseEndsAt;
  }

  /** True if the last renewal failed. */
  boolean isFailing() {
    return !Double.isNaN(failingSince);
  }

  /** Seconds for which every renewal has failed, 0 if the last one did not. */
  double failingForS() {
    return isFailing() ? loop.now() - failingSince : 0;
  }

  private void extendTo(double sentAt) {
    leaseEndsAt =
        Math.max(
            leaseEndsAt,
            sentAt + leaseS * (1 - LeaseTiming.MAX_CLOCK_DRIFT_RATIO) - LEASE_MARGIN_S);
  }

  private void renewLater() {
    renewal = loop.after(leaseS * RENEW_AFTER_SHARE, this::renew);
  }

  private void renew() {
    if (!status.isActiveLeader()) {
      return;
    }
    double sentAt = loop.now();
    long sessionLease = status.sessionLease();
    state.renewSessionLease(
        sessionLease,
        leaseS * RENEW_AFTER_SHARE * 2,
        result -> {
          if (status.isLeader() && status.sessionLease() == sessionLease) {
            onRenewalResult(result, sentAt);
          }
        });
  }

  private void onRenewalResult(StoreResult result, double sentAt) {
    if (result.succeeded()) {
      extendTo(sentAt);
      failingSince = Double.NaN;
    } else if (result.outcome() == StoreOutcome.NOT_FOUND) {
      loseLeadership.accept("the session lease is over");
      return;
    } else if (!isFailing()) {
      failingSince = sentAt;
      onFailing.run();
    }
    renewLater();
  }
}
