package graderelay.core;

import java.util.EnumMap;
import java.util.Map;

/**
 * A bin in the bin packing of the fleet plan: a running or booting machine, or a machine that a
 * pending or planned scale-out request adds.
 */
final class PackingBin {
  /** The machine; null if it is only requested or planned. */
  final Machine machine;

  final InstancePool pool;

  /** Resources left after the claims and the tasks packed so far. */
  private Resources free;

  /** Resources beside those of services, which keep theirs until they are cancelled. */
  private Resources besideServices;

  /** Number of further tasks allowed by the limit on tasks per machine. */
  private int freeSlots;

  /** Resources of array claims by priority; those of lower priority are preempted for services. */
  private final Map<Priority, Resources> arraysByPriority = new EnumMap<>(Priority.class);

  private PackingBin(
      Machine machine, InstancePool pool, Resources free, Resources besideServices, int slots) {
    this.machine = machine;
    this.pool = pool;
    this.free = free;
    this.besideServices = besideServices;
    this.freeSlots = slots;
  }

  /** Returns the bin of a running or booting machine. */
  static PackingBin of(Machine machine) {
    InstancePool pool = new InstancePool(machine.type, machine.zone, machine.spot);
    Resources besideServices = machine.capacity.minus(machine.serviceResources);
    PackingBin bin =
        new PackingBin(machine, pool, machine.free(), besideServices, machine.freeSlots());
    for (Claim claim : machine.claims.values()) {
      if (!claim.job.spec.isService()) {
        bin.arraysByPriority.merge(claim.priority, claim.resources(), Resources::plus);
      }
    }
    return bin;
  }

  /** Returns the empty bin of a requested or planned machine. */
  static PackingBin ofRequestedMachine(InstancePool pool, MachineType type) {
    Resources capacity = Resources.of(type);
    return new PackingBin(null, pool, capacity, capacity, SchedulerLimits.MAX_TASKS_PER_MACHINE);
  }

  /**
   * Number of tasks of the spec that fit; for a service, resources of arrays that are preempted for
   * it count as free.
   *
   * @param priority the priority with which the tasks are queued
   */
  int capacityFor(JobSpec spec, Priority priority) {
    Resources room = spec.isService() ? free.plus(preemptibleFor(priority)) : free;
    return Math.min(freeSlots, room.countFitting(Resources.of(spec)));
  }

  private Resources preemptibleFor(Priority priority) {
    Resources preemptible = Resources.NONE;
    for (var arrays : arraysByPriority.entrySet()) {
      if (priority.isHigherThan(arrays.getKey())) {
        preemptible = preemptible.plus(arrays.getValue());
      }
    }
    return preemptible;
  }

  /** Packs tasks of the spec into the bin. */
  void pack(JobSpec spec, int tasks) {
    Resources packed =
        new Resources(tasks * spec.cpus(), tasks * spec.gpus(), tasks * spec.memGb());
    free = free.minus(packed);
    if (spec.isService()) {
      besideServices = besideServices.minus(packed);
    }
    freeSlots -= tasks;
  }

  /** True if a task of the array fits now, or once the arrays on the machine have ended. */
  boolean hasRoomBesideServices(JobSpec spec) {
    return besideServices.hasRoomFor(Resources.of(spec));
  }

  /** True if a task with this many CPUs does not fit, even with preemption. */
  boolean isTooFullFor(double cpus) {
    return freeSlots <= 0 || free.cpus() + preemptibleFor(Priority.PROD).cpus() < cpus;
  }
}
