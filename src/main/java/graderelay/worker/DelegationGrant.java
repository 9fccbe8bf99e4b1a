package graderelay.worker;

import graderelay.net.Loop;
import graderelay.wire.PeerAnswer;

/**
 * What the leader has granted this controller as a lease delegate, and until when it counts. Times
 * are seconds on the loop's steady clock unless stated otherwise. Used on the event loop only.
 */
final class DelegationGrant {
  private final Loop loop;
  private final double durationS;

  private long term;

  /** The term whose leader gave the grant, or 0 if this controller gave it to itself. */
  private long grantingTerm;

  /** The leader's time of its last grant that we have heard of, on the leader's clock. */
  private double leaderGrantTime;

  private double validUntil = Double.NEGATIVE_INFINITY;
  private double lastLeaderContact;
  private double lastAutonomousResponse;

  /**
   * Makes a grant that does not count before the leader, or this controller itself, gives one.
   *
   * @param lengthS seconds for which a grant counts from the moment at which it was asked for
   */
  DelegationGrant(Loop loop, double durationS) {
    this.loop = loop;
    this.durationS = durationS;
    // An earlier process of this member may have answered until it ended.
    this.lastAutonomousResponse = loop.now();
    this.lastLeaderContact = loop.now();
  }

  /** The term under which workers may be answered. */
  long term() {
    return term;
  }

  /** The term whose leader gave the grant, or 0 for none. */
  long grantingTerm() {
    return grantingTerm;
  }

  /**
   * The leader's time of its last grant that we have heard of, in seconds on the leader's clock.
   */
  double leaderGrantTime() {
    return leaderGrantTime;
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
  double sinceAutonomousResponse(double now) {
    return now - lastAutonomousResponse;
  }

  /** Notes that a worker is answered at time {@code now}, without the leader. */
  void onAutonomousResponse(double now) {
    lastAutonomousResponse = now;
  }

  /**
   * The grant that the leader itself has while it leads. Should it lose leadership, the next leader
   * counts as much from its own failover.
   */
  void grantToSelf(long leaderTerm, double now) {
    term = leaderTerm;
    grantingTerm = 0;
    validUntil = now + durationS;
    lastLeaderContact = now;
  }

  /** Takes a leader's grant, which counts from when it was asked for at {@code askedAt}. */
  void accept(PeerAnswer.Grant grant, double requestedAt) {
    boolean sameLeader = grantingTerm == grant.grantedBy();
    term = grant.term();
    grantingTerm = grant.grantedBy();
    leaderGrantTime = sameLeader ? Math.max(leaderGrantTime, grant.at()) : grant.at();
    validUntil =
        sameLeader ? Math.max(validUntil, requestedAt + durationS) : requestedAt + durationS;
    lastLeaderContact = loop.now();
  }

  /** Makes the grant count no more; who gave it stays known. */
  void revoke() {
    validUntil = Double.NEGATIVE_INFINITY;
  }
}
