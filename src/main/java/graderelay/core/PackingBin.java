package graderelay.core;

/**
 * A bin of the fleet plan's bin packing: a machine that is there, one that is booting, or one that
 * a scale-out request would add.
 */
final class PackingBin {
  /** The machine, or null for one that a scale-out request brings or would bring. */
  final Machine machine;

  final InstancePool pool;

  /** What the bin has room for beside what was packed into it. */
  private Resources free;

  /** Tasks that it may still take, whatever their size. */
  private int slotsLeft;

  /** What claims of arrays of lower priority hold: they would make room for services. */
  private Resources preemptible = Resources.NONE;

  private PackingBin(Machine machine, InstancePool pool, Resources free, int slots) {
    this.machine = machine;
    this.pool = pool;
    this.free = free;
    this.slotsLeft = slots;
  }

  /** The bin of a machine that the leader knows. */
  static PackingBin of(Machine machine) {
    InstancePool pool = new InstancePool(machine.type, machine.zone, machine.spot);
    int slots = SchedulerLimits.MAX_TASKS_PER_MACHINE - machine.claims.size();
    PackingBin bin = new PackingBin(machine, pool, machine.free(), slots);
    for (Claim claim : machine.claims.values()) {
      if (!claim.job.spec.isService() && Priority.PROD.isHigherThan(claim.priority)) {
        bin.preemptible = bin.preemptible.plus(claim.resources());
      }
    }
    return bin;
  }

  /** The empty bin of a machine that is to come. */
  static PackingBin requested(InstancePool pool, MachineType type) {
    return new PackingBin(null, pool, Resources.of(type), SchedulerLimits.MAX_TASKS_PER_MACHINE);
  }

  /** How many tasks of the spec it can take; a service also where arrays make room for it. */
  int room(JobSpec spec) {
    Resources room = spec.isService() ? free.plus(preemptible) : free;
    return Math.min(slotsLeft, room.countFitting(Resources.of(spec)));
  }

  /** Packs so many tasks of the spec into it. */
  void take(JobSpec spec, int tasks) {
    free =
        new Resources(
            free.cpus() - tasks * spec.cpus(),
            free.gpus() - tasks * spec.gpus(),
            free.memGb() - tasks * spec.memGb());
    slotsLeft -= tasks;
  }

  /** True if not even a task of so few CPUs fits, whatever makes room for it. */
  boolean tooFullFor(double cpus) {
    return slotsLeft <= 0 || free.cpus() + preemptible.cpus() < cpus;
  }
}
