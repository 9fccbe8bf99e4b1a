package graderelay.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * How long machines take to boot at present, by type, in seconds. A machine that others of its type
 * have long overtaken will hardly come: work must not wait for it. When none comes, boots are slow
 * for all, and to scale in such machines and scale out others would only begin the wait anew.
 */
final class BootTimes {
  /** Times the nominal boot time in which a machine usually is up, with the grace period below. */
  private static final double USUAL_BOOT_FACTOR = 1.8;

  /** Seconds on top of that. */
  private static final double USUAL_BOOT_GRACE_S = 5;

  /** Seconds for which the time that a boot took is remembered: troubles last a few minutes. */
  private static final double BOOT_MEMORY_S = 180;

  /** Times the slowest boot of late that a machine may take and still be waited for. */
  private static final double SLOWER_BOOT_FACTOR = 1.25;

  /** Overdue machines of a type, with none that came up meanwhile, that show a trouble of all. */
  private static final int LEAST_STALLED_BOOTS = 3;

  /** Times longer that machines of such a type are kept: others would take as long. */
  private static final double STALLED_LIMIT_FACTOR = 4;

  /** Times the nominal boot time after which a machine is given up; some take several times. */
  private static final double BOOT_LIMIT_FACTOR = 3;

  /** Seconds on top of that. */
  private static final double BOOT_LIMIT_GRACE_S = 15;

  /**
   * A machine that came up.
   *
   * @param at when, in seconds on the leader's clock
   * @param took seconds since it was requested
   */
  private record Boot(String type, double at, double took) {}

  private final ClusterState cluster;
  private final double startedAt;
  private final Deque<Boot> recent = new ArrayDeque<>();

  /** Machine types of which no machine comes up at present, as of the last plan. */
  private Set<String> stalled = Set.of();

  /** When a machine of a type that stalls was last allowed, in seconds on the leader's clock. */
  private final Map<String, Double> lastAllowed = new HashMap<>();

  BootTimes(ClusterState cluster, double now) {
    this.cluster = cluster;
    this.startedAt = now;
  }

  /** The machine has sent its first heartbeat. */
  void up(Machine machine, double now) {
    recent.add(new Boot(machine.type, now, now - machine.requestedAt));
  }

  /** Works out which types stall; to be called before the questions of one plan. */
  void plan(double now) {
    recent.removeIf(boot -> boot.at() < now - BOOT_MEMORY_S);
    Map<String, Integer> overdueByType = new HashMap<>();
    for (Machine machine : cluster.machines.values()) {
      if (overdue(machine, now)) {
        overdueByType.merge(machine.type, 1, Integer::sum);
      }
    }
    Set<String> nowStalled = new HashSet<>();
    overdueByType.forEach(
        (type, count) -> {
          boolean longEnough = now - startedAt > usualS(type);
          if (longEnough && count >= LEAST_STALLED_BOOTS && !cameLately(type, now)) {
            nowStalled.add(type);
          }
        });
    stalled = nowStalled;
  }

  private boolean overdue(Machine machine, double now) {
    return !machine.heartbeatReceived
        && machine.booting
        && !machine.scalingIn
        && now - machine.requestedAt > usualS(machine.type);
  }

  /** True if a machine of the type came up within the time that one usually takes. */
  private boolean cameLately(String type, double now) {
    return recent.stream()
        .anyMatch(
            boot -> boot.type().equals(type) && boot.at() > now - usualS(type) && boot.took() > 0);
  }

  /** The longest nominal boot time of the machine types, in seconds; 0 without types. */
  static double slowestNominal(ClusterState cluster) {
    double slowestS = 0;
    for (MachineType type : cluster.types.values()) {
      slowestS = Math.max(slowestS, type.bootS());
    }
    return slowestS;
  }

  /** The boot time that the cloud states for the type, in seconds; 0 for an unknown type. */
  private double nominalS(String type) {
    MachineType machineType = cluster.types.get(type);
    return machineType == null ? 0 : machineType.bootS();
  }

  /** Seconds in which nearly all machines come up that are not slow. */
  private double usualS(String type) {
    return nominalS(type) * USUAL_BOOT_FACTOR + USUAL_BOOT_GRACE_S;
  }

  /** The longest boot of the type of late, in seconds; 0 if none came up. */
  private double slowestS(String type) {
    double slowestS = 0;
    for (Boot boot : recent) {
      slowestS = boot.type().equals(type) ? Math.max(slowestS, boot.took()) : slowestS;
    }
    return slowestS;
  }

  /** True if no machine of the type comes up at present. */
  boolean stalled(String type) {
    return stalled.contains(type);
  }

  /** True if the machine, which has sent no heartbeat yet, is likely to come soon. */
  boolean likely(Machine machine, double now) {
    double waited = now - machine.requestedAt;
    return !machine.booting
        || waited <= Math.max(usualS(machine.type), slowestS(machine.type) * SLOWER_BOOT_FACTOR)
        || stalled(machine.type);
  }

  /** Seconds after which a machine that has not come up is scaled in. */
  double limitS(String type) {
    double limitS = nominalS(type) * BOOT_LIMIT_FACTOR + BOOT_LIMIT_GRACE_S;
    limitS = Math.max(limitS, slowestS(type) * SLOWER_BOOT_FACTOR);
    return stalled(type) ? limitS * STALLED_LIMIT_FACTOR : limitS;
  }

  /** How many of the machines wanted may be requested now: of a type that stalls, one at a time. */
  int allowed(String type, int wanted, double now) {
    if (!stalled(type)) {
      return wanted;
    }
    if (now - lastAllowed.getOrDefault(type, Double.NEGATIVE_INFINITY) < nominalS(type)) {
      return 0;
    }
    lastAllowed.put(type, now);
    return Math.min(1, wanted);
  }
}
