package graderelay.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Finds the cost of making room for a task by preemption: for each machine, the claims to preempt
 * and the work that would be lost. During a round it also tracks what each team is about to lose.
 */
final class PreemptionCandidates {
  /** Cost of one image fetch, in seconds of lost work. */
  private static final double IMAGE_FETCH_COST_S = 20;

  /**
   * Cost of each preemption in seconds of lost work, whatever the task has done so far: the task's
   * end, its next claim and its next end are changes of the store, which allows some tens a second.
   */
  private static final double PREEMPTION_COST_S = 4;

  /** Cost of preempting a claim that does not run yet, in seconds of lost work. */
  private static final double NOT_RUNNING_COST_S = 0.5;

  /**
   * A way to make room on one machine.
   *
   * @param machine the machine
   * @param victims the claims to preempt
   * @param costS cost in seconds of lost work
   */
  record Candidate(Machine machine, List<Claim> victims, double costS) {}

  private final ClusterState cluster;
  private final PlacementRules rules;

  /**
   * Resources of each team's claims that are being stopped, so that no team is preempted to below
   * its guarantee.
   */
  private final Map<String, Resources> stoppingByTeam = new HashMap<>();

  PreemptionCandidates(ClusterState cluster, PlacementRules rules) {
    this.cluster = cluster;
    this.rules = rules;
  }

  /** Recomputes the resources that teams are about to lose. */
  void beginRound() {
    stoppingByTeam.clear();
    for (Claim claim : cluster.stoppingClaims) {
      onStopRequested(claim);
    }
  }

  /** Counts the resources of a claim that was requested to stop as lost to its team. */
  void onStopRequested(Claim claim) {
    stoppingByTeam.merge(claim.job.spec.team(), claim.resources(), Resources::plus);
  }

  /**
   * The candidates of all machines on which room for a task of the job can be made, cheapest first.
   *
   * @param withinGuarantee whether the task is within its team's guarantee, so that other teams'
   *     claims beyond their guarantees may be preempted as well
   */
  PriorityQueue<Candidate> findAll(
      Job job, List<Machine> usable, boolean withinGuarantee, double now) {
    PriorityQueue<Candidate> candidates =
        new PriorityQueue<>(Comparator.comparingDouble(Candidate::costS));
    cluster.examinedCount += usable.size();
    for (Machine machine : usable) {
      boolean mayHaveVictims =
          withinGuarantee
              ? !machine.claims.isEmpty()
              : machine.claimCountByPriority.hasLowerThan(job.priority());
      if (mayHaveVictims
          && rules.isAllowed(job, machine, now)
          && PlacementRules.isZoneAllowed(job, machine.zone)) {
        Candidate candidate = findCheapest(job, machine, withinGuarantee, now);
        if (candidate != null) {
          candidates.add(candidate);
        }
      }
    }
    return candidates;
  }

  /**
   * The cheapest way to make room for a task of the job on the machine, or null if there is none.
   */
  Candidate findCheapest(Job job, Machine machine, boolean withinGuarantee, double now) {
    List<Claim> victims = selectVictims(job, machine, withinGuarantee, now);
    if (victims == null) {
      return null;
    }
    double costS = machine.hasImage(job.spec.image()) ? 0 : IMAGE_FETCH_COST_S;
    for (Claim claim : victims) {
      costS += lostWorkS(claim, now) + PREEMPTION_COST_S;
    }
    return new Candidate(machine, victims, costS);
  }

  /** Run time in seconds that is lost when a claim is preempted, weighted by its CPUs. */
  private static double lostWorkS(Claim claim, double now) {
    if (claim.stage != Heartbeat.Stage.RUNNING) {
      return NOT_RUNNING_COST_S;
    }
    double ranS = now - claim.stageSince;
    double checkpointS = claim.job.spec.checkpointS();
    double sinceCheckpointS = checkpointS > 0 ? ranS % checkpointS : ranS;
    return sinceCheckpointS * claim.job.spec.cpus() / 4 + 1;
  }

  /**
   * The cheapest claims whose preemption makes room on the machine, or null if that is not possible
   * or room will be free without it.
   */
  private List<Claim> selectVictims(Job job, Machine machine, boolean withinGuarantee, double now) {
    Resources free = machine.free();
    List<Claim> preemptibleClaims = new ArrayList<>();
    cluster.examinedCount += machine.claims.size();
    for (Claim claim : machine.claims.values()) {
      if (claim.stopRequested || claim.phase == Claim.Phase.ENDING) {
        // Its resources will be free soon, unless it was preempted for another job.
        if (claim.preemptedFor == null) {
          free = free.plus(claim.resources());
        }
      } else if (claim.phase == Claim.Phase.COMMITTED
          && isPreemptible(job, claim, withinGuarantee)) {
        preemptibleClaims.add(claim);
      }
    }
    if (free.hasRoomFor(job.taskResources)) {
      return null; // There will be room without preemption.
    }
    preemptibleClaims.sort(
        Comparator.<Claim, Priority>comparing(claim -> claim.priority)
            .reversed()
            .thenComparingDouble(claim -> lostWorkS(claim, now)));
    return firstSufficient(preemptibleClaims, free, job.taskResources);
  }

  /** The first candidates that together free enough, or null if all of them do not. */
  private static List<Claim> firstSufficient(
      List<Claim> preemptibleClaims, Resources alreadyFree, Resources taskResources) {
    Resources free = alreadyFree;
    List<Claim> victims = new ArrayList<>();
    for (Claim claim : preemptibleClaims) {
      victims.add(claim);
      free = free.plus(claim.resources());
      if (free.hasRoomFor(taskResources)) {
        return victims;
      }
    }
    return null;
  }

  /** True if the claim is of lower priority, or beyond the guarantee of another team. */
  private boolean isPreemptible(Job job, Claim claim, boolean withinGuarantee) {
    if (job.priority().isHigherThan(claim.priority)) {
      return true;
    }
    JobSpec spec = claim.job.spec;
    Resources lost =
        stoppingByTeam.getOrDefault(spec.team(), Resources.NONE).plus(claim.resources());
    return withinGuarantee
        && !spec.team().equals(job.spec.team())
        && !spec.isService()
        && cluster.quotas.beyondGuarantee(spec.team(), lost);
  }
}
