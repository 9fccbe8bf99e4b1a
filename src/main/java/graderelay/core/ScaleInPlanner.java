package graderelay.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Scale-in decisions: which machines to give up, and why. Failed, silent, idle and closing machines
 * go; a request that got no answer is sent again.
 */
final class ScaleInPlanner {
  /**
   * Heartbeat intervals without any sign after which a machine with services is scaled in. A worker
   * whose controller hangs needs one timeout of 4 s and a pause of 1 s to find another.
   */
  private static final double GONE_HEARTBEATS = 3.2;

  /** Probes in a row without an answer that this takes as well. */
  private static final int GONE_PROBES = 2;

  /**
   * Share of the on-demand machines that may be silent at most: more points to a fault of the
   * network.
   */
  private static final double MOST_SILENT_SHARE = 0.15;

  /** Seconds for which machines scaled in this way count as silent. */
  private static final double REPLACED_MEMORY_S = 30;

  /** Seconds after a failover in which no machine is called idle: demand is not known yet. */
  static final double FAILOVER_SETTLE_S = 30;

  /** Seconds that a silent machine is kept after its lease expiry: short network cuts heal. */
  private static final double SILENT_KEEP_S = 30;

  /** Machines in one deletion request, a batch; a limit of the protocol. */
  private static final int MOST_SCALED_IN = 100;

  /** Seconds before a deletion without an answer is sent again. */
  private static final double SCALE_IN_RETRY_S = 4;

  /** Why a machine is scaled in; the text goes into the log line. */
  private enum Reason {
    FAILED("it has failed"),
    GONE("no sign of it, and services wait to be replaced"),
    NEVER_CAME_UP("it never came up"),
    SILENT_TOO_LONG("silent for too long"),
    DEAF("it sends heartbeats but hears nothing"),
    FAILED_SEVERAL_JOBS("tasks of several jobs failed on it"),
    CONSOLIDATED("its work went to cheaper machines"),
    IDLE("idle");

    private final String text;

    Reason(String text) {
      this.text = text;
    }
  }

  private final ClusterState cluster;
  private final BootTimes boots;
  private final double startedAt;

  /** When machines were scaled in as better replaced, in seconds on the leader's clock. */
  private final List<Double> replacedAt = new ArrayList<>();

  private SilentMachines lastSilence = new SilentMachines(Double.NEGATIVE_INFINITY);

  ScaleInPlanner(ClusterState cluster, BootTimes boots, double startedAt) {
    this.cluster = cluster;
    this.boots = boots;
    this.startedAt = startedAt;
  }

  /**
   * Asks the cloud to delete the machines that should go.
   *
   * @param needed machines that stay although they are idle, since they hold spare room
   */
  void scaleIn(Set<Machine> needed, double now) {
    List<String> toScaleIn = new ArrayList<>();
    for (Machine machine : cluster.machines.values()) {
      if (toScaleIn.size() >= MOST_SCALED_IN) {
        break;
      }
      if (machine.scalingIn) {
        if (now - machine.scaleInRequestedAt > SCALE_IN_RETRY_S) {
          machine.scaleInRequestedAt = now;
          toScaleIn.add(machine.name);
        }
        continue;
      }
      Reason reason = reason(machine, needed, now);
      if (reason != null) {
        machine.scalingIn = true;
        machine.scaleInRequestedAt = now;
        toScaleIn.add(machine.name);
        cluster.log("scale in " + machine.name + ": " + reason.text);
      }
    }
    if (!toScaleIn.isEmpty()) {
      cluster.actions.add(new Action.ScaleIn(toScaleIn));
    }
  }

  /**
   * True for a silent machine that is better scaled in than waited for: its services would be down
   * until its lease expiry, while the cloud's answer to a deletion proves them gone at once. Only
   * if it is alone in this, since otherwise the fault may be the leader's network.
   */
  private boolean betterReplaced(Machine machine, double now) {
    // One whose heartbeats come but that hears nothing will lose its services all the same.
    double heard =
        machine.answersLostSince != null ? machine.answersLostSince : machine.lastHeartbeatAt;
    double lastHeard = Math.max(heard, startedAt);
    if (machine.leaseExpired
        || machine.failedProbes < GONE_PROBES
        || now - lastHeard < cluster.policy.heartbeatIntervalS() * GONE_HEARTBEATS
        || machine.claims.values().stream().noneMatch(claim -> claim.job.spec.isService())) {
      return false;
    }
    replacedAt.removeIf(at -> now - at > REPLACED_MEMORY_S);
    SilentMachines silence = silence(now);
    if (silence.mostOf(machine.zone) && cluster.delegates.mayRenew(machine.zone, now)) {
      return false; // The zone is cut off, and its lease delegate keeps its services up.
    }
    return silence.silent + replacedAt.size() <= Math.max(1, silence.up * MOST_SILENT_SHARE);
  }

  /** How many of the on-demand machines are silent, counted once a plan. */
  private SilentMachines silence(double now) {
    if (lastSilence.countedAt == now) {
      return lastSilence;
    }
    SilentMachines counted = new SilentMachines(now);
    for (Machine other : cluster.machines.values()) {
      if (!other.leaseExpired
          && !other.spot
          && (other.heartbeatReceived || !other.claims.isEmpty())) {
        // Not only those that were asked already: of hundreds, the first ones are asked first.
        boolean silent =
            other.failedProbes > 0
                || now - Math.max(other.lastHeartbeatAt, startedAt)
                    > cluster.policy.heartbeatIntervalS()
                        * SilentWorkerProber.PROBE_AFTER_INTERVALS;
        counted.count(other.zone, silent);
      }
    }
    lastSilence = counted;
    return counted;
  }

  /** Why a machine should be scaled in, or null. */
  private Reason reason(Machine machine, Set<Machine> needed, double now) {
    if (machine.failed) {
      return Reason.FAILED;
    }
    if (betterReplaced(machine, now)) {
      replacedAt.add(now);
      return Reason.GONE;
    }
    if (!machine.heartbeatReceived) {
      return neverCameUp(machine, now) ? Reason.NEVER_CAME_UP : null;
    }
    if (machine.leaseExpired) {
      double silentS = now - machine.lastHeartbeatAt;
      return silentS > cluster.policy.leaseS() + SILENT_KEEP_S ? Reason.SILENT_TOO_LONG : null;
    }
    if (!machine.claims.isEmpty()
        || (machine.lastHeartbeat != null && !machine.lastHeartbeat.tasks().isEmpty())) {
      return null;
    }
    return emptyMachineReason(machine, needed, now);
  }

  /** True if the machine has had longer to boot than others of its type need. */
  private boolean neverCameUp(Machine machine, double now) {
    MachineType type = machine.type == null ? null : cluster.types.get(machine.type);
    if (type == null || !machine.claims.isEmpty()) {
      return false;
    }
    double bootLimitS = boots.limitS(machine.type);
    return now - machine.requestedAt > bootLimitS && now - machine.knownSince > bootLimitS / 2;
  }

  /** Why a machine without work that has sent heartbeats should be scaled in, or null. */
  private Reason emptyMachineReason(Machine machine, Set<Machine> needed, double now) {
    if (machine.answersLostSince != null && now - machine.answersLostSince > SILENT_KEEP_S) {
      return Reason.DEAF;
    }
    if (machine.faulty) {
      return Reason.FAILED_SEVERAL_JOBS;
    }
    if (needed.contains(machine) || machine.cordoned) {
      return null;
    }
    if (now - startedAt < FAILOVER_SETTLE_S) {
      return null;
    }
    if (machine.consolidating) {
      return Reason.CONSOLIDATED;
    }
    double idleS = cluster.policy.tuning().idleS();
    return now - machine.idleSince > idleS && now - machine.knownSince > idleS ? Reason.IDLE : null;
  }
}
