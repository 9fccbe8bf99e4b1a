package graderelay.core;

import java.util.HashMap;
import java.util.Map;

/**
 * The leader's record of the controllers that may renew workers' leases in a zone that is cut off.
 * A lease delegate answers its zone's workers by itself, without commands, only while it reaches
 * neither the leader nor the key-value store, and only for a limited time after the leader's last
 * grant. Nothing is known of a lease delegate that is silent, so its zone's leases count as renewed
 * until its grant has run out; from one that speaks we know that it does not answer by itself.
 */
final class LeaseDelegates {
  /**
   * A lease delegate's request for a grant.
   *
   * @param process tells its process from earlier ones of the same member
   * @param number number of the request within its process
   * @param grantTerm term of the leader whose grant it has, 0 if it has none
   * @param lastHeardAt the leader's time of the last grant that it has heard of
   * @param aloneS seconds since it last answered by itself, or since its process began
   */
  record GrantRequest(
      String member,
      String process,
      long number,
      long grantTerm,
      double lastHeardAt,
      double aloneS) {}

  /**
   * A lease delegate releases its grants, since it reaches the key-value store but not the leader.
   *
   * @param process tells its process from earlier ones of the same member
   * @param number number of the last request whose grant is released
   * @param grantTerm term of the leader whose grant it has
   * @param aloneS seconds since it last answered by itself, or since its process began
   */
  record GrantRelease(String member, String process, long number, long grantTerm, double aloneS) {}

  private static final class LeaseDelegate {
    final String zone;
    String process = "";

    /** Number of the last request that was granted. */
    long grantedNumber;

    /** When its grant runs out. */
    double grantedUntil;

    /** When we sent the last grant that it is known to have heard of. */
    double heardAt = Double.NEGATIVE_INFINITY;

    /** When it may last have answered its workers by itself, as far as it has said. */
    double aloneAt = Double.NEGATIVE_INFINITY;

    LeaseDelegate(String zone, double grantedUntil) {
      this.zone = zone;
      this.grantedUntil = grantedUntil;
    }

    /** True if it may be answering its workers by itself. */
    boolean maybeAlone(double now) {
      return now > heardAt + LeaseTiming.DELEGATE_ALONE_S * (1 - LeaseTiming.DRIFT);
    }
  }

  private final Map<String, LeaseDelegate> byMember = new HashMap<>();
  private final long term;
  private final double grantS;
  private final double leaseS;

  /**
   * The lease delegates of a new leader. Earlier leaders granted until they lost the leadership at
   * the latest, which was before now.
   *
   * @param zones the zone of each member that is a lease delegate
   * @param grantS seconds that a grant lasts
   * @param leaseS seconds that a worker's lease lasts
   */
  LeaseDelegates(Map<String, String> zones, long term, double grantS, double leaseS, double now) {
    this.term = term;
    this.grantS = grantS * (1 + LeaseTiming.DRIFT);
    this.leaseS = leaseS;
    zones.forEach(
        (member, zone) -> byMember.put(member, new LeaseDelegate(zone, now + this.grantS)));
  }

  /** Takes a request; true if the member is a lease delegate, which has a grant from now on. */
  boolean grant(GrantRequest request, double now) {
    LeaseDelegate delegate = byMember.get(request.member());
    if (delegate == null) {
      return false;
    }
    if (!request.process().equals(delegate.process)) {
      delegate.process = request.process();
      delegate.grantedNumber = 0;
    }
    delegate.grantedNumber = Math.max(delegate.grantedNumber, request.number());
    delegate.grantedUntil = Math.max(delegate.grantedUntil, now + grantS);
    delegate.aloneAt = Math.max(delegate.aloneAt, now - request.aloneS());
    if (request.grantTerm() == term) {
      delegate.heardAt = Math.max(delegate.heardAt, request.lastHeardAt());
    }
    return true;
  }

  /** Withdraws the member's grants, unless it was granted one since, which may be in effect. */
  void release(GrantRelease release, double now) {
    LeaseDelegate delegate = byMember.get(release.member());
    if (delegate != null
        && release.grantTerm() == term
        && release.process().equals(delegate.process)
        && delegate.grantedNumber <= release.number()) {
      delegate.aloneAt = Math.max(delegate.aloneAt, now - release.aloneS());
      delegate.grantedUntil = Double.NEGATIVE_INFINITY;
    }
  }

  /** No lease in the zone, null for any, was renewed by a lease delegate later than this. */
  double renewedUntil(String zone, double now) {
    double last = Double.NEGATIVE_INFINITY;
    for (LeaseDelegate delegate : byMember.values()) {
      if (zone == null || zone.equals(delegate.zone)) {
        last = Math.max(last, delegate.aloneAt);
        if (delegate.maybeAlone(now)) {
          last = Math.max(last, Math.min(now, delegate.grantedUntil));
        }
      }
    }
    return last;
  }

  /** True if leases in the zone may go on since a lease delegate answered its workers by itself. */
  boolean mayRenew(String zone, double now) {
    for (LeaseDelegate delegate : byMember.values()) {
      if (delegate.zone.equals(zone)
          && delegate.maybeAlone(now)
          && now < delegate.grantedUntil + leaseS) {
        return true;
      }
    }
    return false;
  }
}
