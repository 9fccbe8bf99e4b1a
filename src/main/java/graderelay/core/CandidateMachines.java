package graderelay.core;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The machines that have room for a task of one job, in strata by how good they are for it, best
 * first: those with the image, since a fetch takes longer than anything else on the way to a start,
 * and spot machines before others where allowed, since only such work can use them. Built once a
 * round, so that many tasks of a job cost little more than one. Each pick is the best fit (least
 * CPU left over) of a random sample of the best stratum that has a machine.
 */
final class CandidateMachines {
  private static final int COLD = 4;
  private static final int STRATA = COLD + 2;
  private final ClusterState cluster;
  private final RandomGenerator random;
  private final PlacementRules rules;
  private final Job job;
  private final boolean zoned;
  private final List<List<Machine>> strata = new ArrayList<>();
  private Boolean canBeMade;

  /**
   * Sorts the machines that the job may use by how good a fit they are.
   *
   * @param roomy the machines that may have room
   * @param warmOnly whether only machines that have or fetch the image count
   */
  CandidateMachines(
      ClusterState cluster,
      RandomGenerator random,
      PlacementRules rules,
      Job j,
      List<Machine> roomy,
      boolean warmOnly) {
    this.cluster = cluster;
    this.random = random;
    this.rules = rules;
    job = j;
    zoned = PlacementRules.zoned(j);
    for (int i = 0; i < STRATA; i++) {
      strata.add(new ArrayList<>());
    }
    for (Machine m : roomy) {
      if (m.holds(j.taskResources) && rules.allowed(j, m)) {
        int stratum = stratum(j, m);
        if (!warmOnly || stratum < COLD) {
          strata.get(stratum).add(m);
        }
      }
    }
    cluster.examinedCount += roomy.size();
  }

  private static int stratum(Job j, Machine m) {
    int cold = m.hasImage(j.spec.image()) ? 0 : m.isFetching(j.spec.image()) ? 2 : 4;
    int dear = j.spec.spot() && !m.spot ? 1 : 0;
    return cold + dear;
  }

  /** The best fit of a sample from the best stratum that has a machine, or null. */
  Machine pick() {
    for (List<Machine> pool : strata) {
      if (zoned && !pool.isEmpty()) {
        List<Machine> here = new ArrayList<>(pool);
        here.removeIf(m -> !PlacementRules.zoneAllowed(job, m.zone));
        cluster.examinedCount += pool.size();
        Machine m = sample(here);
        if (m != null) {
          return m;
        }
      } else {
        Machine m = sample(pool);
        if (m != null) {
          return m;
        }
      }
    }
    return null;
  }

  /** Draws without putting back; machines that are full by now are dropped from the pool. */
  private Machine sample(List<Machine> pool) {
    Machine chosen = null;
    double chosenLeft = 0;
    int n = Math.max(1, cluster.policy.tuning().sampleSize());
    int active = pool.size();
    while (n > 0 && active > 0) {
      int i = random.nextInt(active);
      Machine m = pool.get(i);
      active--;
      pool.set(i, pool.get(active));
      cluster.examinedCount++;
      if (!m.holds(job.taskResources)) {
        pool.set(active, pool.get(pool.size() - 1));
        pool.remove(pool.size() - 1);
        continue;
      }
      pool.set(active, m);
      n--;
      double left = m.capacity.cpus() - m.used.cpus() - job.spec.cpus();
      if (chosen == null || left < chosenLeft) {
        chosen = m;
        chosenLeft = left;
      }
    }
    return chosen;
  }

  /**
   * True if the job should start sooner than its image can be fetched, and work that it may preempt
   * stands on a machine that has the image. Only for a moment: after that any room will do. Worked
   * out once for the job.
   */
  boolean warmRoomCanBeMade(List<Machine> usable, double now) {
    if (canBeMade == null) {
      canBeMade = rules.warmRoom(job, usable, now);
    }
    return canBeMade;
  }
}
