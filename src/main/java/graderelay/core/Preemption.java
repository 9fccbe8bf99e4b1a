package graderelay.core;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Preempts claims after the placement of a round, for jobs that found no room: claims of lower
 * priority, or those of another team beyond its guarantee while the job is within its own. It stops
 * work on as few machines, and loses as little of it, as possible; {@link PreemptionCandidates}
 * computes the cost.
 */
final class Preemption {
  /**
   * Time from the stop of a task to the start of another in its place, without the time to save
   * progress: the worker's heartbeat, the change that ends the claim, the next claim, and the
   * launch. If a start objective leaves no time to save progress besides this, the task is stopped
   * without it; the claims with the least lost work are chosen.
   */
  private static final double RESTART_S = 2;

  /** Share of the fleet's CPUs up to which work of lower priority is not preempted for arrays. */
  private static final double SPARED_FLEET_SHARE = 0.1;

  private final ClusterState cluster;
  private final PlacementRules rules;
  private final QuotaGate quota;
  private final PreemptionCandidates candidates;

  /** Jobs that can wait for room beyond their guarantee, see {@link Deadlines#deferrableJobs}. */
  private Set<Job> deferrable = Set.of();

  /** Whether there is too little work below a priority to preempt it; computed once a round. */
  private final Map<Priority, Boolean> littleLowerPriorityWork = new EnumMap<>(Priority.class);

  /**
   * Demands for which no room can be made in this round. Without this, each of a thousand waiting
   * jobs that are alike would examine every machine and its claims.
   */
  private final Set<Demand> unsatisfiable = new HashSet<>();

  /** Everything that decides whether room can be made for a task, except for the cost. */
  private record Demand(
      String team,
      Priority priority,
      Resources taskResources,
      List<String> types,
      String zone,
      boolean spot) {
    /** The demand of a job, or null if its own claims and failures also decide. */
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
    this.candidates = new PreemptionCandidates(cluster, rules);
  }

  /** Sets the deferrable jobs, as of the last fleet plan. */
  void setDeferrable(Set<Job> jobs) {
    deferrable = jobs;
  }

  /** Makes room for each job of the round that still has open tasks, in queue order. */
  void makeRoom(List<QueueOrder.Entry> queue, List<Machine> usable, double now) {
    littleLowerPriorityWork.clear();
    unsatisfiable.clear();
    candidates.beginRound();
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
    if (tasks <= 0 || !(guaranteed || cluster.claimCountByPriority.hasLowerThan(job.priority()))) {
      return;
    }
    if (cluster.admission.isStopped(job.spec.team()) || !quota.limitAllows(job)) {
      return;
    }
    if (!guaranteed && deferrable.contains(job)) {
      // Each of its tasks could preempt dozens of small ones, at two changes of the store each.
      return;
    }
    Demand demand = Demand.of(job);
    if (unsatisfiable.contains(demand)
        || (!guaranteed && sparesLowerPriorityWork(job, usable, now))) {
      return;
    }
    boolean roomMade = new RoomSearch(job, guaranteed, usable, now).preemptFor(tasks);
    if (!roomMade && demand != null) {
      unsatisfiable.add(demand); // Other jobs only reduce what can be preempted.
    }
  }

  /** Number of open tasks for which room should be made; 0 or negative if there are none. */
  private int tasksWithoutRoom(Job job) {
    // A task that only waits for its record's change may find room without preemption.
    int open = job.openTasks.cardinality() - CommitReservations.tasksAwaitingCommit(cluster, job);
    return Math.min(open, rules.maxConcurrentClaims(job) - job.claims.size())
        - job.pendingPreemptions;
  }

  /** The search for claims to preempt for one job, for one task after the other. */
  private final class RoomSearch {
    private final Job job;
    private final boolean guaranteed;
    private final List<Machine> usable;
    private final double now;

    /** Whether the next task keeps the job's team within its guarantee, as of the last search. */
    private boolean withinGuarantee;

    /** The candidates, cheapest first; null before the first task. */
    private PriorityQueue<PreemptionCandidates.Candidate> candidatesByCost;

    private RoomSearch(Job job, boolean guaranteed, List<Machine> usable, double now) {
      this.job = job;
      this.guaranteed = guaranteed;
      this.usable = usable;
      this.now = now;
    }

    /**
     * Preempts the cheapest claims for up to this many tasks. Returns false if the machines can't
     * make room for a single one; a quota that allows no more tasks does not count as that.
     */
    boolean preemptFor(int tasks) {
      Resources plannedResources = Resources.NONE;
      for (int tasksWithRoom = 0; tasksWithRoom < tasks; tasksWithRoom++) {
        plannedResources = plannedResources.plus(job.taskResources);
        if (!cluster.quotas.withinLimit(job.spec.team(), plannedResources)) {
          return true;
        }
        refreshCandidates(plannedResources);
        PreemptionCandidates.Candidate best = cheapestCandidate();
        if (best == null) {
          return tasksWithRoom > 0;
        }
        preempt(best.victims(), job, now);
        PreemptionCandidates.Candidate next =
            candidates.findCheapest(job, best.machine(), withinGuarantee, now);
        if (next != null) {
          candidatesByCost.add(next);
        }
      }
      return true;
    }

    /** Searches all machines for the first task, and again once the guarantee is used up. */
    private void refreshCandidates(Resources planned) {
      boolean stillWithinGuarantee =
          guaranteed && cluster.quotas.withinGuarantee(job.spec.team(), planned);
      if (candidatesByCost == null || stillWithinGuarantee != withinGuarantee) {
        withinGuarantee = stillWithinGuarantee;
        candidatesByCost = candidates.findAll(job, usable, stillWithinGuarantee, now);
      }
    }

    /** Removes and returns the cheapest candidate that is still valid, or null. */
    private PreemptionCandidates.Candidate cheapestCandidate() {
      boolean zoneConstrained = PlacementRules.isZoneConstrained(job);
      PreemptionCandidates.Candidate best = null;
      while (best == null && !candidatesByCost.isEmpty()) {
        PreemptionCandidates.Candidate candidate = candidatesByCost.poll();
        if (zoneConstrained && !PlacementRules.isZoneAllowed(job, candidate.machine().zone)) {
          continue;
        }
        // Preemptions since then may have reduced a team to its guarantee.
        best =
            withinGuarantee
                ? candidates.findCheapest(job, candidate.machine(), true, now)
                : candidate;
      }
      return best;
    }
  }

  /**
   * True if there is so little work of lower priority that it is not preempted for this job. On a
   * full fleet, many small long-running tasks were preempted repeatedly, dozens for each start, and
   * made no progress for minutes; each preemption also costs two changes of the store. An array
   * takes the next room that is freed instead.
   */
  private boolean sparesLowerPriorityWork(Job job, List<Machine> usable, double now) {
    return !job.spec.isService()
        && !QueueOrder.isStarved(job, now)
        && littleLowerPriorityWork.computeIfAbsent(
            job.priority(), priority -> littleLowerPriorityWork(priority, usable));
  }

  private boolean littleLowerPriorityWork(Priority priority, List<Machine> usable) {
    double fleetCpus = 0;
    for (Machine machine : usable) {
      fleetCpus += machine.capacity.cpus();
    }
    double lowerPriorityCpus = 0;
    for (Job other : cluster.jobs.values()) {
      if (priority.isHigherThan(other.priority())) {
        lowerPriorityCpus += other.claims.size() * other.spec.cpus();
      }
    }
    cluster.examinedCount += usable.size();
    return lowerPriorityCpus <= fleetCpus * SPARED_FLEET_SHARE;
  }

  /**
   * Preempts the claims to make room for one task of the job; the first claim counts as the
   * preemption for it.
   */
  private void preempt(List<Claim> claims, Job job, double now) {
    Double startObjectiveS = cluster.policy.startObjectivesS().get(job.spec.jobClass());
    boolean first = true;
    for (Claim claim : claims) {
      boolean noTimeToSave =
          job.priority().isHigherThan(claim.priority)
              && startObjectiveS != null
              && startObjectiveS < claim.job.spec.saveS() + RESTART_S;
      cluster.requestStop(claim, now);
      candidates.onStopRequested(claim);
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
