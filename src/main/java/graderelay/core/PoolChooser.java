package graderelay.core;

import java.util.HashMap;
import java.util.Map;

/**
 * Chooses the pool of a scale-out request: the one with the lowest price per task that a machine
 * would actually hold. A pool without capacity is skipped for a backoff period that doubles up to a
 * maximum.
 */
final class PoolChooser {
  /** Initial backoff in seconds for a pool that had no capacity. */
  private static final double INITIAL_BACKOFF_S = 6;

  /**
   * Maximum backoff in seconds. The cloud does not announce that capacity is available again, so
   * the pool has to be retried.
   */
  private static final double MAX_BACKOFF_S = 24;

  /** Factor on the price of a type whose boots are stalled, so that other types are preferred. */
  private static final double STALLED_PRICE_FACTOR = 3;

  /** Order in which pools are compared; at equal prices the first one is chosen. */
  private static final boolean[] SPOT_FIRST = {true, false};

  /** Backoff of a pool that had no capacity. Times are in seconds on the leader's clock. */
  private static final class PoolBackoff {
    private double skippedUntil;
    private double nextBackoffS = INITIAL_BACKOFF_S;

    /** Starts a backoff now and doubles the next one, up to the maximum. */
    void start(double now) {
      skippedUntil = now + nextBackoffS;
      nextBackoffS = Math.min(MAX_BACKOFF_S, nextBackoffS * 2);
    }
  }

  private final ClusterState cluster;
  private final BootTimes bootTimes;
  private final Map<InstancePool, PoolBackoff> backoffByPool = new HashMap<>();

  PoolChooser(ClusterState cluster, BootTimes bootTimes) {
    this.cluster = cluster;
    this.bootTimes = bootTimes;
  }

  /** Records that the pool provided fewer machines than requested. */
  void onNoCapacity(InstancePool pool, double now) {
    backoffByPool.computeIfAbsent(pool, key -> new PoolBackoff()).start(now);
  }

  /** Records that the pool provided all requested machines. */
  void onCapacityProvided(InstancePool pool) {
    backoffByPool.remove(pool);
  }

  /** True if machines of the pool can run tasks of the spec. */
  boolean isEligible(JobSpec spec, InstancePool pool) {
    MachineType type = cluster.machineTypes.get(pool.type());
    return type != null
        && spec.fits(type)
        && PlacementRules.poolObstacle(spec, pool.type(), pool.zone(), pool.spot()) == null;
  }

  /**
   * Returns the eligible pool with the lowest price per task that a machine of it would actually
   * hold, or null if there is none.
   *
   * @param tasks number of tasks still to be packed
   * @param zones number of further tasks that each zone may take
   * @param spotOnly whether to exclude on-demand machines of types that have spot instances
   */
  InstancePool cheapestPool(
      JobSpec spec, int tasks, ZoneTaskLimit zones, boolean spotOnly, double now) {
    InstancePool cheapest = null;
    double lowestPrice = Double.MAX_VALUE;
    for (MachineType type : cluster.machineTypes.values()) {
      int tasksPerMachine = Math.min(tasks, tasksPerMachine(type, spec));
      if (tasksPerMachine <= 0) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : SPOT_FIRST) {
          InstancePool pool = new InstancePool(type.name(), zone, spot);
          double pricePerTask = pricePerTask(type, spot, tasksPerMachine);
          if (pricePerTask < lowestPrice && mayRequest(spec, pool, zones, spotOnly, now)) {
            lowestPrice = pricePerTask;
            cheapest = pool;
          }
        }
      }
    }
    return cheapest;
  }

  /** Number of tasks of the spec that fit on an empty machine of the type. */
  private static int tasksPerMachine(MachineType type, JobSpec spec) {
    return Math.min(
        SchedulerLimits.MAX_TASKS_PER_MACHINE, Resources.of(type).countFitting(Resources.of(spec)));
  }

  private double pricePerTask(MachineType type, boolean spot, int tasksPerMachine) {
    double price = type.priceOf(spot) / tasksPerMachine;
    return price * (bootTimes.isStalled(type.name()) ? STALLED_PRICE_FACTOR : 1);
  }

  private boolean mayRequest(
      JobSpec spec, InstancePool pool, ZoneTaskLimit zones, boolean spotOnly, double now) {
    return isEligible(spec, pool)
        && zones.remaining(pool.zone()) != 0
        && !(spotOnly && !pool.spot() && isSpotAvailable(pool.type()))
        && !(pool.spot() && !cluster.policy.tuning().spotAllowed())
        && !isBackingOff(pool, now);
  }

  private boolean isBackingOff(InstancePool pool, double now) {
    PoolBackoff backoff = backoffByPool.get(pool);
    return backoff != null && now < backoff.skippedUntil;
  }

  /** True if the type has spot instances and the settings allow them. */
  private boolean isSpotAvailable(String type) {
    return cluster.machineTypes.get(type).spotPrice() > 0 && cluster.policy.tuning().spotAllowed();
  }
}
