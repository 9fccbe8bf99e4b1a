package graderelay.core;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Handles the machine events of {@link Scheduler}: the machine types and machine list of the cloud,
 * its responses to scale-out and scale-in requests, and the operators' cordons and drains.
 */
final class MachineEvents {
  private final ClusterState cluster;
  private final FleetPlanner planner;
  private final DeletedMachines deletedMachines;
  private final LostMachineHandler lostMachineHandler;
  private final TaskStopper taskStopper;

  /** Deleted machines to remove from the state once the ends of their claims have committed. */
  private final Set<String> pendingRemoval = new LinkedHashSet<>();

  MachineEvents(
      ClusterState cluster,
      FleetPlanner planner,
      DeletedMachines deletedMachines,
      LostMachineHandler lostMachineHandler,
      TaskStopper taskStopper) {
    this.cluster = cluster;
    this.planner = planner;
    this.deletedMachines = deletedMachines;
    this.lostMachineHandler = lostMachineHandler;
    this.taskStopper = taskStopper;
  }

  /** Replaces the machine types that the cloud offers. */
  void onMachineTypes(Collection<MachineType> types) {
    Map<String, MachineType> typesByName = new TreeMap<>();
    for (MachineType type : types) {
      typesByName.put(type.name(), type);
    }
    cluster.machineTypes = typesByName;
    for (Machine machine : cluster.machines.values()) {
      if (machine.type != null) {
        cluster.setTypeAndZone(machine, machine.type, machine.zone, machine.spot);
      }
    }
    cluster.roundNeeded = true;
  }

  /** Merges the cloud's list of machines. */
  void onMachineList(List<ListedMachine> list, double now) {
    for (ListedMachine listed : list) {
      onListedMachine(listed, now);
    }
    cluster.roundNeeded = true;
  }

  private void onListedMachine(ListedMachine listed, double now) {
    Machine machine = cluster.machines.get(listed.name());
    if (machine == null) {
      if (deletedMachines.contains(listed.name())) {
        return; // The list is outdated: the machine was deleted recently.
      }
      machine = cluster.getOrAddMachine(listed.name(), now);
      machine.requestedAt = now - listed.ageS();
    }
    if (!machine.heartbeatReceived) {
      machine.booting |= listed.state().equals("booting");
      cluster.setTypeAndZone(machine, listed.type(), listed.zone(), listed.spot());
      machine.address = listed.address();
    }
    if (listed.state().equals("failed") && !machine.failed) {
      machine.failed = true;
      lostMachineHandler.onMachineGone(machine, "the cloud lists it as failed", now);
    }
  }

  /** Handles the cloud's response to scale-out request {@code id}. */
  void onScaleOutResponse(long id, List<String> machineNames, boolean noCapacity, double now) {
    planner.onScaleOutResponse(id, machineNames, noCapacity, now);
    cluster.roundNeeded = true;
  }

  /**
   * Handles the cloud's confirmation of a deletion: the machines and all tasks on them are gone.
   */
  void onMachinesDeleted(List<String> machineNames, double now) {
    for (String name : machineNames) {
      Machine machine = cluster.machines.get(name);
      if (machine == null || !machine.scalingIn) {
        continue;
      }
      lostMachineHandler.onMachineGone(machine, "it was scaled in", now);
      deletedMachines.add(name);
      pendingRemoval.add(name);
    }
    cluster.roundNeeded = true;
  }

  /** Removes deleted machines that no longer have any claims. */
  void removeDeletedMachines() {
    pendingRemoval.removeIf(
        name -> {
          Machine machine = cluster.machines.get(name);
          if (machine != null && machine.claims.isEmpty()) {
            cluster.machines.remove(name);
          }
          return machine == null || machine.claims.isEmpty();
        });
  }

  /** Applies the current settings of which machines operators cordon or drain. */
  void onCordons(Set<String> cordoned, Set<String> drained, double now) {
    for (Machine machine : cluster.machines.values()) {
      boolean drainRequested = drained.contains(machine.name);
      boolean drainStarts = drainRequested && !machine.drainRequestedByOperator;
      machine.drainRequestedByOperator = drainRequested;
      machine.cordoned = drainRequested || cordoned.contains(machine.name);
      if (drainStarts) {
        cluster.log("machine " + machine.name + " is being drained by an operator");
        taskStopper.drainMachine(machine, now);
      }
    }
    cluster.roundNeeded = true;
  }
}
