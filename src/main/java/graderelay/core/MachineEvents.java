package graderelay.core;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Takes in what the cloud and the operators say of machines for {@link Scheduler}: machine types,
 * the cloud's list, the answers to scale-out and scale-in requests, cordons and graceful evictions.
 */
final class MachineEvents {
  private final ClusterState cluster;
  private final FleetPlanner planner;
  private final DeletedMachines deleted;
  private final LostMachineHandler proofs;
  private final TaskStopper stops;

  /** Deleted machines that still carry claims whose end has to commit. */
  private final Set<String> toForget = new LinkedHashSet<>();

  MachineEvents(
      ClusterState cluster,
      FleetPlanner planner,
      DeletedMachines deleted,
      LostMachineHandler proofs,
      TaskStopper stops) {
    this.cluster = cluster;
    this.planner = planner;
    this.deleted = deleted;
    this.proofs = proofs;
    this.stops = stops;
  }

  /** The machine types that the cloud offers. */
  void onTypes(Collection<MachineType> types) {
    Map<String, MachineType> byName = new TreeMap<>();
    for (MachineType type : types) {
      byName.put(type.name(), type);
    }
    cluster.types = byName;
    for (Machine machine : cluster.machines.values()) {
      if (machine.type != null) {
        cluster.setTypeAndZone(machine, machine.type, machine.zone, machine.spot);
      }
    }
    cluster.roundNeeded = true;
  }

  /** The cloud's list of machines. */
  void onList(List<ListedMachine> list, double now) {
    for (ListedMachine listed : list) {
      onListed(listed, now);
    }
    cluster.roundNeeded = true;
  }

  private void onListed(ListedMachine listed, double now) {
    Machine machine = cluster.machines.get(listed.name());
    if (machine == null) {
      if (deleted.contains(listed.name())) {
        return; // The list lags: it was deleted a moment ago.
      }
      machine = cluster.getOrAddMachine(listed.name(), now);
      machine.requestedAt = now - listed.ageS();
    }
    if (!machine.heartbeatReceived) {
      machine.booting |= listed.stage().equals("booting");
      cluster.setTypeAndZone(machine, listed.type(), listed.zone(), listed.spot());
      machine.address = listed.address();
    }
    if (listed.stage().equals("failed") && !machine.failed) {
      machine.failed = true;
      proofs.onMachineGone(machine, "the cloud lists it as failed", now);
    }
  }

  /** The cloud answered scale-out request {@code id}. */
  void onScaleOutAnswered(long id, List<String> names, boolean noCapacity, double now) {
    planner.onScaleOutAnswered(id, names, noCapacity, now);
    cluster.roundNeeded = true;
  }

  /** The cloud answered a deletion: the machines and everything on them are gone. */
  void onScaledIn(List<String> names, double now) {
    for (String name : names) {
      Machine machine = cluster.machines.get(name);
      if (machine == null || !machine.scalingIn) {
        continue;
      }
      proofs.onMachineGone(machine, "it was scaled in", now);
      deleted.add(name);
      toForget.add(name);
    }
    cluster.roundNeeded = true;
  }

  /** Forgets deleted machines once no claim on them is left. */
  void forgetMachines() {
    toForget.removeIf(
        name -> {
          Machine machine = cluster.machines.get(name);
          if (machine != null && machine.claims.isEmpty()) {
            cluster.machines.remove(name);
          }
          return machine == null || machine.claims.isEmpty();
        });
  }

  /** The machines that operators cordon or drain, as the settings have it now. */
  void onCordons(Set<String> cordoned, Set<String> drained, double now) {
    for (Machine machine : cluster.machines.values()) {
      boolean drain = drained.contains(machine.name);
      boolean starts = drain && !machine.operatorDrain;
      machine.operatorDrain = drain;
      machine.cordoned = drain || cordoned.contains(machine.name);
      if (starts) {
        cluster.log("machine " + machine.name + " is drained by its operators");
        stops.drainMachine(machine, now);
      }
    }
    cluster.roundNeeded = true;
  }
}
