package graderelay.core;

/**
 * A bin of the fleet plan's bin packing: a machine that is there, one that is booting, or one that
 * a scale-out request would add ({@code machine} is null for the last two).
 */
final class PackingBin {
  final Machine machine;
  final InstancePool pool;
  Resources free;

  /** Tasks that it may still take, whatever their size. */
  int places;

  /** What arrays of lower priority would make room for services. */
  Resources yielding = Resources.NONE;

  PackingBin(Machine machine, InstancePool pool, Resources free) {
    this.machine = machine;
    this.pool = pool;
    this.free = free;
    this.places = SchedulerLimits.MOST_ON_MACHINE - (machine == null ? 0 : machine.claims.size());
  }
}
