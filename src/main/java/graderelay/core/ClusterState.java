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
 * The leader's working state, shared by all parts of the scheduling core: jobs, machines and claims
 * with the sums that placement decides by. Each claim is counted once in every sum from {@link
 * #addClaim} to {@link #removeClaim}; quota rules stand in {@link TeamQuotas} and the rules on
 * where tasks may be placed in {@link MachineAvailability}.
 */
final class ClusterState {
  /**
   * Seconds for which a team's account may be above its committed claims before it is lowered by a
   * change of its own. Claims lower it on their way, so this is for teams that only end work.
   */
  private static final double ACCOUNT_RELEASE_S = 5;

  // ---------------------------------------------------------------- the leader

  /** Settings that the core decides by; replaced as a whole when one of them changes. */
  Policy policy;

  /** The term that this leader won; a worker that has not seen it has not heard this leader. */
  long firstTerm;

  /** The term under which worker commands go out: the fencing token. */
  long term;

  /** When this leader began, in seconds on its own clock. */
  double leaderSince;

  /** True while the stored records are still being loaded: nothing is new yet. */
  boolean loading = true;

  /** True if something has changed that a scheduling round should look at. */
  boolean roundNeeded = true;

  /** Actions decided on and not yet taken by the caller, in order. */
  final List<Action> actions = new ArrayList<>();

  // ---------------------------------------------------------------- jobs and claims

  /** Live jobs by id, in the order in which they came. */
  final Map<String, Job> jobs = new LinkedHashMap<>();

  /** Jobs whose users have asked to cancel them. */
  final Set<Job> cancelledJobs = new LinkedHashSet<>();

  /** Jobs that may have come to their end since the last round. */
  final Set<Job> maybeEndedJobs = new LinkedHashSet<>();

  /** Claims that were asked to stop for a reason other than their job's cancellation. */
  final Set<Claim> stoppingClaims = new LinkedHashSet<>();

  /** All live claims, counted by priority. */
  final PriorityCounts byPriority = new PriorityCounts();

  /** Which jobs wait for which. */
  DependencyGraph dependencies;

  // ---------------------------------------------------------------- machines

  /** Known machines by name. */
  final Map<String, Machine> machines = new LinkedHashMap<>();

  /** Machine types that the cloud offers, by name. */
  Map<String, MachineType> types = Map.of();

  /** Images on machines as the records of an earlier leader have them. */
  final Map<String, List<String>> knownImages = new HashMap<>();

  /** Records that share the images of each thousand machines. */
  int imagePartsPerThousand = SchedulerLimits.IMAGE_RECORDS_PER_THOUSAND_MACHINES;

  /** Records that share the images of all machines. */
  int imageParts;

  /** Rises whenever there may be more room than before, so that what found none tries again. */
  long roomVersion;

  /** Machines and claims examined by scheduling rounds so far; tests bound it. */
  long examinedCount;

  /** The lease delegates: who may renew leases in zones that are cut off from this leader. */
  LeaseDelegates delegates;

  // ---------------------------------------------------------------- quota

  /** Admission by the stored limits, once they are switched on. */
  final AdmissionControl admission;

  /** What each team's claims take, against its guarantee and limit. */
  final TeamQuotas quotas;

  /**
   * Makes the state of a new leader.
   *
   * @param name tells this leader from all others in the records of accounts
   */
  ClusterState(Policy policy, String name) {
    this.policy = policy;
    this.admission = new AdmissionControl(name, ACCOUNT_RELEASE_S);
    this.quotas = new TeamQuotas(this);
  }

  /**
   * Redistributes the machines among so many image records, all of which have to be written again.
   */
  void imageParts(int parts) {
    imageParts = parts;
    machines.values().forEach(machine -> machine.imagesChanged = !machine.images.isEmpty());
  }

  /** Adds a line to the log. */
  void log(String text) {
    actions.add(new Action.LogLine(text));
  }

  /** The machine of this name, which is added if it is not known yet. */
  Machine getOrAddMachine(String name, double now) {
    Machine machine = machines.get(name);
    if (machine == null) {
      machine = new Machine(name, now);
      for (String image : knownImages.getOrDefault(name, List.of())) {
        machine.learnImage(image, now);
      }
      machine.imagesChanged = false;
      machines.put(name, machine);
    }
    return machine;
  }

  /** Counts a claim in every sum. */
  void addClaim(Claim claim, double now) {
    Machine machine = getOrAddMachine(claim.machine, now);
    machine.claims.put(claim.taskId(), claim);
    machine.allocate(claim);
    byPriority.add(claim.priority);
    quotas.allocate(claim.job.spec.team(), claim.resources());
    if (claim.phase == Claim.Phase.CLAIMING) {
      admission.placed(claim.job.spec.team(), claim.job.taskAmount);
    }
    claim.job.claims.put(claim.task, claim);
    claim.job.openTasks.clear(claim.task);
    if (machine.zone != null) {
      claim.job.zoneClaims.merge(machine.zone, 1, Integer::sum);
      claim.zone = machine.zone;
    }
  }

  /** The transaction of a claim has committed. */
  void markCommitted(Claim claim) {
    claim.phase = Claim.Phase.COMMITTED;
    admission.noLongerPlaced(claim.job.spec.team(), claim.job.taskAmount);
  }

  /** Takes a claim out of every sum; does nothing if it was taken out before. */
  void removeClaim(Claim claim, double now) {
    Machine machine = getOrAddMachine(claim.machine, now);
    if (!machine.claims.remove(claim.taskId(), claim)) {
      return;
    }
    machine.release(claim);
    byPriority.remove(claim.priority);
    stoppingClaims.remove(claim);
    maybeEndedJobs.add(claim.job);
    roomVersion++;
    if (machine.claims.isEmpty()) {
      machine.idleSince = now;
    }
    quotas.release(claim.job.spec.team(), claim.resources());
    if (claim.phase == Claim.Phase.CLAIMING) {
      admission.noLongerPlaced(claim.job.spec.team(), claim.job.taskAmount);
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

  /** Asks a claim's attempt to stop; each round looks at what keeps it from ending. */
  void requestStop(Claim claim, double now) {
    claim.stopRequested = true;
    claim.stopRequestedAt = now;
    stoppingClaims.add(claim);
  }

  /** Sets a machine's type and zone; claims loaded before that are counted in its zone now. */
  void setTypeAndZone(Machine machine, String type, String zone, boolean spot) {
    machine.type = type;
    machine.spot = spot;
    MachineType machineType = types.get(type);
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
