package graderelay.core;

import java.util.Map;

/**
 * Detects machines whose heartbeats arrive while the answers to them are lost. A heartbeat alone
 * doesn't show that its worker hears us: the answers may be lost, and it may be a copy of the past.
 * Nor does the time between two heartbeats, which the deployment chooses and which may be as long
 * as a worker's wait for an answer. What its worker does shows it: one that took an answer stays
 * with that controller, and one that got none goes to the next.
 */
final class AnswerLossDetector {
  private final ClusterState cluster;

  AnswerLossDetector(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Judges by a machine's next heartbeat whether it got the answer to the one before, which {@code
   * machine} still describes.
   */
  void check(Machine machine, Heartbeat heartbeat, HeartbeatOrigin origin, double now) {
    String evidence =
        origin.checkIn() && machine.lastHeartbeatAnswered
            ? evidenceOfLoss(machine, heartbeat, origin, now)
            : null;
    if (evidence == null && tookAnswer(machine, heartbeat, origin)) {
      if (machine.responsesLostSince != null) {
        cluster.log("machine " + machine.name + " hears us again");
      }
      machine.responsesLostSince = null;
    } else if (evidence != null && machine.responsesLostSince == null) {
      machine.responsesLostSince = now;
      cluster.log("machine " + machine.name + " does not hear us: " + evidence);
    }
  }

  /** What shows that the answer to the last check-in was lost, for the log, or null. */
  private String evidenceOfLoss(
      Machine machine, Heartbeat heartbeat, HeartbeatOrigin origin, double now) {
    boolean sameSession = heartbeat.session() == machine.session;
    if (isNext(machine, heartbeat) && !origin.controller().equals(machine.heartbeatController)) {
      return "it went to another controller after our answer";
    }
    if (sameSession && heartbeat.term() < cluster.electedTerm) {
      return "it doesn't know the term of our answer";
    }
    if (sameSession && ignoresLaunch(machine, heartbeat)) {
      return "it doesn't show what our answer told it to start";
    }
    if (heartbeat.session() > machine.session
        && leaseExpiredDespiteAnswer(machine, heartbeat, now)) {
      return "its lease ran out although we had just answered";
    }
    return null;
  }

  /**
   * True if a new session shows that the answers to the old one were lost. A first answer alone may
   * have come when the lease was over already, as after a failover.
   */
  private boolean leaseExpiredDespiteAnswer(Machine machine, Heartbeat heartbeat, double now) {
    return now - machine.lastResponseAt < cluster.policy.leaseS() / 2
        && (heartbeat.term() >= cluster.electedTerm
            || machine.lastResponseAt - machine.firstResponseAt
                > cluster.policy.heartbeatIntervalS() / 2);
  }

  /** True if the heartbeat shows that something of ours has reached the worker. */
  private static boolean tookAnswer(Machine machine, Heartbeat heartbeat, HeartbeatOrigin origin) {
    return !origin.checkIn()
        || heartbeat.term() > machine.highestReportedTerm
        || (isNext(machine, heartbeat) && machine.lastHeartbeatAnswered);
  }

  /**
   * True if no other heartbeat and no answer to a command lies between this and the last one;
   * beyond that nothing is known of what the worker took.
   */
  private static boolean isNext(Machine machine, Heartbeat heartbeat) {
    return heartbeat.session() == machine.session
        && heartbeat.seq() == machine.lastHeartbeatSeq + 1;
  }

  /** True if a launch that went with the answer to an earlier heartbeat is not in this one. */
  private static boolean ignoresLaunch(Machine machine, Heartbeat heartbeat) {
    Map<AttemptKey, Heartbeat.Entry> shown = null;
    for (Claim claim : machine.claims.values()) {
      if (claim.launch == Claim.Launch.IN_RESPONSE
          && claim.phase == Claim.Phase.COMMITTED
          && claim.session == heartbeat.session()
          && heartbeat.seq() > claim.launchHeartbeatSeq) {
        shown = shown == null ? heartbeat.entriesByAttempt() : shown;
        if (!shown.containsKey(AttemptKey.of(claim))) {
          return true;
        }
      }
    }
    return false;
  }
}
