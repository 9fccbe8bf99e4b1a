package graderelay.worker;

import graderelay.net.Loop;
import graderelay.wire.PeerResponse;

/**
 * What the leader has granted this controller as a lease delegate, and until when it counts. Times
 * are seconds on the loop's steady clock unless stated otherwise. Used on the event loop only.
 */
final class DelegationGrant {
  private final Loop loop;
  private final double lengthS;

  private long term;

  /** The term whose leader gave the grant, or 0 if this controller gave it to itself. */
  private long grantedBy;

  /** The leader's time of its last grant that we have heard of, on the leader's clock. */
  private double leaderTime;

  private double validUntil = Double.NEGATIVE_INFINITY;
  private double lastLeaderContact;
  private double lastAnsweredAlone;

  /**
   * Makes a grant that does not count before the leader, or this controller itself, gives one.
   *
   * @param lengthS seconds for which a grant counts from the moment at which it was asked for
   */
  DelegationGrant(Loop loop, double lengthS) {
    this.loop = loop;
    this.lengthS = lengthS;
    // An earlier process of this member may have answered until it ended.
    this.lastAnsweredAlone = loop.now();
    this.lastLeaderContact = loop.now();
  }

  /** The term under which workers may be answered. */
  long term() {
    return term;
  }

  /** The term whose leader gave the grant, or 0 for none. */
  long grantedBy() {
    return grantedBy;
  }

  /**
   * The leader's time of its last grant that we have heard of, in seconds on the leader's clock.
   */
  double leaderTime() {
    return leaderTime;
  }

  /** True if the grant counts at time {@code now}. */
  boolean isValidAt(double now) {
    return now < validUntil;
  }

  /** Seconds at time {@code now} since the leader was last heard. */
  double sinceLeaderContact(double now) {
    return now - lastLeaderContact;
  }

  /** The time at which the leader was last heard, in seconds. */
  double lastLeaderContact() {
    return lastLeaderContact;
  }

  /** Seconds at time {@code now} since this controller last answered a worker as a delegate. */
  double sinceAnsweredAlone(double now) {
    return now - lastAnsweredAlone;
  }

  /** Notes that a worker is answered at time {@code now}, without the leader. */
  void answeredAlone(double now) {
    lastAnsweredAlone = now;
  }

  /**
   * The grant that the leader itself has while it leads. Should it lose leadership, the next leader
   * counts as much from its own failover.
   */
  void grantToSelf(long leaderTerm, double now) {
    term = leaderTerm;
    grantedBy = 0;
    validUntil = now + lengthS;
    lastLeaderContact = now;
  }

  /** Takes a leader's grant, which counts from when it was asked for at {@code askedAt}. */
  void accept(PeerResponse.Grant grant, double askedAt) {
    boolean same = grantedBy == grant.grantorTerm();
    term = grant.term();
    grantedBy = grant.grantorTerm();
    leaderTime = same ? Math.max(leaderTime, grant.leaderTime()) : grant.leaderTime();
    validUntil = same ? Math.max(validUntil, askedAt + lengthS) : askedAt + lengthS;
    lastLeaderContact = loop.now();
  }

  /** Makes the grant count no more; who gave it stays known. */
  void revoke() {
    validUntil = Double.NEGATIVE_INFINITY;
  }
}
