package graderelay.state;

import graderelay.core.LeaseTiming;
import graderelay.net.Loop;
import java.util.function.Consumer;

/**
 * Renews the session lease that this controller's leader record is attached to. The lease is
 * counted from when its creation or last renewal was requested, so that this controller stops
 * leading before the lease expires in the key-value store and another controller can win.
 */
final class SessionLeaseRenewal {
  /** Fraction of the session lease between renewals, so that two may be lost. */
  private static final double RENEWAL_INTERVAL_FRACTION = 0.25;

  /** Seconds before its end at which the leader considers the session lease expired. */
  private static final double LEASE_MARGIN_S = 0.25;

  private final Loop loop;
  private final StateClient stateClient;
  private final LeaderStatus status;
  private final double sessionLeaseS;
  private final Runnable onRenewalsFailing;
  private final Consumer<String> stepDown;
  private Loop.Timer renewalTimer;
  private double leaseExpiresAt;

  /** When the first of the latest consecutive failed renewals was sent, NaN if none failed. */
  private double failingSince = Double.NaN;

  /**
   * Creates a renewal that starts with {@link #start}.
   *
   * @param sessionLeaseS the TTL of the session lease, in seconds
   * @param onRenewalsFailing runs when a renewal fails and the one before it succeeded
   * @param stepDown ends the leadership for the given reason, once the lease is known to be gone
   */
  SessionLeaseRenewal(
      Loop loop,
      StateClient stateClient,
      LeaderStatus status,
      double sessionLeaseS,
      Runnable onRenewalsFailing,
      Consumer<String> stepDown) {
    this.loop = loop;
    this.stateClient = stateClient;
    this.status = status;
    this.sessionLeaseS = sessionLeaseS;
    this.onRenewalsFailing = onRenewalsFailing;
    this.stepDown = stepDown;
  }

  /** Starts to renew the lease of a new leader, which was requested at the given time. */
  void start(double leaseRequestedAt) {
    extendLease(leaseRequestedAt);
    scheduleRenewal();
  }

  /** Stops renewals, and considers the lease expired. */
  void stop() {
    leaseExpiresAt = Double.NEGATIVE_INFINITY;
    failingSince = Double.NaN;
    close();
  }

  /** Stops renewals. */
  void close() {
    if (renewalTimer != null) {
      renewalTimer.cancel();
    }
  }

  /** The time until which {@link #isLeaseValid} is true, on the loop's clock. */
  double leaseExpiresAt() {
    return leaseExpiresAt;
  }

  /** True if the lease is valid, by this controller's clock and with a safety margin. */
  boolean isLeaseValid() {
    return loop.now() < leaseExpiresAt;
  }

  /** True if the last renewal failed. */
  boolean isFailing() {
    return !Double.isNaN(failingSince);
  }

  /** Seconds for which all renewals have failed, 0 if the last one succeeded. */
  double failingForS() {
    return isFailing() ? loop.now() - failingSince : 0;
  }

  private void extendLease(double sentAt) {
    leaseExpiresAt =
        Math.max(
            leaseExpiresAt,
            sentAt + sessionLeaseS * (1 - LeaseTiming.MAX_CLOCK_DRIFT_RATIO) - LEASE_MARGIN_S);
  }

  private void scheduleRenewal() {
    renewalTimer = loop.schedule(sessionLeaseS * RENEWAL_INTERVAL_FRACTION, this::renew);
  }

  private void renew() {
    if (!status.isActiveLeader()) {
      return;
    }
    double sentAt = loop.now();
    long sessionLease = status.sessionLease();
    stateClient.renewSessionLease(
        sessionLease,
        sessionLeaseS * RENEWAL_INTERVAL_FRACTION * 2,
        result -> {
          if (status.isLeader() && status.sessionLease() == sessionLease) {
            onRenewalResult(result, sentAt);
          }
        });
  }

  private void onRenewalResult(StoreResult result, double sentAt) {
    if (result.succeeded()) {
      extendLease(sentAt);
      failingSince = Double.NaN;
    } else if (result.outcome() == StoreOutcome.NOT_FOUND) {
      stepDown.accept("the session lease no longer exists");
      return;
    } else if (!isFailing()) {
      failingSince = sentAt;
      onRenewalsFailing.run();
    }
    scheduleRenewal();
  }
}
