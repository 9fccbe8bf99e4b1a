package graderelay.core;

import java.util.ArrayList;

/**
 * Ends the claims on lost machines. No heartbeat is needed to prove that their attempts have ended:
 * either the worker's lease has expired, so that the worker has stopped its tasks, or the cloud has
 * reported that the machine is gone.
 */
final class LostMachineHandler {
  private final ClusterState cluster;
  private final StoredRecords records;

  LostMachineHandler(ClusterState cluster, StoredRecords records) {
    this.cluster = cluster;
    this.records = records;
  }

  /**
   * Ends the claims on machines whose lease has expired. A worker's lease starts at this leader's
   * last response, or at the failover if only earlier leaders have responded to it.
   */
  void expireLeases(double now) {
    double leaseS =
        cluster.policy.leaseS() * (1 + LeaseTiming.MAX_CLOCK_DRIFT_RATIO)
            + LeaseTiming.LEASE_MARGIN_S;
    for (Machine machine : cluster.machines.values()) {
      if (!machine.heartbeatReceived && machine.claims.isEmpty()) {
        continue;
      }
      if (now <= lastRenewalAt(machine) + leaseS) {
        continue;
      }
      // A lease delegate of its zone may have renewed the lease since.
      if (now <= cluster.delegates.latestRenewalAt(machine.zone, now) + leaseS) {
        continue;
      }
      if (!machine.leaseExpired) {
        machine.leaseExpired = true;
        cluster.log(
            "the lease of " + machine.name + " has expired, " + machine.claims.size() + " claims");
      }
      // This includes claims committed after the expiry: nothing is launched on such a machine.
      for (Claim claim : new ArrayList<>(machine.claims.values())) {
        if (claim.phase == Claim.Phase.COMMITTED) {
          records.endClaim(claim, false, now);
        }
      }
    }
  }

  /** The latest time at which this or an earlier leader can have renewed the lease. */
  private double lastRenewalAt(Machine machine) {
    return Math.max(
        Math.max(machine.lastResponseAt, machine.sessionFirstSeenAt), cluster.leaderSince);
  }

  /** Ends the claims on a machine that the cloud has reported as gone, for the given reason. */
  void onMachineGone(Machine machine, String reason, double now) {
    for (Claim claim : new ArrayList<>(machine.claims.values())) {
      if (claim.phase == Claim.Phase.COMMITTED) {
        cluster.log(
            claim.taskId()
                + " attempt "
                + claim.attempt
                + " ended on "
                + machine.name
                + ": "
                + reason);
        records.endClaim(claim, false, now);
      }
    }
  }
}
