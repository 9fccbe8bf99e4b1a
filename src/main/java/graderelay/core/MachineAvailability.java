package graderelay.core;

/** Decides which machines may be given new tasks. */
final class MachineAvailability {
  /**
   * Heartbeat intervals without a heartbeat after which a machine is silent: it is no target for
   * new tasks, since the fate of a launch sent there would be unknown.
   */
  private static final double SILENT_AFTER_INTERVALS = 2.2;

  private MachineAvailability() {}

  /**
   * True if the machine can be given a task now: it sends heartbeats, it has shown that it hears
   * this leader (a copy of a heartbeat from before the failover can't), and nothing is known
   * against it.
   */
  static boolean isAvailable(ClusterState cluster, Machine machine, double now) {
    return machine.heartbeatReceived
        && !machine.leaseExpired
        && machine.answersLostSince == null
        && machine.lastSeenTerm >= cluster.firstTerm
        && !machine.drain
        && !machine.cordoned
        && !machine.scalingIn
        && machine.interruptionAt == null
        && now >= machine.quarantineUntil
        && machine.capacity.cpus() > 0
        && secondsSilent(machine, now) < silentAfter(cluster);
  }

  /** True if the machine has sent no heartbeat for longer than a little more than two intervals. */
  static boolean isSilent(ClusterState cluster, Machine machine, double now) {
    return secondsSilent(machine, now) > silentAfter(cluster);
  }

  private static double secondsSilent(Machine machine, double now) {
    return now - machine.lastHeartbeatAt;
  }

  private static double silentAfter(ClusterState cluster) {
    return cluster.policy.heartbeatIntervalS() * SILENT_AFTER_INTERVALS;
  }
}
