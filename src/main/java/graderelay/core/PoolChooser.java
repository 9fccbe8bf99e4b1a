package graderelay.core;

import java.util.HashMap;
import java.util.Map;

/**
 * Chooses the pool of a scale-out request: the least price for each task that a machine would
 * really hold. Pools that answered without capacity are backed off from, for a pause that doubles
 * each time up to a longest pause.
 */
final class PoolChooser {
  /** Seconds; first backoff after the cloud called a pool empty. */
  private static final double FIRST_BACKOFF_S = 6;

  /** Seconds; longest such backoff: capacity comes back without a sign. */
  private static final double LONGEST_BACKOFF_S = 24;

  /** Times its price that a type whose boots stall counts as, when another could be had instead. */
  private static final double STALLED_PRICE_FACTOR = 3;

  /** Spot machines before on-demand ones, where both cost the same. */
  private static final boolean[] SPOT_FIRST = {true, false};

  /** A pool that had no capacity of late: not asked again until {@code until} (seconds). */
  private static final class PoolBackoff {
    private double until;
    private double pauseS = FIRST_BACKOFF_S;

    /** Backs off from now on, the next time for twice as long up to the longest backoff. */
    void start(double now) {
      until = now + pauseS;
      pauseS = Math.min(LONGEST_BACKOFF_S, pauseS * 2);
    }
  }

  private final ClusterState cluster;
  private final BootTimes boots;
  private final Map<InstancePool, PoolBackoff> backoffs = new HashMap<>();

  PoolChooser(ClusterState cluster, BootTimes boots) {
    this.cluster = cluster;
    this.boots = boots;
  }

  /** The pool provided fewer machines than asked for, or none. */
  void noCapacity(InstancePool pool, double now) {
    backoffs.computeIfAbsent(pool, p -> new PoolBackoff()).start(now);
  }

  /** The pool provided all machines asked for. */
  void hadCapacity(InstancePool pool) {
    backoffs.remove(pool);
  }

  /** True if machines of the pool can take tasks of the spec. */
  boolean suits(JobSpec spec, InstancePool pool) {
    MachineType type = cluster.types.get(pool.type());
    return type != null
        && spec.fits(type)
        && (spec.zone() == null || spec.zone().equals(pool.zone()))
        && (spec.spot() || !pool.spot());
  }

  /**
   * The pool with the least price for each task that a machine of it would really hold, or null.
   *
   * @param tasks tasks still without a bin
   * @param zones how many more of them each zone may take
   * @param spotOnly whether on-demand machines are left out where a spot price exists
   */
  InstancePool cheapest(
      JobSpec spec, int tasks, ZoneTaskLimit zones, boolean spotOnly, double now) {
    InstancePool cheapest = null;
    double leastPrice = Double.MAX_VALUE;
    for (MachineType type : cluster.types.values()) {
      int slots = Math.min(tasks, slots(type, spec));
      if (slots <= 0) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : SPOT_FIRST) {
          InstancePool pool = new InstancePool(type.name(), zone, spot);
          double price = pricePerTask(type, spot, slots);
          if (price < leastPrice && mayRequest(spec, pool, zones, spotOnly, now)) {
            leastPrice = price;
            cheapest = pool;
          }
        }
      }
    }
    return cheapest;
  }

  /** Tasks of the spec that an empty machine of the type holds. */
  private static int slots(MachineType type, JobSpec spec) {
    return Math.min(
        SchedulerLimits.MAX_TASKS_PER_MACHINE, Resources.of(type).countFitting(Resources.of(spec)));
  }

  private double pricePerTask(MachineType type, boolean spot, int slots) {
    double price = type.priceOf(spot) / slots;
    return price * (boots.stalled(type.name()) ? STALLED_PRICE_FACTOR : 1);
  }

  private boolean mayRequest(
      JobSpec spec, InstancePool pool, ZoneTaskLimit zones, boolean spotOnly, double now) {
    return suits(spec, pool)
        && zones.remaining(pool.zone()) != 0
        && !(spotOnly && !pool.spot() && spotExists(pool.type()))
        && !(pool.spot() && !cluster.policy.tuning().spotAllowed())
        && !backsOff(pool, now);
  }

  private boolean backsOff(InstancePool pool, double now) {
    PoolBackoff backoff = backoffs.get(pool);
    return backoff != null && now < backoff.until;
  }

  /** A type without a spot price can't be waited for. */
  private boolean spotExists(String type) {
    return cluster.types.get(type).spotPrice() > 0 && cluster.policy.tuning().spotAllowed();
  }
}
