package graderelay.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * What it would cost to make room for a task by preemption: for each machine, the claims to stop
 * and the work that would be lost. Keeps count, over a round, of what each team is about to lose.
 */
final class PreemptionOffers {
  /** Seconds of lost work that one image fetch is counted as when choosing whom to stop. */
  private static final double COLD_COST_S = 20;

  /**
   * Seconds of lost work that each stop counts as, whatever it has done: the task's end, its next
   * claim and its next end are changes of the store, of which there are some tens a second.
   */
  private static final double STOP_COST_S = 4;

  /** Seconds of lost work that a claim which does not run yet counts as. */
  private static final double NOT_RUNNING_COST_S = 0.5;

  /**
   * What it would take to make room on one machine.
   *
   * @param claims the claims to stop
   * @param cost seconds of lost work that they count as
   */
  record Offer(Machine machine, List<Claim> claims, double cost) {}

  private final ClusterState cluster;
  private final PlacementRules rules;

  /** What each team is about to lose already, so that nobody is pushed below its guarantee. */
  private final Map<String, Resources> stopping = new HashMap<>();

  PreemptionOffers(ClusterState cluster, PlacementRules rules) {
    this.cluster = cluster;
    this.rules = rules;
  }

  /** Recounts what teams are about to lose. */
  void beginRound() {
    stopping.clear();
    for (Claim claim : cluster.stoppingClaims) {
      stopped(claim);
    }
  }

  /** The claim was asked to stop: its team is about to lose it. */
  void stopped(Claim claim) {
    stopping.merge(claim.job.spec.team(), claim.resources(), Resources::plus);
  }

  /**
   * The offers of all machines on which room for a task of the job can be made, cheapest first.
   *
   * @param withinGuarantee whether the task is within its team's guarantee, so that what other
   *     teams run beyond theirs may be stopped as well
   */
  PriorityQueue<Offer> offers(Job job, List<Machine> usable, boolean withinGuarantee, double now) {
    PriorityQueue<Offer> offers = new PriorityQueue<>(Comparator.comparingDouble(Offer::cost));
    cluster.examinedCount += usable.size();
    for (Machine machine : usable) {
      boolean somethingToStop =
          withinGuarantee
              ? !machine.claims.isEmpty()
              : machine.claimCountByPriority.hasBelow(job.priority());
      if (somethingToStop
          && rules.allowed(job, machine)
          && PlacementRules.zoneAllowed(job, machine.zone)) {
        Offer offer = offer(job, machine, withinGuarantee, now);
        if (offer != null) {
          offers.add(offer);
        }
      }
    }
    return offers;
  }

  /** The cheapest way to make room for a task of the job on the machine, or null. */
  Offer offer(Job job, Machine machine, boolean withinGuarantee, double now) {
    List<Claim> claims = claimsToStop(job, machine, withinGuarantee, now);
    if (claims == null) {
      return null;
    }
    double cost = machine.hasImage(job.spec.image()) ? 0 : COLD_COST_S;
    for (Claim claim : claims) {
      cost += lostWork(claim, now) + STOP_COST_S;
    }
    return new Offer(machine, claims, cost);
  }

  /** Seconds of run time that are lost when a claim is stopped, weighted by its CPUs. */
  private static double lostWork(Claim claim, double now) {
    if (claim.stage != Heartbeat.Stage.RUNNING) {
      return NOT_RUNNING_COST_S;
    }
    double ran = now - claim.stageSince;
    double checkpointS = claim.job.spec.checkpointS();
    double sinceCheckpoint = checkpointS > 0 ? ran % checkpointS : ran;
    return sinceCheckpoint * claim.job.spec.cpus() / 4 + 1;
  }

  /** The cheapest claims whose end makes room on the machine, or null if that is not possible. */
  private List<Claim> claimsToStop(Job job, Machine machine, boolean withinGuarantee, double now) {
    Resources free = machine.free();
    List<Claim> candidates = new ArrayList<>();
    cluster.examinedCount += machine.claims.size();
    for (Claim claim : machine.claims.values()) {
      if (claim.stopRequested || claim.phase == Claim.Phase.ENDING) {
        // Its room is free soon, but reserved for the job it was preempted for, if any.
        if (claim.preemptedFor == null) {
          free = free.plus(claim.resources());
        }
      } else if (claim.phase == Claim.Phase.COMMITTED && preemptible(job, claim, withinGuarantee)) {
        candidates.add(claim);
      }
    }
    if (free.holds(job.taskResources)) {
      return null; // Room is on its way already.
    }
    candidates.sort(
        Comparator.<Claim, Priority>comparing(claim -> claim.priority)
            .reversed()
            .thenComparingDouble(claim -> lostWork(claim, now)));
    return firstThatMakeRoom(candidates, free, job.taskResources);
  }

  /** The first of the candidates that free enough together, or null if all of them don't. */
  private static List<Claim> firstThatMakeRoom(
      List<Claim> candidates, Resources alreadyFree, Resources need) {
    Resources free = alreadyFree;
    List<Claim> chosen = new ArrayList<>();
    for (Claim claim : candidates) {
      chosen.add(claim);
      free = free.plus(claim.resources());
      if (free.holds(need)) {
        return chosen;
      }
    }
    return null;
  }

  /** True if the claim is of lower priority, or borrowed beyond another team's guarantee. */
  private boolean preemptible(Job job, Claim claim, boolean withinGuarantee) {
    if (job.priority().beats(claim.priority)) {
      return true;
    }
    JobSpec spec = claim.job.spec;
    Resources lost = stopping.getOrDefault(spec.team(), Resources.NONE).plus(claim.resources());
    return withinGuarantee
        && !spec.team().equals(job.spec.team())
        && !spec.isService()
        && cluster.quotas.beyondGuarantee(spec.team(), lost);
  }
}
