package graderelay.core;

import java.util.random.RandomGenerator;

/**
 * Places the open tasks of one job in a placement round. Each task takes the best of the candidate
 * machines, within the limits of the team's quota, the task batch records and the backoff after
 * failures. If a task can't be placed, the cause becomes the job's wait reason.
 */
final class JobPlacer {
  /** Seconds for which a job has found no room before what keeps it from machines is logged. */
  private static final double LOG_WAIT_AFTER_S = 30;

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
   * Places as many tasks of a job as possible and returns how many task batch records that changes.
   *
   * @param maxTasks maximum number of tasks to place
   * @param withImageOnly whether to use only machines that have the image or are fetching it
   */
  int place(Job job, int maxTasks, boolean withImageOnly, PlacementRound.Context context) {
    if (job.notBefore > context.now()) {
      job.waitReason = backoffReason(job);
      return 0;
    }
    if (quota.isAdmissionBlocked(job)) {
      return 0;
    }
    WaitReason reason = skipReason(job, maxTasks, context.now());
    if (reason != null) {
      job.waitReason = reason;
      return 0;
    }
    return new Placement(job, maxTasks, withImageOnly, context).placeOpenTasks();
  }

  /** The wait reason of a job in backoff after failures. */
  private static WaitReason backoffReason(Job job) {
    String text =
        job.suspect
            ? "it fails on every machine (" + job.failedMachines.size() + "); tried again later"
            : "backing off after failures";
    return new WaitReason(WaitReason.Cause.BACKOFF, text);
  }

  /** The wait reason of a job of which no task may be placed in this round, or null if some may. */
  private WaitReason skipReason(Job job, int maxTasks, double now) {
    if (maxTasks <= 0) {
      excludeUntilRoomIsFreed(job, now);
      return WaitReason.RESERVED_ROOM;
    }
    if (job.claims.size() >= rules.maxConcurrentClaims(job)) {
      return WaitReason.TRIAL;
    }
    return null;
  }

  /** Excludes the job from rounds until room is freed or a short pause has passed. */
  private void excludeUntilRoomIsFreed(Job job, double now) {
    job.noRoomAtVersion = cluster.roomVersion;
    job.noRoomSince = now;
  }

  /** The placement of one job's open tasks in the order of their indices. */
  private final class Placement {
    private final Job job;
    private final int maxTasks;
    private final boolean withImageOnly;
    private final PlacementRound.Context context;

    /**
     * Built only when the first task may be placed, since building it examines every machine with
     * room.
     */
    private CandidateMachines candidates;

    private Job.TaskBatch lastBatch;
    private int recordsChanged;
    private int tasksPlaced;

    private Placement(
        Job job, int maxTasks, boolean withImageOnly, PlacementRound.Context context) {
      this.job = job;
      this.maxTasks = maxTasks;
      this.withImageOnly = withImageOnly;
      this.context = context;
    }

    /**
     * Claims machines until there is no room or a limit is reached; returns the number of task
     * batch records changed.
     */
    int placeOpenTasks() {
      int task = job.openTasks.nextSetBit(0);
      while (task >= 0) {
        int batchIndex = job.spec.batchIndexOf(task);
        if (isBlocked(job.taskBatches.get(batchIndex))) {
          task = job.openTasks.nextSetBit((batchIndex + 1) * job.spec.batchCapacity());
          continue;
        }
        Machine machine = machineForNextTask();
        if (machine == null) {
          break;
        }
        claim(task, batchIndex, machine);
        if (limitReached()) {
          break;
        }
        task = job.openTasks.nextSetBit(task + 1);
      }
      return recordsChanged;
    }

    /** True if no task of the batch may be claimed now; sets the wait reason. */
    private boolean isBlocked(Job.TaskBatch batch) {
      if (batch == null) {
        return false;
      }
      if (batch.inFlight) {
        job.waitReason = WaitReason.COMMIT;
        return true;
      }
      if (batch.recordFullUntil > context.now()) {
        job.waitReason = WaitReason.RECORD_SIZE;
        return true;
      }
      return false;
    }

    /** The machine for the next task, or null; then the wait reason is set. */
    private Machine machineForNextTask() {
      if (!quota.limitAllows(job)) {
        job.waitReason = quota.limitWaitReason(job);
        return null;
      }
      if (candidates == null) {
        candidates =
            new CandidateMachines(
                cluster, random, rules, job, context.withRoom(), withImageOnly, context.now());
      }
      Machine machine = candidates.pick();
      if (machine == null) {
        recordNoRoom();
        return null;
      }
      if (!machine.hasImage(job.spec.image())
          && candidates.canMakeRoomOnMachineWithImage(context.usable(), context.now())) {
        job.waitReason = WaitReason.IMAGE;
        return null;
      }
      return machine;
    }

    /** Records that no machine had room, unless only machines with the image were examined. */
    private void recordNoRoom() {
      if (withImageOnly) {
        return;
      }
      job.waitReason = context.usable().isEmpty() ? WaitReason.NO_MACHINE : WaitReason.NO_ROOM;
      excludeUntilRoomIsFreed(job, context.now());
      logLongWait();
    }

    /** Logs a job that has waited long beside room that it is kept from; once for each wait. */
    private void logLongWait() {
      double now = context.now();
      if (now - job.waitingSince < LOG_WAIT_AFTER_S || job.waitLoggedAt >= job.waitingSince) {
        return;
      }
      job.waitLoggedAt = now;
      PlacementDiagnosis diagnosis = PlacementDiagnosis.of(cluster, rules, job, now);
      if (diagnosis.isKeptFromRoom()) {
        cluster.log(
            job.spec.id()
                + " waits beside room for "
                + Math.round(now - job.waitingSince)
                + " s; machines: "
                + diagnosis);
      }
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

    private boolean limitReached() {
      if (job.claims.size() >= rules.maxConcurrentClaims(job)) {
        return true;
      }
      if (tasksPlaced >= maxTasks) {
        job.waitReason = WaitReason.ROUND_LIMIT;
        return true;
      }
      return false;
    }
  }
}
