package graderelay.core;

import graderelay.constants.Constants;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Scale-in decisions: which machines to hand back to the cloud, and why. Failed, silent, idle and
 * closed machines go; a request that got no answer is sent again.
 */
final class ScaleInPlanner {
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

  private final ClusterState world;
  private final BootTimes boots;
  private final double startedAt;
  private final List<Double> replacedAt = new ArrayList<>();
  private SilentMachines lastSilence = new SilentMachines(Double.NEGATIVE_INFINITY);

  ScaleInPlanner(ClusterState world, BootTimes boots, double startedAt) {
    this.world = world;
    this.boots = boots;
    this.startedAt = startedAt;
  }

  /** Asks the cloud to take back the machines that should go, except those that are needed. */
  void scaleIn(Set<Machine> needed, double now) {
    List<String> back = new ArrayList<>();
    for (Machine m : world.machines.values()) {
      if (back.size() >= Constants.MOST_RETURNED) {
        break;
      }
      if (m.returning) {
        if (now - m.returnAskedAt > Constants.RETURN_RETRY_S) {
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
        world.note("give back " + m.name + ": " + why.text);
      }
    }
    if (!back.isEmpty()) {
      world.out.add(new Action.GiveBack(back));
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
        || m.failedPokes < Constants.DEAD_POKES
        || now - heard < world.policy.reportS() * Constants.DEAD_REPORTS
        || m.claims.values().stream().noneMatch(c -> c.job.spec.isService())) {
      return false;
    }
    replacedAt.removeIf(t -> now - t > Constants.REPLACE_MEMORY_S);
    SilentMachines silence = silence(now);
    if (silence.mostOf(m.zone) && world.deputies.mayKeep(m.zone, now)) {
      return false; // The zone is cut off, and its lease delegate keeps its services up.
    }
    return silence.silent + replacedAt.size() <= Math.max(1, silence.up * Constants.ALONE_SHARE);
  }

  private SilentMachines silence(double now) {
    if (lastSilence.countedAt == now) {
      return lastSilence;
    }
    SilentMachines counted = new SilentMachines(now);
    for (Machine o : world.machines.values()) {
      if (!o.leaseOver && !o.spot && (o.reported || !o.claims.isEmpty())) {
        // Not only those that were asked already: of hundreds, the first ones are asked first.
        boolean quiet =
            o.failedPokes > 0
                || now - Math.max(o.lastReport, startedAt)
                    > world.policy.reportS() * Constants.POKE_REPORTS;
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
      return silent > world.policy.leaseS() + Constants.SILENT_KEEP_S
          ? Reason.SILENT_TOO_LONG
          : null;
    }
    if (!m.claims.isEmpty() || (m.last != null && !m.last.tasks().isEmpty())) {
      return null;
    }
    return emptyMachineReason(m, needed, now);
  }

  private boolean neverCameUp(Machine m, double now) {
    MachineType t = m.type == null ? null : world.types.get(m.type);
    if (t == null || !m.claims.isEmpty()) {
      return false;
    }
    double limit = boots.limit(m.type);
    return now - m.rentedAt > limit && now - m.knownSince > limit / 2;
  }

  /** Why a reported machine without work should be scaled in, or null. */
  private Reason emptyMachineReason(Machine m, Set<Machine> needed, double now) {
    if (m.deafSince != null && now - m.deafSince > Constants.SILENT_KEEP_S) {
      return Reason.DEAF;
    }
    if (m.bad) {
      return Reason.FAILED_SEVERAL_JOBS;
    }
    if (needed.contains(m) || m.cordoned) {
      return null;
    }
    if (now - startedAt < Constants.SETTLE_S) {
      return null;
    }
    if (m.closing) {
      return Reason.CONSOLIDATED;
    }
    double idle = world.policy.tuning().idleS();
    return now - m.idleSince > idle && now - m.knownSince > idle ? Reason.IDLE : null;
  }
}
