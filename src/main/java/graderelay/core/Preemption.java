package graderelay.core;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Makes room by preemption, after the placement of a round: stops work of lower priority, or work
 * that another team runs beyond its guarantee while the job is within its own, on as few machines
 * and with as little lost as possible. {@link PreemptionOffers} finds what stopping would cost.
 */
final class Preemption {
  /**
   * Seconds from a stop to the start in its place, without the time to save: the worker's
   * heartbeat, the change that ends the claim, the next claim, its launch. Where saving doesn't
   * leave as much of a start objective, the work is stopped at once; what has lost least is chosen.
   */
  private static final double RESTART_S = 2;

  /** Share of the fleet that work of lower priority may have without being stopped for arrays. */
  private static final double SPARED_SHARE = 0.1;

  private final ClusterState cluster;
  private final PlacementRules rules;
  private final QuotaGate quota;
  private final PreemptionOffers offers;

  /** Jobs that can wait for room beyond their guarantee, see {@link Deadlines#deferrable}. */
  private Set<Job> deferrable = Set.of();

  /** Whether what a priority outranks is too little to stop, worked out once a round. */
  private final Map<Priority, Boolean> littleOutranked = new EnumMap<>(Priority.class);

  /**
   * Demands for which no room can be made in this round. A thousand jobs that wait differ in little
   * else than their names, and each would look at every machine and its claims.
   */
  private final Set<Demand> unsatisfiable = new HashSet<>();

  /** All that decides whether room can be made for a task, apart from what it would cost. */
  private record Demand(
      String team,
      Priority priority,
      Resources need,
      List<String> types,
      String zone,
      boolean spot) {
    /** Null for a job whose own claims and failures decide as well. */
    static Demand of(Job job) {
      JobSpec spec = job.spec;
      return spec.oneZone() || spec.spread() || !job.failedMachines.isEmpty()
          ? null
          : new Demand(
              spec.team(),
              job.priority(),
              job.taskResources,
              spec.types(),
              spec.zone(),
              spec.spot());
    }
  }

  Preemption(ClusterState cluster, PlacementRules rules, QuotaGate quota) {
    this.cluster = cluster;
    this.rules = rules;
    this.quota = quota;
    this.offers = new PreemptionOffers(cluster, rules);
  }

  /** Takes the deferrable jobs as of the last fleet plan. */
  void deferrable(Set<Job> jobs) {
    deferrable = jobs;
  }

  /** Makes room, in queue order, for each job of the round that still has open tasks. */
  void makeRoom(List<QueueOrder.Entry> queue, List<Machine> usable, double now) {
    littleOutranked.clear();
    unsatisfiable.clear();
    offers.beginRound();
    for (QueueOrder.Entry entry : queue) {
      Job job = entry.job;
      if (!job.openTasks.isEmpty() && job.notBefore <= now) {
        makeRoom(job, usable, now);
      }
    }
  }

  private void makeRoom(Job job, List<Machine> usable, double now) {
    int tasks = tasksWithoutRoom(job);
    boolean guaranteed = cluster.quotas.withinGuarantee(job.spec.team(), job.taskResources);
    if (tasks <= 0 || !(guaranteed || cluster.claimCountByPriority.hasBelow(job.priority()))) {
      return;
    }
    if (cluster.admission.isStopped(job.spec.team()) || !quota.limitAllows(job)) {
      return;
    }
    if (!guaranteed && deferrable.contains(job)) {
      // Each task of it may cost dozens of small ones their work, and two changes each.
      return;
    }
    Demand demand = Demand.of(job);
    if (unsatisfiable.contains(demand) || (!guaranteed && sparesOutranked(job, usable, now))) {
      return;
    }
    boolean roomMade = new RoomSearch(job, guaranteed, usable, now).preemptFor(tasks);
    if (!roomMade && demand != null) {
      unsatisfiable.add(demand); // Others only take away what might be stopped.
    }
  }

  /** Open tasks of the job for which room should be made; none or less means no task. */
  private int tasksWithoutRoom(Job job) {
    // What only waits for a change of its record may find room already.
    int open = job.openTasks.cardinality() - CommitReservations.awaitingCommit(cluster, job);
    return Math.min(open, rules.mostTried(job) - job.claims.size()) - job.pendingPreemptions;
  }

  /** The search for claims to stop for one job, one task's room at a time. */
  private final class RoomSearch {
    private final Job job;
    private final boolean guaranteed;
    private final List<Machine> usable;
    private final double now;

    /** Whether the next task keeps the job's team within its guarantee, as of the last offers. */
    private boolean withinGuarantee;

    /** Cheapest first; null before the first task. */
    private PriorityQueue<PreemptionOffers.Offer> byCost;

    private RoomSearch(Job job, boolean guaranteed, List<Machine> usable, double now) {
      this.job = job;
      this.guaranteed = guaranteed;
      this.usable = usable;
      this.now = now;
    }

    /**
     * Stops the cheapest claims for up to this many tasks. Returns false if the machines can't make
     * room for a single one; a quota that allows no more is no reason for that.
     */
    boolean preemptFor(int tasks) {
      Resources planned = Resources.NONE;
      for (int made = 0; made < tasks; made++) {
        planned = planned.plus(job.taskResources);
        if (!cluster.quotas.withinLimit(job.spec.team(), planned)) {
          return true;
        }
        refreshOffers(planned);
        PreemptionOffers.Offer best = cheapestOffer();
        if (best == null) {
          return made > 0;
        }
        stop(best.claims(), job, now);
        PreemptionOffers.Offer next = offers.offer(job, best.machine(), withinGuarantee, now);
        if (next != null) {
          byCost.add(next);
        }
      }
      return true;
    }

    /** Looks at all machines for the first task, and again once the guarantee is used up. */
    private void refreshOffers(Resources planned) {
      boolean within = guaranteed && cluster.quotas.withinGuarantee(job.spec.team(), planned);
      if (byCost == null || within != withinGuarantee) {
        withinGuarantee = within;
        byCost = offers.offers(job, usable, within, now);
      }
    }

    /** Takes out and returns the cheapest offer that still stands, or null. */
    private PreemptionOffers.Offer cheapestOffer() {
      boolean zoned = PlacementRules.zoned(job);
      PreemptionOffers.Offer best = null;
      while (best == null && !byCost.isEmpty()) {
        PreemptionOffers.Offer offer = byCost.poll();
        if (zoned && !PlacementRules.zoneAllowed(job, offer.machine().zone)) {
          continue;
        }
        // What others were told to give up since may have brought a team down to its guarantee.
        best = withinGuarantee ? offers.offer(job, offer.machine(), true, now) : offer;
      }
      return best;
    }
  }

  /**
   * True if what the job outranks is so little that it is spared: on a full fleet, a swarm of small
   * long tasks was stopped again and again, dozens for each start, got nothing done in minutes, and
   * every stop is two more changes of the store. An array takes the next room instead.
   */
  private boolean sparesOutranked(Job job, List<Machine> usable, double now) {
    return !job.spec.isService()
        && !QueueOrder.starved(job, now)
        && littleOutranked.computeIfAbsent(job.priority(), p -> littleOutranked(p, usable));
  }

  private boolean littleOutranked(Priority priority, List<Machine> usable) {
    double fleetCpus = 0;
    for (Machine machine : usable) {
      fleetCpus += machine.capacity.cpus();
    }
    double outrankedCpus = 0;
    for (Job other : cluster.jobs.values()) {
      if (priority.beats(other.priority())) {
        outrankedCpus += other.claims.size() * other.spec.cpus();
      }
    }
    cluster.examinedCount += usable.size();
    return outrankedCpus <= fleetCpus * SPARED_SHARE;
  }

  /** Stops the claims to make room for one task of the job; the first counts as made for it. */
  private void stop(List<Claim> claims, Job job, double now) {
    Double startObjectiveS = cluster.policy.startObjectivesS().get(job.spec.jobClass());
    boolean first = true;
    for (Claim claim : claims) {
      boolean noTimeToSave =
          job.priority().beats(claim.priority)
              && startObjectiveS != null
              && startObjectiveS < claim.job.spec.saveS() + RESTART_S;
      cluster.requestStop(claim, now);
      offers.stopped(claim);
      claim.stopWithoutGrace = noTimeToSave;
      if (first) {
        claim.preemptedFor = job;
        job.pendingPreemptions++;
        first = false;
      }
      cluster.log(
          "preempt "
              + claim.taskId()
              + " attempt "
              + claim.attempt
              + " on "
              + claim.machine
              + " for "
              + job.spec.id());
    }
  }
}
