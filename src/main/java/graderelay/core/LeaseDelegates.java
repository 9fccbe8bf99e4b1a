package graderelay.core;

import java.util.HashMap;
import java.util.Map;

/**
 * The leader's record of the lease delegates: controllers that may renew workers' leases in a
 * partitioned zone. A lease delegate renews the leases of its zone's workers autonomously, without
 * commands, only while it reaches neither the leader nor the key-value store, and only for a
 * limited time after the leader's last grant. If a lease delegate is silent, the leader has to
 * assume that it renews leases until its grant expires. A request from it shows that it is not
 * autonomous.
 */
final class LeaseDelegates {
  private static final class LeaseDelegate {
    final String zone;
    String process = "";

    /** Number of the last request that was granted. */
    long grantedRequestNumber;

    /** When its grant expires. */
    double grantedUntil;

    /** When the leader sent the last grant that the delegate is known to have received. */
    double receivedGrantAt = Double.NEGATIVE_INFINITY;

    /** Latest known time at which it may have renewed leases autonomously. */
    double lastAutonomousAt = Double.NEGATIVE_INFINITY;

    LeaseDelegate(String zone, double grantedUntil) {
      this.zone = zone;
      this.grantedUntil = grantedUntil;
    }

    /** True if it may be renewing leases autonomously. */
    boolean mayBeAutonomous(double now) {
      return now
          > receivedGrantAt
              + LeaseTiming.DELEGATE_AUTONOMY_DELAY_S * (1 - LeaseTiming.MAX_CLOCK_DRIFT_RATIO);
    }
  }

  private final Map<String, LeaseDelegate> delegatesByMember = new HashMap<>();
  private final long term;
  private final double grantS;
  private final double leaseS;

  /**
   * Creates the lease delegates of a new leader. Earlier leaders issued their last grants before
   * they lost the leadership and therefore before {@code now}.
   *
   * @param zones the zone of each member that is a lease delegate
   * @param grantS duration of a grant in seconds
   * @param leaseS duration of a worker's lease in seconds
   */
  LeaseDelegates(Map<String, String> zones, long term, double grantS, double leaseS, double now) {
    this.term = term;
    this.grantS = grantS * (1 + LeaseTiming.MAX_CLOCK_DRIFT_RATIO);
    this.leaseS = leaseS;
    zones.forEach(
        (member, zone) ->
            delegatesByMember.put(member, new LeaseDelegate(zone, now + this.grantS)));
  }

  /** The zone of a lease delegate, or null if the member is none. */
  String zoneOf(String member) {
    LeaseDelegate delegate = delegatesByMember.get(member);
    return delegate == null ? null : delegate.zone;
  }

  /** Issues a grant from now on; returns false if the member is not a lease delegate. */
  boolean grant(DelegationRequest request, double now) {
    LeaseDelegate delegate = delegatesByMember.get(request.member());
    if (delegate == null) {
      return false;
    }
    if (!request.process().equals(delegate.process)) {
      delegate.process = request.process();
      delegate.grantedRequestNumber = 0;
    }
    delegate.grantedRequestNumber =
        Math.max(delegate.grantedRequestNumber, request.requestNumber());
    delegate.grantedUntil = Math.max(delegate.grantedUntil, now + grantS);
    delegate.lastAutonomousAt = Math.max(delegate.lastAutonomousAt, now - request.autonomousAgeS());
    if (request.grantTerm() == term) {
      delegate.receivedGrantAt = Math.max(delegate.receivedGrantAt, request.lastReceivedGrantAt());
    }
    return true;
  }

  /** Withdraws the member's grants, unless a later one has been issued, which may be in effect. */
  void release(DelegationRelease release, double now) {
    LeaseDelegate delegate = delegatesByMember.get(release.member());
    if (delegate != null
        && release.grantTerm() == term
        && release.process().equals(delegate.process)
        && delegate.grantedRequestNumber <= release.lastRequestNumber()) {
      delegate.lastAutonomousAt =
          Math.max(delegate.lastAutonomousAt, now - release.autonomousAgeS());
      delegate.grantedUntil = Double.NEGATIVE_INFINITY;
    }
  }

  /**
   * Returns the latest time at which a lease delegate may have renewed a lease in the zone, or in
   * any zone if {@code zone} is null.
   */
  double latestRenewalAt(String zone, double now) {
    double latest = Double.NEGATIVE_INFINITY;
    for (LeaseDelegate delegate : delegatesByMember.values()) {
      if (zone == null || zone.equals(delegate.zone)) {
        latest = Math.max(latest, delegate.lastAutonomousAt);
        if (delegate.mayBeAutonomous(now)) {
          latest = Math.max(latest, Math.min(now, delegate.grantedUntil));
        }
      }
    }
    return latest;
  }

  /** True if leases in the zone may still be valid because a lease delegate renewed them. */
  boolean mayRenew(String zone, double now) {
    for (LeaseDelegate delegate : delegatesByMember.values()) {
      if (delegate.zone.equals(zone)
          && delegate.mayBeAutonomous(now)
          && now < delegate.grantedUntil + leaseS) {
        return true;
      }
    }
    return false;
  }
}
