package graderelay.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Placement rounds: in queue order, each waiting task takes the best fit of a few machines drawn
 * from those that send heartbeats, and where there is no room, work that may be preempted for it is
 * stopped. {@link JobPlacer} places the tasks of one job.
 */
final class PlacementRound {
  /** Seconds for which a job that found no room waits while no room was freed. */
  private static final double NO_ROOM_PAUSE_S = 0.25;

  /**
   * Seconds after its submission from which the first task of a job that has never begun takes the
   * next room whatever its priority.
   */
  private static final double MUST_BEGIN_S = 150;

  /** Whether only machines with the image count, for a rank that is placed in a single pass. */
  private static final boolean[] ONE_PASS = {false};

  /** The same for a rank of several jobs: machines with the image first, then all. */
  private static final boolean[] WARM_PASS_FIRST = {true, false};

  private final ClusterState cluster;
  private final QuotaGate quota;
  private final QueueOrder order;
  private final CommitReservations reservations;
  private final JobPlacer placer;
  private final Preemption preemption;

  /**
   * What all steps of one placement round share.
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

  /** Takes what the last fleet plan found of the jobs that wait. */
  void planned(Set<Job> yieldingToTeammates, Set<Job> deferrable) {
    order.yieldingToTeammates(yieldingToTeammates);
    preemption.deferrable(deferrable);
  }

  /**
   * Places what can be placed and returns the new claims, counted but not committed yet.
   *
   * @param changes records that arrays may change in this round; services may go beyond it
   */
  List<Claim> round(int changes, double now) {
    List<Claim> claims = new ArrayList<>();
    List<QueueOrder.Entry> queue = waiting(now);
    if (queue.isEmpty()) {
      return claims;
    }
    queue.sort(null);
    quota.reserveForStarvedJobs(now);
    reservations.reserve(queue, now);
    List<Machine> usable = usableMachines(now);
    Context context = new Context(usable, withRoom(usable, queue), claims, now);
    int changesLeft = changes - startOverdueJobs(queue, context);
    for (int from = 0, to; from < queue.size(); from = to) {
      to = endOfRank(queue, from);
      changesLeft = placeRank(queue.subList(from, to), changesLeft, context);
    }
    preemption.makeRoom(queue, usable, now);
    return claims;
  }

  /** The jobs that wait, except those that found no room of late and nothing changed since. */
  private List<QueueOrder.Entry> waiting(double now) {
    order.beginRound(now);
    List<QueueOrder.Entry> queue = new ArrayList<>();
    for (Job job : cluster.jobs.values()) {
      if (job.waiting() && !foundNoRoomOfLate(job, now)) {
        queue.add(order.entry(job, now));
      }
    }
    return queue;
  }

  private boolean foundNoRoomOfLate(Job job, double now) {
    return job.noRoomVersion == cluster.roomVersion && now - job.noRoomSince < NO_ROOM_PAUSE_S;
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
   * Places the first task of each job that has waited longest, whatever its priority; returns the
   * records changed. On a fleet filled by work of higher priority, a job of the lowest priority
   * would not begin at all.
   */
  private int startOverdueJobs(List<QueueOrder.Entry> queue, Context context) {
    int changed = 0;
    for (QueueOrder.Entry entry : queue) {
      Job job = entry.job;
      if (job.neverBegan() && context.now() - job.eligibleSince > MUST_BEGIN_S) {
        changed += placer.place(job, 1, false, context);
      }
    }
    return changed;
  }

  /** The end (exclusive) of the run of entries from {@code from} with the same claim to room. */
  private static int endOfRank(List<QueueOrder.Entry> queue, int from) {
    int to = from + 1;
    while (to < queue.size() && queue.get(from).ranksWith(queue.get(to))) {
      to++;
    }
    return to;
  }

  /**
   * Places jobs with the same claim to room; returns the record changes left. Of arrays, first
   * those whose image is there already: on a full fleet, slots come back a few at a time, and each
   * fetch leaves one idle. One that ranks alone takes the best machines first anyway.
   */
  private int placeRank(List<QueueOrder.Entry> rank, int changes, Context context) {
    int changesLeft = changes;
    boolean alone = rank.size() == 1;
    for (boolean warmOnly : alone ? ONE_PASS : WARM_PASS_FIRST) {
      for (QueueOrder.Entry entry : rank) {
        Job job = entry.job;
        boolean service = job.spec.isService();
        if (service && !warmOnly && !alone) {
          continue; // Placed by the first pass, wherever there was room.
        }
        int unreserved = reservations.unreserved(job, context.usable(), context.claims());
        if (changesLeft <= 0 && !service) {
          job.waitReason = "changes of the state service are used up for the moment";
          continue;
        }
        int mostTasks = Math.min(job.spec.batchCapacity(), unreserved);
        changesLeft -= placer.place(job, mostTasks, warmOnly && !service, context);
      }
    }
    return changesLeft;
  }

  /**
   * The machines on which the smallest task that waits may fit. Room only shrinks while a round
   * places, so no job finds any on the others; on a busy fleet those are most, and each waiting job
   * would examine all of them.
   */
  private static List<Machine> withRoom(List<Machine> usable, List<QueueOrder.Entry> queue) {
    double leastCpus = Double.MAX_VALUE;
    for (QueueOrder.Entry entry : queue) {
      leastCpus = Math.min(leastCpus, entry.job.taskResources.cpus());
    }
    double smallest = leastCpus - Resources.SLACK;
    List<Machine> withRoom = new ArrayList<>();
    for (Machine machine : usable) {
      if (machine.freeCpus() >= smallest) {
        withRoom.add(machine);
      }
    }
    return withRoom;
  }
}
