package graderelay.core;

/** Determines which machines may be given new tasks. */
final class MachineAvailability {
  /**
   * Number of heartbeat intervals without a heartbeat after which a machine counts as silent. It is
   * given no new tasks, since the outcome of a launch sent there would be unknown.
   */
  private static final double SILENT_AFTER_HEARTBEAT_INTERVALS = 2.2;

  private MachineAvailability() {}

  /**
   * True if the machine can be given a task now: it sends heartbeats, it has reported this leader's
   * term, and no other condition excludes it. Without the check of the term, a delayed heartbeat
   * from before the failover would make a machine available.
   */
  static boolean isAvailable(ClusterState cluster, Machine machine, double now) {
    return machine.heartbeatReceived
        && !machine.leaseExpired
        && machine.responsesLostSince == null
        && machine.highestReportedTerm >= cluster.electedTerm
        && !machine.isOutOfUse(now)
        && !machine.cordoned
        && !machine.scalingIn
        && machine.interruptionAt == null
        && now >= machine.quarantineUntil
        && machine.capacity.cpus() > 0
        && secondsSinceHeartbeat(machine, now) < silentAfterS(cluster);
  }

  /**
   * True if no heartbeat was received for more than {@link #SILENT_AFTER_HEARTBEAT_INTERVALS}
   * intervals.
   */
  static boolean isSilent(ClusterState cluster, Machine machine, double now) {
    return secondsSinceHeartbeat(machine, now) > silentAfterS(cluster);
  }

  private static double secondsSinceHeartbeat(Machine machine, double now) {
    return now - machine.lastHeartbeatAt;
  }

  private static double silentAfterS(ClusterState cluster) {
    return cluster.policy.heartbeatIntervalS() * SILENT_AFTER_HEARTBEAT_INTERVALS;
  }
}
