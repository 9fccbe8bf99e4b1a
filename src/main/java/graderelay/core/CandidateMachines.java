package graderelay.core;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The machines that have room for a task of one job, in tiers of decreasing preference. Machines
 * with the image come first, since a fetch takes longer than any other step of a start; among
 * equals, spot machines come first where the job allows them, since only such jobs can use them.
 * Built once a round, so that placing many tasks of a job costs little more than placing one. Each
 * pick is the best fit (least CPU left over) of a random sample of the best tier that has a
 * machine.
 */
final class CandidateMachines {
  /** The first tier of machines that neither have nor are fetching the image. */
  private static final int FIRST_WITHOUT_IMAGE = 4;

  /** The first tier of machines that are fetching the image. */
  private static final int FIRST_FETCHING = 2;

  private static final int TIER_COUNT = FIRST_WITHOUT_IMAGE + 2;

  private final ClusterState cluster;
  private final RandomGenerator random;
  private final PlacementRules rules;
  private final Job job;
  private final boolean zoneConstrained;
  private final List<List<Machine>> tiers = new ArrayList<>();

  /** The result of {@link #canMakeRoomOnMachineWithImage}, null before the first call. */
  private Boolean canMakeRoomOnMachineWithImage;

  /**
   * Sorts the machines that the job may use into tiers.
   *
   * @param withRoom the machines that may have room
   * @param withImageOnly whether to use only machines that have the image or are fetching it
   * @param now seconds on the leader's clock
   */
  CandidateMachines(
      ClusterState cluster,
      RandomGenerator random,
      PlacementRules rules,
      Job job,
      List<Machine> withRoom,
      boolean withImageOnly,
      double now) {
    this.cluster = cluster;
    this.random = random;
    this.rules = rules;
    this.job = job;
    this.zoneConstrained = PlacementRules.isZoneConstrained(job);
    for (int i = 0; i < TIER_COUNT; i++) {
      tiers.add(new ArrayList<>());
    }
    for (Machine machine : withRoom) {
      if (machine.hasRoomFor(job.taskResources) && rules.isAllowed(job, machine, now)) {
        int tier = tier(job, machine);
        if (!withImageOnly || tier < FIRST_WITHOUT_IMAGE) {
          tiers.get(tier).add(machine);
        }
      }
    }
    cluster.examinedCount += withRoom.size();
  }

  private static int tier(Job job, Machine machine) {
    String image = job.spec.image();
    int imageTier =
        machine.hasImage(image)
            ? 0
            : machine.isFetching(image) ? FIRST_FETCHING : FIRST_WITHOUT_IMAGE;
    int onDemandPenalty = job.spec.spot() && !machine.spot ? 1 : 0;
    return imageTier + onDemandPenalty;
  }

  /** The best fit of a sample from the best tier that has a machine, or null. */
  Machine pick() {
    for (List<Machine> tier : tiers) {
      Machine machine = sample(zoneConstrained && !tier.isEmpty() ? inAllowedZones(tier) : tier);
      if (machine != null) {
        return machine;
      }
    }
    return null;
  }

  /** The machines in zones that allow one more task of the job, given its present claims. */
  private List<Machine> inAllowedZones(List<Machine> tier) {
    List<Machine> allowed = new ArrayList<>(tier);
    allowed.removeIf(machine -> !PlacementRules.isZoneAllowed(job, machine.zone));
    cluster.examinedCount += tier.size();
    return allowed;
  }

  /**
   * The best fit of a few machines drawn at random without replacement, or null. Machines that have
   * become full are removed from the pool; drawn ones are swapped behind the first {@code active}.
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
   * True if the job should wait a little for room on a machine that has its image, see {@link
   * PlacementRules#canMakeRoomOnMachineWithImage}; false once its start objective has passed.
   * Computed once for the job.
   */
  boolean canMakeRoomOnMachineWithImage(List<Machine> usable, double now) {
    if (canMakeRoomOnMachineWithImage == null) {
      canMakeRoomOnMachineWithImage = rules.canMakeRoomOnMachineWithImage(job, usable, now);
    }
    return canMakeRoomOnMachineWithImage;
  }
}
