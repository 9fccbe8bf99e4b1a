package graderelay.core;

import java.util.ArrayList;

/**
 * Ends claims that are proven gone without a heartbeat of their worker: its lease has expired, so
 * that it has stopped its tasks, or the cloud says that the machine is gone.
 */
final class TerminationProofs {
  private final ClusterState cluster;
  private final StoredRecords records;

  TerminationProofs(ClusterState cluster, StoredRecords records) {
    this.cluster = cluster;
    this.records = records;
  }

  /**
   * Ends the claims on machines whose lease has expired. A worker's lease runs from our last
   * answer, or from the failover for those answered before it.
   */
  void expireLeases(double now) {
    double lease = cluster.policy.leaseS() * (1 + LeaseTiming.DRIFT) + LeaseTiming.LEASE_MARGIN_S;
    for (Machine machine : cluster.machines.values()) {
      if (!machine.heartbeatReceived && machine.claims.isEmpty()) {
        continue;
      }
      if (now <= lastRenewalAt(machine) + lease) {
        continue;
      }
      // A lease delegate of its zone may have answered it since.
      if (now <= cluster.delegates.renewedUntil(machine.zone, now) + lease) {
        continue;
      }
      if (!machine.leaseExpired) {
        machine.leaseExpired = true;
        cluster.log(
            "the lease of " + machine.name + " is over, " + machine.claims.size() + " claims");
      }
      // Also those that committed since: nothing is launched on a machine whose lease is over.
      for (Claim claim : new ArrayList<>(machine.claims.values())) {
        if (claim.phase == Claim.Phase.COMMITTED) {
          records.end(claim, false, now);
        }
      }
    }
  }

  /** The latest time at which this leader, or one before it, can have renewed the lease. */
  private double lastRenewalAt(Machine machine) {
    return Math.max(
        Math.max(machine.lastResponseAt, machine.sessionFirstSeenAt), cluster.leaderSince);
  }

  /** Ends the claims on a machine that the cloud says is gone, for the reason given. */
  void machineGone(Machine machine, String reason, double now) {
    for (Claim claim : new ArrayList<>(machine.claims.values())) {
      if (claim.phase == Claim.Phase.COMMITTED) {
        cluster.log(
            claim.taskId()
                + " attempt "
                + claim.attempt
                + " is gone with "
                + machine.name
                + ": "
                + reason);
        records.end(claim, false, now);
      }
    }
  }
}
