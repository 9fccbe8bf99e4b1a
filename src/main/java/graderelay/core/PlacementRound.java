package graderelay.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Placement rounds: in queue order, each waiting task takes the best fit of a few machines drawn
 * from those that send heartbeats, and where there is no room, work that may be preempted for it is
 * stopped.
 */
final class PlacementRound {
  /** Seconds for which a job that found no room waits while no room was given back. */
  private static final double NO_ROOM_PAUSE_S = 0.25;

  /**
   * Seconds after its submission from which the first task of a job that has never begun takes the
   * next room whatever its priority, for the same reason.
   */
  private static final double MUST_BEGIN_S = 150;

  private static final double PAUSE = NO_ROOM_PAUSE_S;
  private final ClusterState cluster;
  private final RandomGenerator random;
  private final PlacementRules rules;
  private final QuotaGate quota;
  private final QueueOrder order;
  private final CommitReservations reservations;
  private final Preemption preemption;

  PlacementRound(ClusterState cluster, RandomGenerator random) {
    this.cluster = cluster;
    this.random = random;
    this.rules = new PlacementRules(cluster);
    this.quota = new QuotaGate(cluster);
    this.order = new QueueOrder(cluster);
    this.reservations = new CommitReservations(cluster);
    this.preemption = new Preemption(cluster, rules, quota);
  }

  /** What the last fleet plan found of the jobs that wait. */
  void planned(Set<Job> steppingBack, Set<Job> waitingAtLeisure) {
    order.steppingBack(steppingBack);
    preemption.atLeisure(waitingAtLeisure);
  }

  /**
   * Places what can be placed and returns the new claims, counted but not committed yet.
   *
   * @param changes records that arrays may change in this round; services may go beyond it
   */
  List<Claim> round(int changes, double now) {
    List<Claim> claims = new ArrayList<>();
    List<QueueOrder.Entry> waiting = waiting(now);
    if (waiting.isEmpty()) {
      return claims;
    }
    List<Machine> usable = new ArrayList<>();
    for (Machine m : cluster.machines.values()) {
      if (MachineAvailability.isAvailable(cluster, m, now)) {
        usable.add(m);
      }
    }
    cluster.examinedCount += cluster.machines.size();
    waiting.sort(null);
    quota.keepLimits(now);
    reservations.reserve(waiting, now);
    List<Machine> roomy = withRoom(usable, waiting);
    int left = changes;
    for (QueueOrder.Entry k : waiting) {
      // On a fleet that work above it fills, a guest's job would not begin at all.
      if (k.job.neverBegan() && now - k.job.eligibleSince > MUST_BEGIN_S) {
        left -= place(k.job, usable, roomy, false, 1, claims, now);
      }
    }
    for (int from = 0, to; from < waiting.size(); from = to) {
      to = from + 1;
      while (to < waiting.size() && waiting.get(from).ranksWith(waiting.get(to))) {
        to++;
      }
      left = placeRank(waiting.subList(from, to), left, usable, roomy, claims, now);
    }
    preemption.makeRoom(waiting, usable, now);
    return claims;
  }

  /** The jobs that wait, except those that found no room of late and nothing changed since. */
  private List<QueueOrder.Entry> waiting(double now) {
    order.beginRound(now);
    List<QueueOrder.Entry> waiting = new ArrayList<>();
    for (Job j : cluster.jobs.values()) {
      if (j.waiting() && !(j.noRoomVersion == cluster.roomVersion && now - j.noRoomSince < PAUSE)) {
        waiting.add(order.entry(j, now));
      }
    }
    return waiting;
  }

  /**
   * Places jobs with the same claim to room; returns the record changes left. Of arrays, first
   * those whose image is there already: on a full fleet, slots come back a few at a time, and each
   * fetch leaves one idle. One that ranks alone takes the best machines first anyway.
   */
  private int placeRank(
      List<QueueOrder.Entry> rank,
      int changesLeft,
      List<Machine> usable,
      List<Machine> roomy,
      List<Claim> claims,
      double now) {
    int left = changesLeft;
    boolean alone = rank.size() == 1;
    for (boolean warmOnly : alone ? new boolean[] {false} : new boolean[] {true, false}) {
      for (QueueOrder.Entry k : rank) {
        boolean service = k.job.spec.isService();
        if (service && !warmOnly && !alone) {
          continue; // Placed by the first pass, wherever there was room.
        }
        boolean may = left > 0 || service;
        int most =
            Math.min(k.job.spec.batchCapacity(), reservations.unreserved(k.job, usable, claims));
        left -= may ? place(k.job, usable, roomy, warmOnly && !service, most, claims, now) : 0;
        if (!may) {
          k.job.waitReason = "changes of the state service are used up for the moment";
        }
      }
    }
    return left;
  }

  /**
   * The machines on which the smallest task that waits may fit. Room only shrinks while a round
   * places, so nobody finds any on the others; on a busy fleet those are most, and each job that
   * waits would look at every one of them.
   */
  private static List<Machine> withRoom(List<Machine> usable, List<QueueOrder.Entry> waiting) {
    double least = Double.MAX_VALUE;
    for (QueueOrder.Entry k : waiting) {
      least = Math.min(least, k.job.taskResources.cpus());
    }
    double smallest = least - Resources.SLACK;
    List<Machine> roomy = new ArrayList<>();
    for (Machine m : usable) {
      if (m.capacity.cpus() - m.used.cpus() >= smallest) {
        roomy.add(m);
      }
    }
    return roomy;
  }

  /** The wait reason of a job that backs off after failures. */
  private static String backingOff(Job j) {
    return j.suspect
        ? "it fails on every machine (" + j.failedMachines.size() + "); tried again later"
        : "backing off after failures";
  }

  /** The wait reason of a job of which no task may be placed in this round, or null. */
  private String noneThisRound(Job j, int most, double now) {
    if (most <= 0) {
      j.noRoomVersion = cluster.roomVersion;
      j.noRoomSince = now;
      return "room is kept for work above it";
    }
    if (j.claims.size() >= rules.mostTried(j)) {
      return "a few of its tasks are tried first, since it may fail on every machine";
    }
    return null;
  }

  /**
   * Places what it can of one job and returns how many records that changes.
   *
   * @param usable all machines that may be given tasks
   * @param roomy those of them that may have room
   */
  private int place(
      Job j,
      List<Machine> usable,
      List<Machine> roomy,
      boolean warmOnly,
      int most,
      List<Claim> claims,
      double now) {
    if (j.notBefore > now) {
      j.waitReason = backingOff(j);
      return 0;
    }
    if (quota.obstructed(j)) {
      return 0;
    }
    String none = noneThisRound(j, most, now);
    if (none != null) {
      j.waitReason = none;
      return 0;
    }
    CandidateMachines fit = null;
    int placed = 0;
    int changed = 0;
    Job.TaskBatch last = null;
    for (int t = j.openTasks.nextSetBit(0); t >= 0; t = j.openTasks.nextSetBit(t + 1)) {
      Job.TaskBatch taskBatch = j.taskBatches.get(j.spec.batchOf(t));
      if (taskBatch != null && (taskBatch.inFlight || taskBatch.fullUntil > now)) {
        j.waitReason =
            taskBatch.inFlight
                ? "a change of its slice is being committed"
                : "its record is as large as the state service allows";
        // Skip to the next task batch.
        t = (j.spec.batchOf(t) + 1) * j.spec.batchCapacity() - 1;
        continue;
      }
      if (!quota.limitAllows(j)) {
        j.waitReason = quota.limitReason(j);
        return changed;
      }
      if (fit == null) {
        fit = new CandidateMachines(cluster, random, rules, j, roomy, warmOnly);
      }
      Machine m = fit.pick();
      if (m != null && !m.hasImage(j.spec.image()) && fit.warmRoomCanBeMade(usable, now)) {
        j.waitReason = "room is being made where its image is";
        return changed;
      }
      if (m == null) {
        noRoom(j, usable, warmOnly, now);
        return changed;
      }
      Job.TaskBatch s = j.taskBatch(j.spec.batchOf(t));
      int attempt = s.record.attempt(t - s.firstTask) + 1;
      Claim c = new Claim(j, t, attempt, m.name, m.session, now);
      cluster.addClaim(c, now);
      claims.add(c);
      changed += s == last ? 0 : 1;
      last = s;
      if (j.claims.size() >= rules.mostTried(j)) {
        return changed;
      }
      if (++placed >= most) {
        j.waitReason = "slice cap of a round";
        return changed;
      }
    }
    return changed;
  }

  /** Notes that no machine had room, unless only warm machines were looked at. */
  private void noRoom(Job j, List<Machine> usable, boolean warmOnly, double now) {
    if (warmOnly) {
      return;
    }
    j.waitReason = usable.isEmpty() ? "no machine reports" : "no room on an allowed machine";
    j.noRoomVersion = cluster.roomVersion;
    j.noRoomSince = now;
  }
}
