package graderelay.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Scale-in decisions: which machines to hand back to the cloud, and why. Failed, silent, idle and
 * closed machines go; a request that got no answer is sent again.
 */
final class ScaleInPlanner {
  /**
   * Report intervals without any sign after which a machine with services is given back. A worker
   * whose controller hangs needs one timeout of 4 s and a pause of 1 s to find another.
   */
  private static final double DEAD_REPORTS = 3.2;

  /** Questions in a row without an answer that this takes as well. */
  private static final int DEAD_POKES = 2;

  /**
   * Share of the ordinary machines that may be silent at most: more is a trouble of the network.
   */
  private static final double ALONE_SHARE = 0.15;

  /** Seconds for which machines given back in this way count as silent. */
  private static final double REPLACE_MEMORY_S = 30;

  /** Seconds after a takeover in which no machine is called idle: demand is not known yet. */
  static final double SETTLE_S = 30;

  /** Seconds that a silent machine is kept once its lease has run out: short cuts heal. */
  private static final double SILENT_KEEP_S = 30;

  /** Machines in one deletion request, a batch; a limit of the protocol. */
  private static final int MOST_RETURNED = 100;

  /** Seconds before a deletion without an answer is sent again. */
  private static final double RETURN_RETRY_S = 4;

  /** Why a machine is scaled in; the text goes into the log line. */
  private enum Reason {
    FAILED("it has failed"),
    GONE("no sign of it, and services wait to be replaced"),
    NEVER_CAME_UP("it never came up"),
    SILENT_TOO_LONG("silent for too long"),
    DEAF("it reports but hears nothing"),
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
  private final List<Double> replacedAt = new ArrayList<>();
  private SilentMachines lastSilence = new SilentMachines(Double.NEGATIVE_INFINITY);

  ScaleInPlanner(ClusterState cluster, BootTimes boots, double startedAt) {
    this.cluster = cluster;
    this.boots = boots;
    this.startedAt = startedAt;
  }

  /** Asks the cloud to take back the machines that should go, except those that are needed. */
  void scaleIn(Set<Machine> needed, double now) {
    List<String> back = new ArrayList<>();
    for (Machine m : cluster.machines.values()) {
      if (back.size() >= MOST_RETURNED) {
        break;
      }
      if (m.returning) {
        if (now - m.returnAskedAt > RETURN_RETRY_S) {
          m.returnAskedAt = now;
          back.add(m.name);
        }
        continue;
      }
      Reason why = reason(m, needed, now);
      if (why != null) {
        m.returning = true;
        m.returnAskedAt = now;
        back.add(m.name);
        cluster.note("give back " + m.name + ": " + why.text);
      }
    }
    if (!back.isEmpty()) {
      cluster.out.add(new Action.ScaleIn(back));
    }
  }

  /**
   * True for a silent machine that is better scaled in than waited for: its services would be down
   * until its lease expiry, while the cloud's answer to a deletion proves them gone at once. Only
   * if it is alone in this, since otherwise the trouble may be ours.
   */
  private boolean gone(Machine m, double now) {
    // One whose heartbeats come but that hears nothing will lose its services all the same.
    double heard = Math.max(m.deafSince != null ? m.deafSince : m.lastReport, startedAt);
    if (m.leaseOver
        || m.failedPokes < DEAD_POKES
        || now - heard < cluster.policy.heartbeatIntervalS() * DEAD_REPORTS
        || m.claims.values().stream().noneMatch(c -> c.job.spec.isService())) {
      return false;
    }
    replacedAt.removeIf(t -> now - t > REPLACE_MEMORY_S);
    SilentMachines silence = silence(now);
    if (silence.mostOf(m.zone) && cluster.delegates.mayKeep(m.zone, now)) {
      return false; // The zone is cut off, and its lease delegate keeps its services up.
    }
    return silence.silent + replacedAt.size() <= Math.max(1, silence.up * ALONE_SHARE);
  }

  private SilentMachines silence(double now) {
    if (lastSilence.countedAt == now) {
      return lastSilence;
    }
    SilentMachines counted = new SilentMachines(now);
    for (Machine o : cluster.machines.values()) {
      if (!o.leaseOver && !o.spot && (o.reported || !o.claims.isEmpty())) {
        // Not only those that were asked already: of hundreds, the first ones are asked first.
        boolean quiet =
            o.failedPokes > 0
                || now - Math.max(o.lastReport, startedAt)
                    > cluster.policy.heartbeatIntervalS() * WorkerCommands.POKE_REPORTS;
        counted.count(o.zone, quiet);
      }
    }
    lastSilence = counted;
    return counted;
  }

  /** Why a machine should be scaled in, or null. */
  private Reason reason(Machine m, Set<Machine> needed, double now) {
    if (m.failed) {
      return Reason.FAILED;
    }
    if (gone(m, now)) {
      replacedAt.add(now);
      return Reason.GONE;
    }
    if (!m.reported) {
      return neverCameUp(m, now) ? Reason.NEVER_CAME_UP : null;
    }
    if (m.leaseOver) {
      double silent = now - m.lastReport;
      return silent > cluster.policy.leaseS() + SILENT_KEEP_S ? Reason.SILENT_TOO_LONG : null;
    }
    if (!m.claims.isEmpty() || (m.last != null && !m.last.tasks().isEmpty())) {
      return null;
    }
    return emptyMachineReason(m, needed, now);
  }

  private boolean neverCameUp(Machine m, double now) {
    MachineType t = m.type == null ? null : cluster.types.get(m.type);
    if (t == null || !m.claims.isEmpty()) {
      return false;
    }
    double limit = boots.limit(m.type);
    return now - m.requestedAt > limit && now - m.knownSince > limit / 2;
  }

  /** Why a reported machine without work should be scaled in, or null. */
  private Reason emptyMachineReason(Machine m, Set<Machine> needed, double now) {
    if (m.deafSince != null && now - m.deafSince > SILENT_KEEP_S) {
      return Reason.DEAF;
    }
    if (m.bad) {
      return Reason.FAILED_SEVERAL_JOBS;
    }
    if (needed.contains(m) || m.cordoned) {
      return null;
    }
    if (now - startedAt < SETTLE_S) {
      return null;
    }
    if (m.closing) {
      return Reason.CONSOLIDATED;
    }
    double idle = cluster.policy.tuning().idleS();
    return now - m.idleSince > idle && now - m.knownSince > idle ? Reason.IDLE : null;
  }
}
