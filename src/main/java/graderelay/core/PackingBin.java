package graderelay.core;

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

  /** Resources of array claims below production priority, which can be preempted for services. */
  private Resources preemptible = Resources.NONE;

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
    int slots = SchedulerLimits.MAX_TASKS_PER_MACHINE - machine.claims.size();
    Resources besideServices = machine.capacity.minus(machine.serviceResources);
    PackingBin bin = new PackingBin(machine, pool, machine.free(), besideServices, slots);
    for (Claim claim : machine.claims.values()) {
      if (!claim.job.spec.isService() && Priority.PROD.isHigherThan(claim.priority)) {
        bin.preemptible = bin.preemptible.plus(claim.resources());
      }
    }
    return bin;
  }

  /** Returns the empty bin of a requested or planned machine. */
  static PackingBin ofRequestedMachine(InstancePool pool, MachineType type) {
    Resources capacity = Resources.of(type);
    return new PackingBin(null, pool, capacity, capacity, SchedulerLimits.MAX_TASKS_PER_MACHINE);
  }

  /** Number of tasks of the spec that fit; for a service, preemptible resources count as free. */
  int capacityFor(JobSpec spec) {
    Resources room = spec.isService() ? free.plus(preemptible) : free;
    return Math.min(freeSlots, room.countFitting(Resources.of(spec)));
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
    return freeSlots <= 0 || free.cpus() + preemptible.cpus() < cpus;
  }
}
