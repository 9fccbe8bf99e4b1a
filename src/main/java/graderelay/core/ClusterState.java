package graderelay.core;

import graderelay.quota.AdmissionControl;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The leader's in-memory state, shared by all components of the scheduling core: jobs, machines and
 * claims, with the totals used by placement. Each claim is included once in every total, from
 * {@link #addClaim} to {@link #removeClaim}. Quota rules are in {@link TeamQuotas}; which machines
 * may be given tasks is determined by {@link MachineAvailability}.
 */
final class ClusterState {
  /**
   * Seconds for which a team's account may exceed its committed claims before a separate change
   * lowers it. A new claim lowers the account in the same transaction, so this matters for teams
   * whose tasks end without new claims.
   */
  private static final double ACCOUNT_RELEASE_DELAY_S = 5;

  // ---------------------------------------------------------------- the leader

  /** Limits and settings; replaced as a whole when one of them changes. */
  Policy policy;

  /**
   * The term in which this leader was elected; a worker with a lower term has received nothing from
   * this leader.
   */
  long electedTerm;

  /** The current term, which is the fencing token of worker commands. */
  long term;

  /** When this leader started, in seconds on its own clock. */
  double leaderSince;

  /** True during the initial load of the stored records. */
  boolean loading = true;

  /** True if a change requires a scheduling round. */
  boolean roundNeeded = true;

  /** Actions not yet taken by the caller, in order. */
  final List<Action> actions = new ArrayList<>();

  // ---------------------------------------------------------------- jobs and claims

  /** Live jobs by id, in order of arrival. */
  final Map<String, Job> jobs = new LinkedHashMap<>();

  /** Jobs whose cancellation was requested. */
  final Set<Job> cancelledJobs = new LinkedHashSet<>();

  /** Jobs that may have ended since the last round. */
  final Set<Job> possiblyEndedJobs = new LinkedHashSet<>();

  /** Claims that were requested to stop for a reason other than their job's cancellation. */
  final Set<Claim> stoppingClaims = new LinkedHashSet<>();

  /** Number of live claims by priority. */
  final PriorityCounts claimCountByPriority = new PriorityCounts();

  /** Dependencies between jobs. */
  DependencyGraph dependencies;

  // ---------------------------------------------------------------- machines

  /** Known machines by name. */
  final Map<String, Machine> machines = new LinkedHashMap<>();

  /** Attempts whose claims have ended lately. */
  final EndedAttempts endedAttempts = new EndedAttempts();

  /** Machine types that the cloud offers, by name. */
  Map<String, MachineType> machineTypes = Map.of();

  /** Images by machine as stored by an earlier leader. */
  final Map<String, List<String>> storedImages = new HashMap<>();

  /** Number of image records per 1,000 machines. */
  int imageShardsPerThousandMachines = SchedulerLimits.IMAGE_RECORDS_PER_THOUSAND_MACHINES;

  /** Number of image records for the whole fleet. */
  int imageShardCount;

  /** Incremented when more room may have become free, so that jobs that found none are retried. */
  long roomVersion;

  /** Number of machines and claims examined by scheduling rounds so far; bounded by tests. */
  long examinedCount;

  /** The controllers that may renew leases in zones that are partitioned from this leader. */
  LeaseDelegates delegates;

  // ---------------------------------------------------------------- quota

  /** Admission control by the stored limits, once they are enabled. */
  final AdmissionControl admission;

  /** Resources taken by each team's claims, against its guarantee and limit. */
  final TeamQuotas quotas;

  /**
   * Creates the state of a new leader.
   *
   * @param name unique name of this leader in account records
   */
  ClusterState(Policy policy, String name) {
    this.policy = policy;
    this.admission = new AdmissionControl(name, ACCOUNT_RELEASE_DELAY_S);
    this.quotas = new TeamQuotas(this);
  }

  /**
   * Sets the number of image records and marks all machines with images as changed, so that all
   * records are written again.
   */
  void setImageShardCount(int shardCount) {
    imageShardCount = shardCount;
    machines.values().forEach(machine -> machine.imagesChanged = !machine.images.isEmpty());
  }

  /** Adds a warning to the log. */
  void warn(String text) {
    actions.add(new Action.Warning(text));
  }

  /** Adds a line to the log. */
  void log(String text) {
    actions.add(new Action.LogLine(text));
  }

  /** Returns the machine of this name, adding it if it is unknown. */
  Machine getOrAddMachine(String name, double now) {
    Machine machine = machines.get(name);
    if (machine == null) {
      machine = new Machine(name, term, now);
      for (String image : storedImages.getOrDefault(name, List.of())) {
        machine.recordImage(image, now);
      }
      machine.imagesChanged = false;
      machines.put(name, machine);
    }
    return machine;
  }

  /** Adds a claim to every total. */
  void addClaim(Claim claim, double now) {
    Machine machine = getOrAddMachine(claim.machine, now);
    machine.claims.put(claim.taskId(), claim);
    machine.allocate(claim);
    claimCountByPriority.add(claim.priority);
    quotas.allocate(claim.job.spec.team(), claim.resources());
    if (claim.phase == Claim.Phase.CLAIMING) {
      admission.onClaimPlaced(claim.job.spec.team(), claim.job.taskAmount);
    }
    claim.job.claims.put(claim.task, claim);
    claim.job.openTasks.clear(claim.task);
    if (machine.zone != null) {
      claim.job.zoneClaims.merge(machine.zone, 1, Integer::sum);
      claim.zone = machine.zone;
    }
  }

  /** Records that the transaction of a claim has committed. */
  void markCommitted(Claim claim) {
    claim.phase = Claim.Phase.COMMITTED;
    admission.onClaimNoLongerPlaced(claim.job.spec.team(), claim.job.taskAmount);
  }

  /** Removes a claim from every total; does nothing if it was removed already. */
  void removeClaim(Claim claim, double now) {
    Machine machine = getOrAddMachine(claim.machine, now);
    if (!machine.claims.remove(claim.taskId(), claim)) {
      return;
    }
    machine.release(claim);
    claimCountByPriority.remove(claim.priority);
    stoppingClaims.remove(claim);
    possiblyEndedJobs.add(claim.job);
    roomVersion++;
    if (machine.claims.isEmpty()) {
      machine.idleSince = now;
    }
    quotas.release(claim.job.spec.team(), claim.resources());
    if (claim.phase == Claim.Phase.CLAIMING) {
      admission.onClaimNoLongerPlaced(claim.job.spec.team(), claim.job.taskAmount);
    }
    claim.job.claims.remove(claim.task, claim);
    if (claim.zone != null) {
      claim.job.zoneClaims.merge(claim.zone, -1, Integer::sum);
    }
    if (claim.preemptedFor != null) {
      claim.preemptedFor.pendingPreemptions--;
      claim.preemptedFor = null;
    }
  }

  /** Requests that a claim's attempt stops; each round retries until it has ended. */
  void requestStop(Claim claim, double now) {
    claim.stopRequested = true;
    claim.stopRequestedAt = now;
    stoppingClaims.add(claim);
  }

  /** Sets a machine's type and zone, and counts claims that were loaded earlier in that zone. */
  void setTypeAndZone(Machine machine, String type, String zone, boolean spot) {
    machine.type = type;
    machine.spot = spot;
    MachineType machineType = machineTypes.get(type);
    machine.capacity = machineType == null ? Resources.NONE : Resources.of(machineType);
    if (machine.zone == null && zone != null) {
      machine.zone = zone;
      for (Claim claim : machine.claims.values()) {
        if (claim.zone == null) {
          claim.zone = zone;
          claim.job.zoneClaims.merge(zone, 1, Integer::sum);
        }
      }
    }
  }
}
