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
  /** The first stratum of machines that neither have nor fetch the image. */
  private static final int COLD = 4;

  /** The first stratum of machines that fetch the image. */
  private static final int FETCHING = 2;

  private static final int STRATA = COLD + 2;

  private final ClusterState cluster;
  private final RandomGenerator random;
  private final PlacementRules rules;
  private final Job job;
  private final boolean zoned;
  private final List<List<Machine>> strata = new ArrayList<>();

  /** The answer of {@link #warmRoomCanBeMade}, null before it was first asked. */
  private Boolean warmRoomCanBeMade;

  /**
   * Sorts the machines that the job may use by how good a fit they are.
   *
   * @param withRoom the machines that may have room
   * @param warmOnly whether only machines that have or fetch the image count
   */
  CandidateMachines(
      ClusterState cluster,
      RandomGenerator random,
      PlacementRules rules,
      Job job,
      List<Machine> withRoom,
      boolean warmOnly) {
    this.cluster = cluster;
    this.random = random;
    this.rules = rules;
    this.job = job;
    this.zoned = PlacementRules.zoned(job);
    for (int i = 0; i < STRATA; i++) {
      strata.add(new ArrayList<>());
    }
    for (Machine machine : withRoom) {
      if (machine.hasRoomFor(job.taskResources) && rules.allowed(job, machine)) {
        int stratum = stratum(job, machine);
        if (!warmOnly || stratum < COLD) {
          strata.get(stratum).add(machine);
        }
      }
    }
    cluster.examinedCount += withRoom.size();
  }

  private static int stratum(Job job, Machine machine) {
    String image = job.spec.image();
    int byImage = machine.hasImage(image) ? 0 : machine.isFetching(image) ? FETCHING : COLD;
    int onDemandPenalty = job.spec.spot() && !machine.spot ? 1 : 0;
    return byImage + onDemandPenalty;
  }

  /** The best fit of a sample from the best stratum that has a machine, or null. */
  Machine pick() {
    for (List<Machine> stratum : strata) {
      Machine machine = sample(zoned && !stratum.isEmpty() ? zoneAllowed(stratum) : stratum);
      if (machine != null) {
        return machine;
      }
    }
    return null;
  }

  /** Those in zones that take one more task of the job, as its claims stand now. */
  private List<Machine> zoneAllowed(List<Machine> stratum) {
    List<Machine> allowed = new ArrayList<>(stratum);
    allowed.removeIf(machine -> !PlacementRules.zoneAllowed(job, machine.zone));
    cluster.examinedCount += stratum.size();
    return allowed;
  }

  /**
   * The best fit of a few machines drawn at random without replacement, or null; machines that are
   * full by now are dropped from the pool. Drawn ones move behind the first {@code active}.
   */
  private Machine sample(List<Machine> pool) {
    Machine chosen = null;
    double chosenLeftOver = 0;
    int samplesLeft = Math.max(1, cluster.policy.tuning().sampleSize());
    int active = pool.size();
    while (samplesLeft > 0 && active > 0) {
      int drawn = random.nextInt(active);
      active--;
      cluster.examinedCount++;
      Machine machine = pool.get(drawn);
      pool.set(drawn, pool.get(active));
      if (!machine.hasRoomFor(job.taskResources)) {
        pool.set(active, pool.get(pool.size() - 1));
        pool.remove(pool.size() - 1);
        continue;
      }
      pool.set(active, machine);
      samplesLeft--;
      double cpusLeftOver = machine.freeCpus() - job.spec.cpus();
      if (chosen == null || cpusLeftOver < chosenLeftOver) {
        chosen = machine;
        chosenLeftOver = cpusLeftOver;
      }
    }
    return chosen;
  }

  /**
   * True if the job should start sooner than its image can be fetched, and work that it may preempt
   * runs on a machine that has the image. Only for a short time: after that any room will do.
   * Worked out once for the job.
   */
  boolean warmRoomCanBeMade(List<Machine> usable, double now) {
    if (warmRoomCanBeMade == null) {
      warmRoomCanBeMade = rules.warmRoomCanBeMade(job, usable, now);
    }
    return warmRoomCanBeMade;
  }
}
