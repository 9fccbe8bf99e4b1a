package graderelay.core;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Takes in what the cloud and the operators say of machines for {@link Scheduler}: machine types,
 * the cloud's list, rentals (scale out), give-backs (scale in), cordons and graceful evictions.
 */
final class MachineEvents {
  /**
   * Deleted machines remembered: late lists and reports still name them for minutes, in which a
   * fleet of four thousand may have been replaced several times. Some 100 bytes each.
   */
  private static final int MOST_DROPPED = 20_000;

  private final ClusterState cluster;
  private final FleetPlanner planner;
  private final HeartbeatMonitor heartbeats;
  private final WorkerCommands commands;

  /** Deleted machines that still carry claims whose end has to commit. */
  private final Set<String> gone = new LinkedHashSet<>();

  MachineEvents(
      ClusterState cluster,
      FleetPlanner planner,
      HeartbeatMonitor heartbeats,
      WorkerCommands commands) {
    this.cluster = cluster;
    this.planner = planner;
    this.heartbeats = heartbeats;
    this.commands = commands;
  }

  void onTypes(Collection<MachineType> types) {
    Map<String, MachineType> byName = new TreeMap<>();
    for (MachineType t : types) {
      byName.put(t.name(), t);
    }
    cluster.types = byName;
    for (Machine m : cluster.machines.values()) {
      if (m.type != null) {
        cluster.setTypeAndZone(m, m.type, m.zone, m.spot);
      }
    }
    cluster.roundNeeded = true;
  }

  void onList(List<ListedMachine> list, double now) {
    for (ListedMachine l : list) {
      Machine m = cluster.machines.get(l.name());
      if (m == null) {
        if (heartbeats.dropped.contains(l.name())) {
          continue; // The list lags: it was deleted a moment ago.
        }
        m = cluster.getOrAddMachine(l.name(), now);
        m.requestedAt = now - l.ageS();
      }
      if (!m.heartbeatReceived) {
        m.booting |= l.stage().equals("booting");
        cluster.setTypeAndZone(m, l.type(), l.zone(), l.spot());
        m.address = l.address();
      }
      if (l.stage().equals("failed") && !m.failed) {
        m.failed = true;
        heartbeats.machineGone(m, "the cloud lists it as failed", now);
      }
    }
    cluster.roundNeeded = true;
  }

  /** The cloud answered scale-out request {@code id}. */
  void onScaleOutAnswered(long id, List<String> names, boolean noCapacity, double now) {
    planner.onScaleOutAnswered(id, names, noCapacity, now);
    cluster.roundNeeded = true;
  }

  /** The cloud answered a deletion: the machines and everything on them are gone. */
  void onScaledIn(List<String> names, double now) {
    for (String n : names) {
      Machine m = cluster.machines.get(n);
      if (m == null || !m.scalingIn) {
        continue;
      }
      heartbeats.machineGone(m, "it was given back", now);
      heartbeats.dropped.add(n);
      if (heartbeats.dropped.size() > MOST_DROPPED) {
        heartbeats.dropped.remove(heartbeats.dropped.iterator().next());
      }
      gone.add(n);
    }
    cluster.roundNeeded = true;
  }

  /** Forgets given-back machines once no claim on them is left. */
  void forgetMachines(double now) {
    gone.removeIf(
        n -> {
          Machine m = cluster.machines.get(n);
          if (m != null && m.claims.isEmpty()) {
            cluster.machines.remove(n);
          }
          return m == null || m.claims.isEmpty();
        });
  }

  /** What operators keep off machines, as the settings have it now. */
  void onCordons(Set<String> cordoned, Set<String> drained, double now) {
    for (Machine m : cluster.machines.values()) {
      boolean drain = drained.contains(m.name);
      boolean starts = drain && !m.operatorDrain;
      m.operatorDrain = drain;
      m.cordoned = drain || cordoned.contains(m.name);
      if (starts) {
        cluster.log("machine " + m.name + " is drained by its operators");
        commands.drainClaims(m, now);
      }
    }
    cluster.roundNeeded = true;
  }
}
