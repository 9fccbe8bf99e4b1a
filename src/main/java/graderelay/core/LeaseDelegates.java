package graderelay.core;

import java.util.HashMap;
import java.util.Map;

/**
 * The controllers that may keep leases alive in a zone that is cut off, as the leader counts it. A
 * lease delegate answers its zone's workers by itself, without orders, only while it reaches
 * neither the leader nor the state service, and only for so long after the leader's last word.
 * Nothing is known of a lease delegate that is silent, so its zone's leases count as renewed until
 * its grant has run out; from one that speaks we know that it does not answer by itself.
 */
final class LeaseDelegates {
  /**
   * A lease delegate's question for a grant.
   *
   * @param self tells its process from earlier ones of the same member
   * @param n number of the question
   * @param of whose grant it has, 0 for none of ours
   * @param echo our time of the last grant that it has heard of
   * @param aloneS seconds since it last answered by itself, or since its process began
   */
  record Ask(String member, String self, long n, long of, double echo, double aloneS) {}

  private static final class LeaseDelegate {
    final String zone;
    String self = "";
    long granted;
    double grantedUntil;
    double echoAt = Double.NEGATIVE_INFINITY;
    double aloneAt = Double.NEGATIVE_INFINITY;

    LeaseDelegate(String zone, double grantedUntil) {
      this.zone = zone;
      this.grantedUntil = grantedUntil;
    }
  }

  private final Map<String, LeaseDelegate> all = new HashMap<>();
  private final long epoch;
  private final double lengthS;
  private final double leaseS;

  /** Earlier leaders granted until they lost the fleet at the latest, which was before now. */
  LeaseDelegates(Map<String, String> zones, long epoch, double grantS, double leaseS, double now) {
    this.epoch = epoch;
    this.lengthS = grantS * (1 + LeaseTiming.DRIFT);
    this.leaseS = leaseS;
    zones.forEach((m, z) -> all.put(m, new LeaseDelegate(z, now + lengthS)));
  }

  /** True if the member is one; it has a grant from now on. */
  boolean ask(Ask a, double now) {
    LeaseDelegate d = all.get(a.member());
    if (d == null) {
      return false;
    }
    if (!a.self().equals(d.self)) {
      d.self = a.self();
      d.granted = 0;
    }
    d.granted = Math.max(d.granted, a.n());
    d.grantedUntil = Math.max(d.grantedUntil, now + lengthS);
    d.aloneAt = Math.max(d.aloneAt, now - a.aloneS());
    if (a.of() == epoch) {
      d.echoAt = Math.max(d.echoAt, a.echo());
    }
    return true;
  }

  /**
   * A lease delegate that reaches the state service but not us has given its grants back, up to
   * that of its question {@code n}. One that was granted since may hold.
   */
  void free(String member, String self, long n, long of, double aloneS, double now) {
    LeaseDelegate d = all.get(member);
    if (d != null && of == epoch && self.equals(d.self) && d.granted <= n) {
      d.aloneAt = Math.max(d.aloneAt, now - aloneS);
      d.grantedUntil = Double.NEGATIVE_INFINITY;
    }
  }

  /** No lease in the zone was renewed by a lease delegate later than this. */
  double renewedUntil(String zone, double now) {
    double last = Double.NEGATIVE_INFINITY;
    for (LeaseDelegate d : all.values()) {
      if (zone == null || zone.equals(d.zone)) {
        last = Math.max(last, d.aloneAt);
        if (silent(d, now)) {
          last = Math.max(last, Math.min(now, d.grantedUntil));
        }
      }
    }
    return last;
  }

  /** True if leases in the zone may go on since a lease delegate answered its workers by itself. */
  boolean mayKeep(String zone, double now) {
    for (LeaseDelegate d : all.values()) {
      if (d.zone.equals(zone) && silent(d, now) && now < d.grantedUntil + leaseS) {
        return true;
      }
    }
    return false;
  }

  private static boolean silent(LeaseDelegate d, double now) {
    return now > d.echoAt + LeaseTiming.DELEGATE_ALONE_S * (1 - LeaseTiming.DRIFT);
  }
}
