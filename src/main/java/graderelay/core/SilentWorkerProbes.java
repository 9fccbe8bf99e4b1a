package graderelay.core;

import java.util.List;

/**
 * Probes machines that the leader has not heard of by sending them an empty list of commands. After
 * a failover the answer shows at once what runs there, and the worker learns our term and looks for
 * us; later, no answer to it is a sign that the machine is gone.
 */
final class SilentWorkerProbes {
  /** Heartbeat intervals without a heartbeat after which a machine is probed. */
  static final double SILENT_INTERVALS = 1.6;

  /** Seconds between probes of one machine. */
  private static final double INTERVAL_S = 1.2;

  private final ClusterState cluster;
  private final DirectCommandRate rate;

  SilentWorkerProbes(ClusterState cluster, DirectCommandRate rate) {
    this.cluster = cluster;
    this.rate = rate;
  }

  /** Probes all machines that are due, as far as the rate of direct commands allows. */
  void probe(double now) {
    // Those with services first: their replicas are down until we know.
    for (boolean services : new boolean[] {true, false}) {
      for (Machine machine : cluster.machines.values()) {
        if (hasServices(machine) == services && isDue(machine, now)) {
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
        && (isUnheard(machine, now) || machine.responsesLostSince != null || isSilent(machine, now))
        && now - machine.lastProbeAt >= INTERVAL_S;
  }

  /**
   * True if the machine has claims of an earlier leader and has not sent this one a heartbeat. Most
   * send a heartbeat within an interval of the failover.
   */
  private boolean isUnheard(Machine machine, double now) {
    return !machine.heartbeatReceived
        && !machine.claims.isEmpty()
        && now - cluster.leaderSince > cluster.policy.heartbeatIntervalS() / 2;
  }

  private boolean isSilent(Machine machine, double now) {
    return machine.heartbeatReceived
        && now - machine.lastHeartbeatAt > cluster.policy.heartbeatIntervalS() * SILENT_INTERVALS;
  }

  private void sendProbe(Machine machine, double now) {
    double reserve =
        hasServices(machine)
            ? DirectCommandRate.RESERVE_FOR_SERVICES
            : DirectCommandRate.RESERVE_FOR_COMMANDS;
    if (!rate.tryAcquire(now, reserve)) {
      return;
    }
    long session = machine.session;
    for (Claim claim : machine.claims.values()) {
      session = Math.max(session, claim.session);
    }
    machine.lastProbeAt = now;
    cluster.actions.add(
        new Action.SendCommands(machine.name, machine.address, session, cluster.term, List.of()));
  }
}
