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
  /** Times the nominal boot time, and seconds on top, in which a machine usually is up. */
  private static final double USUAL_BOOTS = 1.8;

  private static final double USUAL_BOOT_S = 5;

  /** Seconds for which the time that a boot took is remembered: troubles last a few minutes. */
  private static final double BOOT_MEMORY_S = 180;

  /** Times the slowest boot of late that a machine may take and still be waited for. */
  private static final double SLOWER_BOOT = 1.25;

  /** Overdue machines of a type, with none that came up meanwhile, that show a trouble of all. */
  private static final int STALLED_BOOTS = 3;

  /** Times longer that machines of such a type are kept: others would take as long. */
  private static final double STALLED_TIMES = 4;

  /** Times the nominal boot time after which a machine is given up; some take several times. */
  private static final double BOOT_FACTOR = 3;

  /** Seconds on top of that. */
  private static final double BOOT_GRACE_S = 15;

  private record Boot(String type, double at, double took) {}

  private final ClusterState cluster;
  private final double startedAt;
  private final Deque<Boot> recent = new ArrayDeque<>();
  private Set<String> stalled = Set.of();
  private final Map<String, Double> lastTry = new HashMap<>();

  BootTimes(ClusterState cluster, double now) {
    this.cluster = cluster;
    this.startedAt = now;
  }

  /** The machine has sent its first heartbeat. */
  void up(Machine m, double now) {
    recent.add(new Boot(m.type, now, now - m.requestedAt));
  }

  /** Looks at what is booting; to be called before the questions of one plan. */
  void plan(double now) {
    recent.removeIf(b -> b.at() < now - BOOT_MEMORY_S);
    Map<String, Integer> overdue = new HashMap<>();
    for (Machine m : cluster.machines.values()) {
      if (!m.heartbeatReceived
          && m.booting
          && !m.scalingIn
          && now - m.requestedAt > usual(m.type)) {
        overdue.merge(m.type, 1, Integer::sum);
      }
    }
    Set<String> none = new HashSet<>();
    overdue.forEach(
        (type, n) -> {
          boolean longEnough = now - startedAt > usual(type);
          if (longEnough && n >= STALLED_BOOTS && !cameLately(type, now)) {
            none.add(type);
          }
        });
    stalled = none;
  }

  private boolean cameLately(String type, double now) {
    return recent.stream()
        .anyMatch(b -> b.type().equals(type) && b.at() > now - usual(type) && b.took() > 0);
  }

  /** The longest nominal boot time of the machine types, in seconds; 0 without types. */
  static double slowestNominal(ClusterState cluster) {
    double boot = 0;
    for (MachineType t : cluster.types.values()) {
      boot = Math.max(boot, t.bootS());
    }
    return boot;
  }

  private double nominal(String type) {
    MachineType t = cluster.types.get(type);
    return t == null ? 0 : t.bootS();
  }

  /** Seconds in which nearly all machines come up that are not slow. */
  private double usual(String type) {
    return nominal(type) * USUAL_BOOTS + USUAL_BOOT_S;
  }

  private double slowest(String type) {
    double slowest = 0;
    for (Boot b : recent) {
      slowest = b.type().equals(type) ? Math.max(slowest, b.took()) : slowest;
    }
    return slowest;
  }

  /** True if no machine of the type comes up at present. */
  boolean stalled(String type) {
    return stalled.contains(type);
  }

  /** True if the machine, which has sent no heartbeat yet, is likely to come soon. */
  boolean likely(Machine m, double now) {
    double age = now - m.requestedAt;
    return !m.booting
        || age <= Math.max(usual(m.type), slowest(m.type) * SLOWER_BOOT)
        || stalled(m.type);
  }

  /** Seconds after which a machine that has not come up is scaled in. */
  double limit(String type) {
    double limit = nominal(type) * BOOT_FACTOR + BOOT_GRACE_S;
    limit = Math.max(limit, slowest(type) * SLOWER_BOOT);
    return stalled(type) ? limit * STALLED_TIMES : limit;
  }

  /** How many of the machines wanted may be requested: of a type that stalls, one at a time. */
  int allowed(String type, int wanted, double now) {
    if (!stalled(type)) {
      return wanted;
    }
    if (now - lastTry.getOrDefault(type, Double.NEGATIVE_INFINITY) < nominal(type)) {
      return 0;
    }
    lastTry.put(type, now);
    return Math.min(1, wanted);
  }
}
