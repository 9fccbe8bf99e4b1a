package graderelay.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks recent boot times by machine type and detects late boots. A machine that takes much longer
 * than others of its type is unlikely to come up, so no work should be planned onto it. If no
 * machine of a type comes up, boots of that type are stalled; replacing those machines would only
 * restart the wait.
 */
final class BootTimes {
  /**
   * Multiple of the nominal boot time within which a machine usually comes up, before the grace
   * period {@link #USUAL_BOOT_GRACE_PERIOD_S}.
   */
  private static final double USUAL_BOOT_FACTOR = 1.8;

  /** Seconds added to that multiple. */
  private static final double USUAL_BOOT_GRACE_PERIOD_S = 5;

  /** Seconds for which a boot time sample is kept. Periods of slow boots last a few minutes. */
  private static final double BOOT_SAMPLE_RETENTION_S = 180;

  /** Multiple of the slowest recent boot that a machine may take before it counts as late. */
  private static final double LATE_BOOT_FACTOR = 1.25;

  /**
   * Number of overdue machines of a type at which its boots count as stalled, if none of the type
   * has come up meanwhile.
   */
  private static final int MIN_OVERDUE_BOOTS = 3;

  /** Factor on the boot timeout of a stalled type, since replacements would take as long. */
  private static final double STALLED_TIMEOUT_FACTOR = 4;

  /**
   * Multiple of the nominal boot time after which a boot times out; some boots take several times
   * the nominal time.
   */
  private static final double BOOT_TIMEOUT_FACTOR = 3;

  /** Seconds added to that multiple. */
  private static final double BOOT_TIMEOUT_GRACE_PERIOD_S = 15;

  /**
   * A completed boot.
   *
   * @param bootedAt when the machine came up, in seconds on the leader's clock
   * @param bootTimeS seconds from the request of the machine to its first heartbeat
   */
  private record Boot(String type, double bootedAt, double bootTimeS) {}

  private final ClusterState cluster;
  private final double startedAt;
  private final Deque<Boot> recentBoots = new ArrayDeque<>();

  /** Machine types whose boots are stalled, as of the last plan. */
  private Set<String> stalledTypes = Set.of();

  /** When a machine of a stalled type was last requested, in seconds on the leader's clock. */
  private final Map<String, Double> lastRequestedAt = new HashMap<>();

  BootTimes(ClusterState cluster, double now) {
    this.cluster = cluster;
    this.startedAt = now;
  }

  /** Records the boot time of a machine that has just sent its first heartbeat. */
  void recordBoot(Machine machine, double now) {
    recentBoots.add(new Boot(machine.type, now, now - machine.requestedAt));
  }

  /** Updates which types are stalled. Must be called at the start of each fleet plan. */
  void updateStalledTypes(double now) {
    recentBoots.removeIf(boot -> boot.bootedAt() < now - BOOT_SAMPLE_RETENTION_S);
    Map<String, Integer> overdueByType = new HashMap<>();
    for (Machine machine : cluster.machines.values()) {
      if (isOverdue(machine, now)) {
        overdueByType.merge(machine.type, 1, Integer::sum);
      }
    }
    Set<String> currentlyStalledTypes = new HashSet<>();
    overdueByType.forEach(
        (type, count) -> {
          boolean observedLongEnough = now - startedAt > usualBootS(type);
          if (observedLongEnough && count >= MIN_OVERDUE_BOOTS && !hasRecentBoot(type, now)) {
            currentlyStalledTypes.add(type);
          }
        });
    stalledTypes = currentlyStalledTypes;
  }

  private boolean isOverdue(Machine machine, double now) {
    return !machine.heartbeatReceived
        && machine.booting
        && !machine.scalingIn
        && now - machine.requestedAt > usualBootS(machine.type);
  }

  /** True if a machine of the type came up within the last usual boot time. */
  private boolean hasRecentBoot(String type, double now) {
    return recentBoots.stream()
        .anyMatch(
            boot ->
                boot.type().equals(type)
                    && boot.bootedAt() > now - usualBootS(type)
                    && boot.bootTimeS() > 0);
  }

  /** The longest nominal boot time of the machine types, in seconds; 0 without types. */
  static double slowestNominalBootS(ClusterState cluster) {
    double slowestS = 0;
    for (MachineType type : cluster.machineTypes.values()) {
      slowestS = Math.max(slowestS, type.bootS());
    }
    return slowestS;
  }

  /** The boot time that the cloud advertises for the type, in seconds; 0 for an unknown type. */
  private double nominalBootS(String type) {
    MachineType machineType = cluster.machineTypes.get(type);
    return machineType == null ? 0 : machineType.bootS();
  }

  /** Seconds within which nearly all machines of the type come up under normal conditions. */
  private double usualBootS(String type) {
    return nominalBootS(type) * USUAL_BOOT_FACTOR + USUAL_BOOT_GRACE_PERIOD_S;
  }

  /** The longest recent boot of the type, in seconds; 0 if there is none. */
  private double slowestRecentBootS(String type) {
    double slowestS = 0;
    for (Boot boot : recentBoots) {
      slowestS = boot.type().equals(type) ? Math.max(slowestS, boot.bootTimeS()) : slowestS;
    }
    return slowestS;
  }

  /** True if boots of the type are stalled, as of the last plan. */
  boolean isStalled(String type) {
    return stalledTypes.contains(type);
  }

  /** True if the machine, which has sent no heartbeat yet, is likely to come up soon. */
  boolean isLikelyToComeUp(Machine machine, double now) {
    double waitedS = now - machine.requestedAt;
    return !machine.booting
        || waitedS
            <= Math.max(
                usualBootS(machine.type), slowestRecentBootS(machine.type) * LATE_BOOT_FACTOR)
        || isStalled(machine.type);
  }

  /** Boot timeout in seconds, after which a machine that has not come up is scaled in. */
  double bootTimeoutS(String type) {
    double timeoutS = nominalBootS(type) * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_GRACE_PERIOD_S;
    timeoutS = Math.max(timeoutS, slowestRecentBootS(type) * LATE_BOOT_FACTOR);
    return isStalled(type) ? timeoutS * STALLED_TIMEOUT_FACTOR : timeoutS;
  }

  /**
   * How many of {@code wanted} machines may be requested now. A stalled type is limited to one
   * machine per nominal boot time.
   */
  int allowedRequests(String type, int wanted, double now) {
    if (!isStalled(type)) {
      return wanted;
    }
    if (now - lastRequestedAt.getOrDefault(type, Double.NEGATIVE_INFINITY) < nominalBootS(type)) {
      return 0;
    }
    lastRequestedAt.put(type, now);
    return Math.min(1, wanted);
  }
}
