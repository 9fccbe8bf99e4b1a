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
  static boolean isAvailable(ClusterState cluster, Machine m, double now) {
    return m.heartbeatReceived
        && !m.leaseExpired
        && m.answersLostSince == null
        && m.lastSeenTerm >= cluster.firstTerm
        && !m.drain
        && !m.cordoned
        && !m.scalingIn
        && m.interruptionAt == null
        && now >= m.quarantineUntil
        && m.capacity.cpus() > 0
        && secondsSilent(m, now) < silentAfter(cluster);
  }

  /** True if the machine has sent no heartbeat for longer than a little more than two intervals. */
  static boolean isSilent(ClusterState cluster, Machine m, double now) {
    return secondsSilent(m, now) > silentAfter(cluster);
  }

  private static double secondsSilent(Machine m, double now) {
    return now - m.lastHeartbeatAt;
  }

  private static double silentAfter(ClusterState cluster) {
    return cluster.policy.heartbeatIntervalS() * SILENT_AFTER_INTERVALS;
  }
}
