package graderelay.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Decides which machines to scale in and why: failed, silent, faulty, idle and consolidated
 * machines. A deletion request without a response is repeated.
 */
final class ScaleInPlanner {
  /**
   * Number of heartbeat intervals without contact after which a machine with services is replaced.
   * The period must exceed the 4 s timeout and 1 s pause that a worker needs to switch to another
   * controller when its own hangs.
   */
  private static final double UNREACHABLE_AFTER_HEARTBEAT_INTERVALS = 3.2;

  /** Consecutive probes without a response that are also required. */
  private static final int UNREACHABLE_AFTER_PROBE_FAILURES = 2;

  /**
   * Largest share of on-demand machines that may be silent for this replacement. If more are
   * silent, a network fault is the more likely cause.
   */
  private static final double MAX_SILENT_SHARE = 0.15;

  /** Seconds for which a machine replaced in this way still counts as silent. */
  private static final double REPLACED_RETENTION_S = 30;

  /**
   * Seconds after a failover during which no machine is scaled in as idle or consolidated, since
   * demand is not known yet.
   */
  static final double FAILOVER_SETTLE_S = 30;

  /**
   * Seconds for which a silent machine is kept after its lease has expired, so that short network
   * partitions can heal.
   */
  private static final double SILENT_GRACE_PERIOD_S = 30;

  /** Maximum number of machines in one deletion request; a limit of the protocol. */
  private static final int MAX_MACHINES_PER_REQUEST = 100;

  /** Seconds after which a deletion request without a response is repeated. */
  private static final double SCALE_IN_RETRY_INTERVAL_S = 4;

  /** Why a machine is scaled in; the text is printed in the log. */
  private enum Reason {
    FAILED("the cloud lists it as failed"),
    UNREACHABLE("unreachable, and its services must be replaced"),
    BOOT_TIMED_OUT("it did not boot in time"),
    SILENT_TOO_LONG("no heartbeat for too long"),
    RESPONSES_LOST("it sends heartbeats but does not receive responses"),
    FAILED_SEVERAL_JOBS("tasks of several jobs failed on it"),
    CONSOLIDATED("consolidated onto cheaper machines"),
    IDLE("idle");

    private final String text;

    Reason(String text) {
      this.text = text;
    }
  }

  private final ClusterState cluster;
  private final BootTimes bootTimes;
  private final double startedAt;

  /**
   * When unreachable machines were scaled in to replace their services, in seconds on the leader's
   * clock.
   */
  private final List<Double> replacedAt = new ArrayList<>();

  private SilentMachineCounts lastSilentCounts = new SilentMachineCounts(Double.NEGATIVE_INFINITY);

  ScaleInPlanner(ClusterState cluster, BootTimes bootTimes, double startedAt) {
    this.cluster = cluster;
    this.bootTimes = bootTimes;
    this.startedAt = startedAt;
  }

  /**
   * Requests the deletion of machines that should be scaled in.
   *
   * @param machinesToKeep machines that the plan needs, which stay even if they are idle
   */
  void scaleIn(Set<Machine> machinesToKeep, double now) {
    List<String> toScaleIn = new ArrayList<>();
    for (Machine machine : cluster.machines.values()) {
      if (toScaleIn.size() >= MAX_MACHINES_PER_REQUEST) {
        break;
      }
      if (machine.scalingIn) {
        if (now - machine.scaleInRequestedAt > SCALE_IN_RETRY_INTERVAL_S) {
          machine.scaleInRequestedAt = now;
          toScaleIn.add(machine.name);
        }
        continue;
      }
      Reason reason = reason(machine, machinesToKeep, now);
      if (reason != null) {
        machine.scalingIn = true;
        machine.scaleInRequestedAt = now;
        toScaleIn.add(machine.name);
        cluster.log("scaling in machine " + machine.name + ": " + reason.text);
      }
    }
    if (!toScaleIn.isEmpty()) {
      cluster.actions.add(new Action.ScaleIn(toScaleIn));
    }
  }

  /**
   * True if a silent machine should be scaled in before its lease expires. Its services would be
   * down until then, while the cloud's confirmation of a deletion proves at once that they are
   * gone. This applies only while few machines are silent, since otherwise the leader's own network
   * may be at fault.
   */
  private boolean shouldReplaceBeforeLeaseExpiry(Machine machine, double now) {
    // A machine that receives no responses loses its lease, and with it its services, even though
    // its heartbeats arrive.
    double lastReachableAt =
        machine.responsesLostSince != null ? machine.responsesLostSince : machine.lastHeartbeatAt;
    double unreachableSince = Math.max(lastReachableAt, startedAt);
    if (machine.leaseExpired
        || machine.consecutiveProbeFailures < UNREACHABLE_AFTER_PROBE_FAILURES
        || now - unreachableSince
            < cluster.policy.heartbeatIntervalS() * UNREACHABLE_AFTER_HEARTBEAT_INTERVALS
        || machine.claims.values().stream().noneMatch(claim -> claim.job.spec.isService())) {
      return false;
    }
    replacedAt.removeIf(at -> now - at > REPLACED_RETENTION_S);
    SilentMachineCounts silentCounts = countSilentMachines(now);
    if (silentCounts.isMajoritySilent(machine.zone)
        && cluster.delegates.mayRenew(machine.zone, now)) {
      return false; // The zone is partitioned, and its lease delegate keeps the services running.
    }
    return silentCounts.silent + replacedAt.size()
        <= Math.max(1, silentCounts.total * MAX_SILENT_SHARE);
  }

  /** Counts the silent on-demand machines, once per plan. */
  private SilentMachineCounts countSilentMachines(double now) {
    if (lastSilentCounts.countedAt == now) {
      return lastSilentCounts;
    }
    SilentMachineCounts counts = new SilentMachineCounts(now);
    for (Machine other : cluster.machines.values()) {
      if (!other.leaseExpired
          && !other.spot
          && (other.heartbeatReceived || !other.claims.isEmpty())) {
        // Also counts machines not probed yet, since probing hundreds of machines takes a while.
        boolean silent =
            other.consecutiveProbeFailures > 0
                || now - Math.max(other.lastHeartbeatAt, startedAt)
                    > cluster.policy.heartbeatIntervalS()
                        * SilentWorkerProber.PROBE_AFTER_INTERVALS;
        counts.add(other.zone, silent);
      }
    }
    lastSilentCounts = counts;
    return counts;
  }

  /** Why a machine should be scaled in, or null if it should stay. */
  private Reason reason(Machine machine, Set<Machine> machinesToKeep, double now) {
    if (machine.failed) {
      return Reason.FAILED;
    }
    if (shouldReplaceBeforeLeaseExpiry(machine, now)) {
      replacedAt.add(now);
      return Reason.UNREACHABLE;
    }
    if (!machine.heartbeatReceived) {
      return bootTimedOut(machine, now) ? Reason.BOOT_TIMED_OUT : null;
    }
    if (machine.leaseExpired) {
      double silentS = now - machine.lastHeartbeatAt;
      return silentS > cluster.policy.leaseS() + SILENT_GRACE_PERIOD_S
          ? Reason.SILENT_TOO_LONG
          : null;
    }
    if (!machine.claims.isEmpty()
        || (machine.lastHeartbeat != null && !machine.lastHeartbeat.tasks().isEmpty())) {
      return null;
    }
    return emptyMachineReason(machine, machinesToKeep, now);
  }

  /** True if the machine has exceeded the boot timeout of its type. */
  private boolean bootTimedOut(Machine machine, double now) {
    MachineType type = machine.type == null ? null : cluster.machineTypes.get(machine.type);
    if (type == null || !machine.claims.isEmpty()) {
      return false;
    }
    double bootTimeoutS = bootTimes.bootTimeoutS(machine.type);
    return now - machine.requestedAt > bootTimeoutS && now - machine.firstSeenAt > bootTimeoutS / 2;
  }

  /** Why a running machine without tasks should be scaled in, or null if it should stay. */
  private Reason emptyMachineReason(Machine machine, Set<Machine> machinesToKeep, double now) {
    if (machine.responsesLostSince != null
        && now - machine.responsesLostSince > SILENT_GRACE_PERIOD_S) {
      return Reason.RESPONSES_LOST;
    }
    if (machine.faulty) {
      return Reason.FAILED_SEVERAL_JOBS;
    }
    if (machinesToKeep.contains(machine) || machine.cordoned) {
      return null;
    }
    if (now - startedAt < FAILOVER_SETTLE_S) {
      return null;
    }
    if (machine.consolidating) {
      return Reason.CONSOLIDATED;
    }
    double idleS = cluster.policy.tuning().idleS();
    return now - machine.idleSince > idleS && now - machine.firstSeenAt > idleS
        ? Reason.IDLE
        : null;
  }
}
