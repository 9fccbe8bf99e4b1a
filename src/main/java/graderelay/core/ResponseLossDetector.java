package graderelay.core;

import java.util.Map;

/**
 * Detects machines whose heartbeats arrive while the responses to them are lost. A heartbeat alone
 * does not prove that responses reach its worker: they may be lost, and the heartbeat may be a
 * delayed duplicate. The time between two heartbeats does not prove it either, because the
 * deployment chooses it and it may be as long as a worker's response timeout. The behavior of the
 * worker does: it stays with a controller whose response it received, and switches to the next
 * controller if it received none.
 */
final class ResponseLossDetector {
  private final ClusterState cluster;

  ResponseLossDetector(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Decides from a machine's next heartbeat whether the response to its previous one arrived.
   * {@code machine} still holds the state of the previous heartbeat.
   */
  void check(Machine machine, Heartbeat heartbeat, HeartbeatOrigin origin, double now) {
    String evidence =
        origin.workerInitiated() && machine.respondedToLastHeartbeat
            ? findLossEvidence(machine, heartbeat, origin, now)
            : null;
    if (evidence == null && receivedResponse(machine, heartbeat, origin)) {
      if (machine.responsesLostSince != null) {
        cluster.log("machine " + machine.name + " receives heartbeat responses again");
      }
      machine.responsesLostSince = null;
    } else if (evidence != null && machine.responsesLostSince == null) {
      machine.responsesLostSince = now;
      cluster.log("machine " + machine.name + " does not receive heartbeat responses: " + evidence);
    }
  }

  /** Returns the evidence that the last response was lost, as text for the log, or null. */
  private String findLossEvidence(
      Machine machine, Heartbeat heartbeat, HeartbeatOrigin origin, double now) {
    boolean sameSession = heartbeat.session() == machine.session;
    if (isNextInSequence(machine, heartbeat)
        && !origin.controller().equals(machine.heartbeatController)) {
      return "it switched to another controller after the response";
    }
    if (sameSession && heartbeat.term() < cluster.electedTerm) {
      return "its term is lower than the term of the response";
    }
    if (sameSession && lacksLaunchedAttempt(machine, heartbeat)) {
      return "it does not list an attempt that a response launched";
    }
    if (heartbeat.session() > machine.session
        && leaseExpiredDespiteResponse(machine, heartbeat, now)) {
      return "its lease expired shortly after the response";
    }
    return null;
  }

  /**
   * True if a new session shows that the responses to the old session were lost. A single response
   * proves nothing, since it may have been sent when the lease had already expired, for example
   * after a failover.
   */
  private boolean leaseExpiredDespiteResponse(Machine machine, Heartbeat heartbeat, double now) {
    return now - machine.lastResponseAt < cluster.policy.leaseS() / 2
        && (heartbeat.term() >= cluster.electedTerm
            || machine.lastResponseAt - machine.firstResponseAt
                > cluster.policy.heartbeatIntervalS() / 2);
  }

  /** True if the heartbeat shows that a message from this leader has reached the worker. */
  private static boolean receivedResponse(
      Machine machine, Heartbeat heartbeat, HeartbeatOrigin origin) {
    return !origin.workerInitiated()
        || heartbeat.term() > machine.highestReportedTerm
        || (isNextInSequence(machine, heartbeat) && machine.respondedToLastHeartbeat);
  }

  /**
   * True if the worker sent no other heartbeat and no command response between the last one and
   * this one. After a gap it is unknown which responses the worker received.
   */
  private static boolean isNextInSequence(Machine machine, Heartbeat heartbeat) {
    return heartbeat.session() == machine.session
        && heartbeat.seq() == machine.lastHeartbeatSeq + 1;
  }

  /** True if an attempt launched in the response to an earlier heartbeat is missing in this one. */
  private static boolean lacksLaunchedAttempt(Machine machine, Heartbeat heartbeat) {
    Map<AttemptKey, Heartbeat.TaskStatus> statusByAttempt = null;
    for (Claim claim : machine.claims.values()) {
      if (claim.launchState == Claim.LaunchState.IN_RESPONSE
          && claim.phase == Claim.Phase.COMMITTED
          && claim.session == heartbeat.session()
          && heartbeat.seq() > claim.launchHeartbeatSeq) {
        statusByAttempt = statusByAttempt == null ? heartbeat.statusByAttempt() : statusByAttempt;
        if (!statusByAttempt.containsKey(AttemptKey.of(claim))) {
          return true;
        }
      }
    }
    return false;
  }
}
