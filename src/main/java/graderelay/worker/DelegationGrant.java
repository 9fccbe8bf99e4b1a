package graderelay.worker;

import graderelay.net.Loop;
import graderelay.wire.PeerResponse;

/**
 * The delegation grant that allows this controller to renew worker leases on the leader's behalf,
 * and its expiry. Times are in seconds on the event loop's monotonic clock unless stated otherwise.
 * Used on the event loop only.
 */
final class DelegationGrant {
  private final Loop loop;
  private final double durationS;

  private long term;

  /** The term of the leader that issued the grant, or 0 if this controller issued it as leader. */
  private long grantingTerm;

  /** When the leader issued the latest grant received here, on the leader's clock. */
  private double leaderGrantTime;

  private double validUntil = Double.NEGATIVE_INFINITY;
  private double lastLeaderContact;
  private double lastAutonomousResponse;

  /**
   * Creates a grant that is invalid until the leader, or this controller as leader, issues one.
   *
   * @param durationS seconds for which a grant is valid, counted from the time of the request for
   *     it
   */
  DelegationGrant(Loop loop, double durationS) {
    this.loop = loop;
    this.durationS = durationS;
    // An earlier process of this member may have answered workers until it ended.
    this.lastAutonomousResponse = loop.now();
    this.lastLeaderContact = loop.now();
  }

  /** The term to send in responses to workers. */
  long term() {
    return term;
  }

  /** The term of the leader that issued the grant, or 0 for none. */
  long grantingTerm() {
    return grantingTerm;
  }

  /** When the leader issued the latest grant received here, in seconds on the leader's clock. */
  double leaderGrantTime() {
    return leaderGrantTime;
  }

  /** True if the grant is valid at time {@code now}. */
  boolean isValidAt(double now) {
    return now < validUntil;
  }

  /** Seconds at time {@code now} since the last grant from the leader arrived. */
  double sinceLeaderContact(double now) {
    return now - lastLeaderContact;
  }

  /** When the last grant from the leader arrived, in seconds. */
  double lastLeaderContact() {
    return lastLeaderContact;
  }

  /**
   * Seconds at time {@code now} since this controller last answered a worker as a lease delegate.
   */
  double sinceAutonomousResponse(double now) {
    return now - lastAutonomousResponse;
  }

  /** Records that this controller answers a worker without the leader at time {@code now}. */
  void onAutonomousResponse(double now) {
    lastAutonomousResponse = now;
  }

  /**
   * Issues the grant that a leader holds itself. If it loses leadership, the grant stays valid for
   * as long as the next leader assumes from the time of its failover.
   */
  void grantToSelf(long leaderTerm, double now) {
    term = leaderTerm;
    grantingTerm = 0;
    validUntil = now + durationS;
    lastLeaderContact = now;
  }

  /** Accepts a leader's grant, which is valid from the time of its request, {@code requestedAt}. */
  void accept(PeerResponse.Grant grant, double requestedAt) {
    boolean sameLeader = grantingTerm == grant.grantorTerm();
    term = grant.term();
    grantingTerm = grant.grantorTerm();
    leaderGrantTime =
        sameLeader ? Math.max(leaderGrantTime, grant.leaderTime()) : grant.leaderTime();
    validUntil =
        sameLeader ? Math.max(validUntil, requestedAt + durationS) : requestedAt + durationS;
    lastLeaderContact = loop.now();
  }

  /** Invalidates the grant, but keeps the term of the leader that issued it. */
  void revoke() {
    validUntil = Double.NEGATIVE_INFINITY;
  }
}
