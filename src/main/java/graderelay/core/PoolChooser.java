package graderelay.core;

import java.util.HashMap;
import java.util.Map;

/**
 * Chooses the pool of a scale-out request: the least price for each task that a machine would
 * really hold. Pools that answered without capacity are backed off from, for a pause that doubles
 * each time up to a longest pause.
 */
final class PoolChooser {
  /** Seconds; first pause after the cloud called a pool empty. */
  private static final double EMPTY_POOL_PAUSE_S = 6;

  /** Seconds; longest such pause: capacity comes back without a sign. */
  private static final double LONGEST_EMPTY_POOL_PAUSE_S = 24;

  /** Times its price that such a type counts as when another could be rented instead. */
  private static final double STALLED_PRICE = 3;

  /** A pool that had no capacity of late: not asked again until {@code until} (seconds). */
  private static final class PoolBackoff {
    double until;
    double pause = EMPTY_POOL_PAUSE_S;
  }

  private final ClusterState cluster;
  private final BootTimes boots;
  private final Map<InstancePool, PoolBackoff> backoffs = new HashMap<>();

  PoolChooser(ClusterState cluster, BootTimes boots) {
    this.cluster = cluster;
    this.boots = boots;
  }

  /** The pool gave fewer machines than asked for, or none. */
  void noCapacity(InstancePool pool, double now) {
    PoolBackoff b = backoffs.computeIfAbsent(pool, p -> new PoolBackoff());
    b.until = now + b.pause;
    b.pause = Math.min(LONGEST_EMPTY_POOL_PAUSE_S, b.pause * 2);
  }

  /** The pool gave all machines asked for. */
  void hadCapacity(InstancePool pool) {
    backoffs.remove(pool);
  }

  /** True if machines of the pool can take tasks of the spec. */
  boolean suits(JobSpec s, InstancePool p) {
    MachineType t = cluster.types.get(p.type());
    return t != null
        && s.fits(t)
        && (s.zone() == null || s.zone().equals(p.zone()))
        && (s.spot() || !p.spot());
  }

  /**
   * The pool with the least price for each task that it would really hold, or null.
   *
   * @param left tasks still without a bin
   * @param zones room left by zone for spread work, or null
   * @param spotOnly whether on-demand machines are left out where a spot price exists
   */
  InstancePool cheapest(JobSpec s, int left, ZoneRoom zones, boolean spotOnly, double now) {
    InstancePool best = null;
    double bestPrice = Double.MAX_VALUE;
    for (MachineType t : cluster.types.values()) {
      int slots =
          Math.min(
              left,
              Math.min(SchedulerLimits.MOST_ON_MACHINE, Resources.of(t).times(Resources.of(s))));
      if (slots <= 0) {
        continue;
      }
      for (String zone : t.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          InstancePool p = new InstancePool(t.name(), zone, spot);
          if (!mayRequest(s, p, t, zones, spotOnly, now)) {
            continue;
          }
          double price = t.priceOf(spot) / slots;
          price *= boots.stalled(t.name()) ? STALLED_PRICE : 1;
          if (price < bestPrice) {
            bestPrice = price;
            best = p;
          }
        }
      }
    }
    return best;
  }

  private boolean mayRequest(
      JobSpec s, InstancePool p, MachineType t, ZoneRoom zones, boolean spotOnly, double now) {
    PoolBackoff b = backoffs.get(p);
    return suits(s, p)
        && (zones == null || zones.left(p.zone()) != 0)
        && !(spotOnly && !p.spot() && spotExists(t))
        && !(p.spot() && !cluster.policy.tuning().spotAllowed())
        && !(b != null && now < b.until);
  }

  /** A type without a spot price can't be waited for. */
  private boolean spotExists(MachineType t) {
    return t.spotPrice() > 0 && cluster.policy.tuning().spotAllowed();
  }
}
