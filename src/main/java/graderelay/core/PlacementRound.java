package graderelay.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Runs placement rounds. In queue order, each waiting task is placed on the best fit of a few
 * machines drawn from those that send heartbeats; where there is no room, work that may be
 * preempted for it is stopped. {@link JobPlacer} places the tasks of one job.
 */
final class PlacementRound {
  /** Time for which a job that found no room is skipped unless room is freed. */
  private static final double NO_ROOM_PAUSE_S = 0.25;

  /**
   * Time after which the first task of a job that has never started takes the next room, whatever
   * its priority.
   */
  private static final double OVERDUE_START_S = 150;

  /**
   * Passes over a group with one job; each value is true if the pass is limited to machines that
   * have the job's image.
   */
  private static final boolean[] SINGLE_JOB_PASSES = {false};

  /** Passes over a group of several jobs: machines with the image first, then all. */
  private static final boolean[] GROUP_PASSES = {true, false};

  private final ClusterState cluster;
  private final QuotaGate quota;
  private final QueueOrder order;
  private final CommitReservations reservations;
  private final JobPlacer placer;
  private final Preemption preemption;

  /**
   * State that all steps of a placement round share.
   *
   * @param usable all machines that may be given tasks
   * @param withRoom those of them that may have room
   * @param claims the new claims of the round so far
   * @param now seconds on the leader's clock
   */
  record Context(List<Machine> usable, List<Machine> withRoom, List<Claim> claims, double now) {}

  PlacementRound(ClusterState cluster, RandomGenerator random) {
    this.cluster = cluster;
    this.quota = new QuotaGate(cluster);
    this.order = new QueueOrder(cluster);
    this.reservations = new CommitReservations(cluster);
    PlacementRules rules = new PlacementRules(cluster);
    this.placer = new JobPlacer(cluster, random, rules, quota);
    this.preemption = new Preemption(cluster, rules, quota);
  }

  /**
   * Sets the results of the last fleet plan that placement uses.
   *
   * @param yieldingToTeammates jobs that yield to other jobs of their team
   * @param deferrable jobs that can wait for room beyond their guarantee
   */
  void onFleetPlan(Set<Job> yieldingToTeammates, Set<Job> deferrable) {
    order.setYieldingToTeammates(yieldingToTeammates);
    preemption.setDeferrable(deferrable);
  }

  /**
   * Places as many tasks as possible and returns the new claims, which are counted but not
   * committed yet.
   *
   * @param changeBudget number of records that arrays may change in this round; services may exceed
   *     it
   */
  List<Claim> placeTasks(int changeBudget, double now) {
    List<Claim> claims = new ArrayList<>();
    List<QueueOrder.Entry> queue = waitingJobs(now);
    if (queue.isEmpty()) {
      return claims;
    }
    queue.sort(null);
    quota.reserveForStarvedJobs(now);
    reservations.reserve(queue, now);
    List<Machine> usable = usableMachines(now);
    Context context = new Context(usable, machinesWithRoom(usable, queue), claims, now);
    int changesLeft = changeBudget - startOverdueJobs(queue, context);
    for (int from = 0, to; from < queue.size(); from = to) {
      to = endOfGroup(queue, from);
      changesLeft = placeGroup(queue.subList(from, to), changesLeft, context);
    }
    preemption.makeRoom(queue, usable, now);
    return claims;
  }

  /** The waiting jobs, without those that recently found no room if none was freed since. */
  private List<QueueOrder.Entry> waitingJobs(double now) {
    order.beginRound(now);
    List<QueueOrder.Entry> queue = new ArrayList<>();
    for (Job job : cluster.jobs.values()) {
      if (job.isWaiting() && !foundNoRoomRecently(job, now)) {
        queue.add(order.entry(job, now));
      }
    }
    return queue;
  }

  private boolean foundNoRoomRecently(Job job, double now) {
    return job.noRoomAtVersion == cluster.roomVersion && now - job.noRoomSince < NO_ROOM_PAUSE_S;
  }

  private List<Machine> usableMachines(double now) {
    List<Machine> usable = new ArrayList<>();
    for (Machine machine : cluster.machines.values()) {
      if (MachineAvailability.isAvailable(cluster, machine, now)) {
        usable.add(machine);
      }
    }
    cluster.examinedCount += cluster.machines.size();
    return usable;
  }

  /**
   * Places the first task of each job that has waited too long for its first start, whatever its
   * priority; returns the number of records changed. On a fleet filled by work of higher priority,
   * a job of the lowest priority would otherwise never start.
   */
  private int startOverdueJobs(List<QueueOrder.Entry> queue, Context context) {
    int changed = 0;
    for (QueueOrder.Entry entry : queue) {
      Job job = entry.job;
      if (job.neverClaimed() && context.now() - job.eligibleSince > OVERDUE_START_S) {
        changed += placer.place(job, 1, false, context);
      }
    }
    return changed;
  }

  /** The end (exclusive) of the group of entries from {@code from} that have the same rank. */
  private static int endOfGroup(List<QueueOrder.Entry> queue, int from) {
    int to = from + 1;
    while (to < queue.size() && queue.get(from).hasSameRankAs(queue.get(to))) {
      to++;
    }
    return to;
  }

  /**
   * Places jobs of the same rank; returns how much of the change budget is left. Arrays go first to
   * machines that have their image: on a full fleet, room is freed a little at a time, and each
   * image fetch leaves it idle. A single job needs no separate pass, since it prefers these
   * machines anyway.
   */
  private int placeGroup(List<QueueOrder.Entry> group, int changeBudget, Context context) {
    int changesLeft = changeBudget;
    boolean singleJob = group.size() == 1;
    for (boolean withImageOnly : singleJob ? SINGLE_JOB_PASSES : GROUP_PASSES) {
      for (QueueOrder.Entry entry : group) {
        Job job = entry.job;
        boolean service = job.spec.isService();
        if (service && !withImageOnly && !singleJob) {
          continue; // The first pass placed it wherever there was room.
        }
        int unreservedTasks =
            reservations.maxUnreservedTasks(job, context.usable(), context.claims());
        if (changesLeft <= 0 && !service) {
          job.waitReason = WaitReason.WRITE_RATE;
          continue;
        }
        int maxTasks = Math.min(job.spec.batchCapacity(), unreservedTasks);
        changesLeft -= placer.place(job, maxTasks, withImageOnly && !service, context);
      }
    }
    return changesLeft;
  }

  /**
   * The machines on which the smallest waiting task may fit. Room only shrinks while a round places
   * tasks, so no job can use the others. On a busy fleet those are most machines, and each waiting
   * job would examine all of them.
   */
  private static List<Machine> machinesWithRoom(
      List<Machine> usable, List<QueueOrder.Entry> queue) {
    double smallestTaskCpus = Double.MAX_VALUE;
    for (QueueOrder.Entry entry : queue) {
      smallestTaskCpus = Math.min(smallestTaskCpus, entry.job.taskResources.cpus());
    }
    double minFreeCpus = smallestTaskCpus - Resources.ROUNDING_TOLERANCE;
    List<Machine> withRoom = new ArrayList<>();
    for (Machine machine : usable) {
      if (machine.freeCpus() >= minFreeCpus) {
        withRoom.add(machine);
      }
    }
    return withRoom;
  }
}
