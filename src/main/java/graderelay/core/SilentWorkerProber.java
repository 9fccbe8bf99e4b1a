package graderelay.core;

import java.util.List;

/**
 * Probes machines without recent heartbeats by sending them an empty list of commands. After a
 * failover the response shows at once which tasks run there, and the worker learns the new term and
 * looks for the new leader. Later, a missing response is a sign that the machine is gone.
 */
final class SilentWorkerProber {
  /** Heartbeat intervals without a heartbeat after which a machine is probed. */
  static final double PROBE_AFTER_INTERVALS = 1.6;

  /** Minimum seconds between two probes of one machine. */
  private static final double MIN_PROBE_INTERVAL_S = 1.2;

  private final ClusterState cluster;
  private final DirectCommandRateLimiter rateLimiter;

  SilentWorkerProber(ClusterState cluster, DirectCommandRateLimiter rateLimiter) {
    this.cluster = cluster;
    this.rateLimiter = rateLimiter;
  }

  /** Probes all machines that are due, within the rate of direct commands. */
  void probeDueMachines(double now) {
    // Machines with services first: replicas that may have died are only replaced after the probes.
    for (boolean withServices : new boolean[] {true, false}) {
      for (Machine machine : cluster.machines.values()) {
        if (hasServices(machine) == withServices && isDue(machine, now)) {
          sendProbe(machine, now);
        }
      }
    }
  }

  private static boolean hasServices(Machine machine) {
    return machine.serviceResources.cpus() > 0;
  }

  private boolean isDue(Machine machine, double now) {
    return machine.address != null
        && !machine.leaseExpired
        && !machine.scalingIn
        && (isUnseenSinceFailover(machine, now)
            || machine.responsesLostSince != null
            || isSilent(machine, now))
        && now - machine.lastProbeAt >= MIN_PROBE_INTERVAL_S;
  }

  /**
   * True if the machine has claims but has not sent this leader a heartbeat. Most machines send one
   * within a heartbeat interval after the failover.
   */
  private boolean isUnseenSinceFailover(Machine machine, double now) {
    return !machine.heartbeatReceived
        && !machine.claims.isEmpty()
        && now - cluster.leaderSince > cluster.policy.heartbeatIntervalS() / 2;
  }

  private boolean isSilent(Machine machine, double now) {
    return machine.heartbeatReceived
        && now - machine.lastHeartbeatAt
            > cluster.policy.heartbeatIntervalS() * PROBE_AFTER_INTERVALS;
  }

  private void sendProbe(Machine machine, double now) {
    double reserveShare =
        hasServices(machine)
            ? DirectCommandRateLimiter.SERVICE_RESERVE_SHARE
            : DirectCommandRateLimiter.COMMAND_RESERVE_SHARE;
    if (!rateLimiter.tryAcquire(now, reserveShare)) {
      return;
    }
    long session = machine.session;
    for (Claim claim : machine.claims.values()) {
      session = Math.max(session, claim.session);
    }
    machine.lastProbeAt = now;
    LaunchFencing.fenceBlockedStop(machine, cluster.term);
    cluster.actions.add(
        new Action.SendCommands(
            machine.name, machine.address, session, machine.commandTerm, List.of()));
  }
}
