package graderelay.core;

import java.util.random.RandomGenerator;

/**
 * Places the open tasks of one job in a placement round: each takes the best of the candidate
 * machines, as far as the team's quota, the job's task batch records and its failures allow. What
 * keeps a task from being placed becomes the job's wait reason.
 */
final class JobPlacer {
  private final ClusterState cluster;
  private final RandomGenerator random;
  private final PlacementRules rules;
  private final QuotaGate quota;

  JobPlacer(ClusterState cluster, RandomGenerator random, PlacementRules rules, QuotaGate quota) {
    this.cluster = cluster;
    this.random = random;
    this.rules = rules;
    this.quota = quota;
  }

  /**
   * Places what it can of one job and returns how many task batch records that changes.
   *
   * @param mostTasks tasks to place at most
   * @param warmOnly whether only machines that have or fetch the image count
   */
  int place(Job job, int mostTasks, boolean warmOnly, PlacementRound.Context context) {
    if (job.notBefore > context.now()) {
      job.waitReason = backoffReason(job);
      return 0;
    }
    if (quota.obstructed(job)) {
      return 0;
    }
    String reason = noneThisRound(job, mostTasks, context.now());
    if (reason != null) {
      job.waitReason = reason;
      return 0;
    }
    return new Placement(job, mostTasks, warmOnly, context).placeOpenTasks();
  }

  /** The wait reason of a job that backs off after failures. */
  private static String backoffReason(Job job) {
    return job.suspect
        ? "it fails on every machine (" + job.failedMachines.size() + "); tried again later"
        : "backing off after failures";
  }

  /** The wait reason of a job of which no task may be placed in this round, or null. */
  private String noneThisRound(Job job, int mostTasks, double now) {
    if (mostTasks <= 0) {
      noRoomFound(job, now);
      return "room is kept for work above it";
    }
    if (job.claims.size() >= rules.mostTried(job)) {
      return "a few of its tasks are tried first, since it may fail on every machine";
    }
    return null;
  }

  /** Leaves the job out of rounds for a short pause, or until room is freed. */
  private void noRoomFound(Job job, double now) {
    job.noRoomVersion = cluster.roomVersion;
    job.noRoomSince = now;
  }

  /** The placement of one job's open tasks, in task order. */
  private final class Placement {
    private final Job job;
    private final int mostTasks;
    private final boolean warmOnly;
    private final PlacementRound.Context context;

    /** Built for the first task that may be placed, since it looks at every machine with room. */
    private CandidateMachines candidates;

    private Job.TaskBatch lastBatch;
    private int recordsChanged;
    private int tasksPlaced;

    private Placement(Job job, int mostTasks, boolean warmOnly, PlacementRound.Context context) {
      this.job = job;
      this.mostTasks = mostTasks;
      this.warmOnly = warmOnly;
      this.context = context;
    }

    /** Claims machines until one of the limits is met; returns the records changed. */
    int placeOpenTasks() {
      int task = job.openTasks.nextSetBit(0);
      while (task >= 0) {
        int batchIndex = job.spec.batchOf(task);
        if (closed(job.taskBatches.get(batchIndex))) {
          task = job.openTasks.nextSetBit((batchIndex + 1) * job.spec.batchCapacity());
          continue;
        }
        Machine machine = machineForNextTask();
        if (machine == null) {
          break;
        }
        claim(task, batchIndex, machine);
        if (enoughPlaced()) {
          break;
        }
        task = job.openTasks.nextSetBit(task + 1);
      }
      return recordsChanged;
    }

    /** True if no task of the batch may be claimed now; sets the wait reason. */
    private boolean closed(Job.TaskBatch batch) {
      if (batch == null) {
        return false;
      }
      if (batch.inFlight) {
        job.waitReason = "a change of its slice is being committed";
        return true;
      }
      if (batch.fullUntil > context.now()) {
        job.waitReason = "its record is as large as the state service allows";
        return true;
      }
      return false;
    }

    /** The machine that takes the next task, or null; then the wait reason says why. */
    private Machine machineForNextTask() {
      if (!quota.limitAllows(job)) {
        job.waitReason = quota.limitReason(job);
        return null;
      }
      if (candidates == null) {
        candidates =
            new CandidateMachines(cluster, random, rules, job, context.withRoom(), warmOnly);
      }
      Machine machine = candidates.pick();
      if (machine == null) {
        noRoom();
        return null;
      }
      if (!machine.hasImage(job.spec.image())
          && candidates.warmRoomCanBeMade(context.usable(), context.now())) {
        job.waitReason = "room is being made where its image is";
        return null;
      }
      return machine;
    }

    /** Notes that no machine had room, unless only warm machines were looked at. */
    private void noRoom() {
      if (warmOnly) {
        return;
      }
      job.waitReason =
          context.usable().isEmpty() ? "no machine reports" : "no room on an allowed machine";
      noRoomFound(job, context.now());
    }

    private void claim(int task, int batchIndex, Machine machine) {
      Job.TaskBatch batch = job.taskBatch(batchIndex);
      int attempt = batch.record.attempt(task - batch.firstTask) + 1;
      Claim claim = new Claim(job, task, attempt, machine.name, machine.session, context.now());
      cluster.addClaim(claim, context.now());
      context.claims().add(claim);
      recordsChanged += batch == lastBatch ? 0 : 1;
      lastBatch = batch;
      tasksPlaced++;
    }

    private boolean enoughPlaced() {
      if (job.claims.size() >= rules.mostTried(job)) {
        return true;
      }
      if (tasksPlaced >= mostTasks) {
        job.waitReason = "slice cap of a round";
        return true;
      }
      return false;
    }
  }
}
